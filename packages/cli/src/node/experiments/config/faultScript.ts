/** The sequence of faults that the experiment injects while the operators make changes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { hashToUnit } from '@papayawell/core';
import type { FleetHarness } from '../../harness/fleetHarness.js';

const GAP_MS = 1000;
const IDLE_POLL_MS = 20;
const RECOVERY_AFTER_RESTORE_MS = 7000;
const SNAPSHOT_AGE_MS = 5000;
const WRITE_BACK_LOG_MARKER = '(writeBack)';
/** Time without changes before a restore: a change that no router has received yet could not be written back. */
const QUIET_BEFORE_RESTORE_MS = 1500;

/** Period in which a router was down or paused. */
export interface RouterDowntime {
	readonly router: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** Blocks new changes of the operators while it is closed. */
export class ChangeGate {
	private whenOpen: Promise<void> = Promise.resolve();
	private release: () => void = () => undefined;
	private runningChanges = 0;

	/** Waits until the gate is open, then runs the change. */
	public async run(change: () => Promise<void>): Promise<void> {
		await this.whenOpen;
		this.runningChanges++;
		try {
			await change();
		} finally {
			this.runningChanges--;
		}
	}

	/** Closes the gate and waits until no change is in progress. */
	public async close(): Promise<void> {
		this.whenOpen = new Promise((resolve) => {
			this.release = resolve;
		});
		while (this.runningChanges > 0) {
			await sleep(IDLE_POLL_MS);
		}
	}

	public open(): void {
		this.release();
	}
}

export class FaultScript {
	public readonly downtimes: RouterDowntime[] = [];
	/** Descriptions of the injected faults, in order. */
	public readonly faults: string[] = [];
	private drawCount = 0;

	constructor(
		private readonly fleet: FleetHarness,
		private readonly gate: ChangeGate,
		private readonly seed: string,
		/** Reads the configuration version stored in the key-value service. */
		private readonly readVersion: () => Promise<number>,
	) {}

	/** Injects the faults one after the other, with pauses in between. */
	public async run(): Promise<void> {
		const { keyValue } = this.fleet;
		await this.runServiceFault(
			'lost answers',
			4000,
			{ dropAnswers: { probability: 0.4, kinds: ['txn'] } },
			{ dropAnswers: {} },
		);
		await this.restartRandomRouter();
		await this.runServiceFault(
			'lost requests',
			3000,
			{ dropRequests: { probability: 0.4 } },
			{ dropRequests: {} },
		);
		await this.runServiceFault('service refuses', 3000, { down: 'refuse' }, { down: 'up' });
		await this.pauseRandomRouter(3000);
		await this.runServiceFault('service hangs', 3000, { down: 'hang' }, { down: 'up' });
		await this.restartRandomRouter();
		await this.runServiceFault('stale reads', 2000, { staleReads: true }, { staleReads: false });
		await this.runServiceFault('late watches', 3000, { watchDelayMs: 1500 }, { watchDelayMs: 0 });
		this.recordFault('watches cut');
		await keyValue.setFaults({ cutWatches: true });
		await this.restartRandomRouter();
		await this.restoreOlderSnapshot();
		await this.runServiceFault('slow service', 3000, { slowMs: 300 }, { slowMs: 0 });
	}

	/** Restarts every router, one after the other, while the key-value service is down. */
	public async restartAllDuringOutage(): Promise<void> {
		this.recordFault('all routers replaced in an outage');
		await this.fleet.keyValue.setFaults({ down: 'refuse' });
		for (let index = 0; index < this.fleet.routers.length; index++) {
			await this.restartRouter(index);
		}
		await this.fleet.keyValue.setFaults({ down: 'up' });
	}

	private async runServiceFault(
		name: string,
		durationMs: number,
		begin: Parameters<FleetHarness['keyValue']['setFaults']>[0],
		end: Parameters<FleetHarness['keyValue']['setFaults']>[0],
	): Promise<void> {
		this.recordFault(name);
		await this.fleet.keyValue.setFaults(begin);
		await sleep(durationMs);
		await this.fleet.keyValue.setFaults(end);
		await sleep(GAP_MS);
	}

	/** Restores the key-value service from a snapshot that lacks the most recent changes, which routers write back. */
	private async restoreOlderSnapshot(): Promise<void> {
		await this.fleet.keyValue.setFaults({ snapshot: 'take' });
		await sleep(SNAPSHOT_AGE_MS);
		await this.gate.close();
		await sleep(QUIET_BEFORE_RESTORE_MS);
		const versionBefore = await this.readVersion();
		await this.fleet.keyValue.setFaults({ snapshot: 'restore', cutWatches: true });
		const versionAfter = await this.readVersion();
		this.gate.open();
		await sleep(RECOVERY_AFTER_RESTORE_MS);
		const writers = this.fleet.routers.filter(({ lines }) =>
			lines.some((line) => line.includes(WRITE_BACK_LOG_MARKER)),
		);
		this.recordFault(
			`service restored from version ${versionBefore} to ${versionAfter}, ` +
				`written back by ${writers.map(({ name }) => name).join(', ')}`,
		);
	}

	private async restartRandomRouter(): Promise<void> {
		const index = this.pickIndex(this.fleet.routers.length);
		this.recordFault(`router ${index + 1} restarted`);
		await this.restartRouter(index);
		await sleep(GAP_MS);
	}

	private async restartRouter(index: number): Promise<void> {
		const fromMs = performance.now();
		await this.fleet.restartRouter(index);
		this.recordDowntime(index, fromMs);
	}

	private async pauseRandomRouter(durationMs: number): Promise<void> {
		const index = this.pickIndex(this.fleet.routers.length);
		const router = this.fleet.findRouter(index);
		this.recordFault(`router ${index + 1} paused`);
		const fromMs = performance.now();
		router.pause();
		await sleep(durationMs);
		router.resume();
		this.recordDowntime(index, fromMs);
		await sleep(GAP_MS);
	}

	private recordDowntime(index: number, fromMs: number): void {
		this.downtimes.push({ router: this.fleet.findRouter(index).name, fromMs, untilMs: performance.now() });
	}

	private recordFault(name: string): void {
		this.faults.push(name);
	}

	private pickIndex(count: number): number {
		this.drawCount++;
		return Math.floor(hashToUnit(`${this.seed}/fault/${this.drawCount}`) * count);
	}
}
