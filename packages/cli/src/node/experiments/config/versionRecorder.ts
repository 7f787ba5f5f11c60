/** Records which configuration each router of a fleet has in force, by polling its admin port. */
import { setTimeout as sleep } from 'node:timers/promises';
import { AdminClient } from '@papayawell/operators';
import type { RouterProcess } from '../../harness/routerProcess.js';
import { OPERATOR_TOKEN } from '../../harness/routerProcess.js';

const POLL_INTERVAL_MS = 50;

/** A configuration that a router reported as in force. */
export interface VersionSample {
	readonly router: string;
	/** ID of the process that answered; changes with each restart. */
	readonly processId: number;
	/** Monotonic time of the response, in ms. */
	readonly atMs: number;
	readonly version: number;
	readonly changeId: string | undefined;
}

/** Records a sample whenever the configuration reported by a router changes, or its process. */
export class VersionRecorder {
	public readonly samples: VersionSample[] = [];
	private isRunning = false;
	private pollLoops: readonly Promise<void>[] = [];

	public start(routers: readonly RouterProcess[]): void {
		this.isRunning = true;
		this.pollLoops = routers.map((router) => this.record(router));
	}

	public async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.pollLoops);
	}

	private async record(router: RouterProcess): Promise<void> {
		const client = new AdminClient(`http://${router.adminAddress}`, OPERATOR_TOKEN);
		let previous: VersionSample | undefined;
		while (this.isRunning) {
			const { processId } = router;
			const answer = await client.readConfiguration();
			if (answer.ok && processId === router.processId) {
				const sample = { router: router.name, processId, atMs: performance.now(), ...answer.val };
				if (previous?.processId !== processId || previous.changeId !== sample.changeId) {
					this.samples.push(sample);
				}
				previous = sample;
			}
			await sleep(POLL_INTERVAL_MS);
		}
	}
}
