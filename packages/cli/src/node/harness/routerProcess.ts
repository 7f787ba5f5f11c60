/** A router that runs as a process, with a settings file in a temporary folder. */
import { createHash } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { RouterInstance } from '@papayawell/core';
import { stringify } from 'smol-toml';
import type { FleetPlan } from './fleetPlan.js';
import { callJson, fetchText } from './httpJson.js';
import type { ManagedProcess, ProcessEnd } from './managedProcess.js';
import { findFreePort } from './ports.js';
import type { ProcessGroup } from './processGroup.js';

const LOOPBACK = '127.0.0.1';
const READY_POLL_MS = 50;
export const OPERATOR_TOKEN = 'operator-of-the-harness';

/** Settings that all routers of a fleet share. */
export interface RouterSurroundings {
	readonly folder: string;
	readonly plan: FleetPlan;
	readonly keyValueOrigin: string;
	readonly instanceListUrl: string;
}

export class RouterProcess {
	private process: ManagedProcess;
	private incarnation = Date.now();

	private constructor(
		private readonly group: ProcessGroup,
		private readonly settingsFile: string,
		private readonly identity: Omit<RouterInstance, 'incarnation'>,
		public readonly adminAddress: string,
	) {
		this.process = this.startProcess();
	}

	public static async start(
		group: ProcessGroup,
		surroundings: RouterSurroundings,
		instance: string,
		zone: string,
	): Promise<RouterProcess> {
		const identity = {
			instance,
			region: surroundings.plan.region,
			zone,
			callersAddress: `${LOOPBACK}:${await findFreePort()}`,
			peersAddress: `${LOOPBACK}:${await findFreePort()}`,
		};
		const adminAddress = `${LOOPBACK}:${await findFreePort()}`;
		const settingsFile = join(surroundings.folder, `${instance}.toml`);
		await writeFile(settingsFile, formatSettings(surroundings, identity, adminAddress));
		return new RouterProcess(group, settingsFile, identity, adminAddress);
	}

	public get router(): RouterInstance {
		return { ...this.identity, incarnation: this.incarnation };
	}

	public get name(): string {
		return this.identity.instance;
	}

	/** Origin of the callers' port. */
	public get origin(): string {
		return `http://${this.identity.callersAddress}`;
	}

	public get hasEnded(): boolean {
		return this.process.hasEnded;
	}

	/** Newest lines of output. */
	public get lines(): readonly string[] {
		return this.process.lines;
	}

	public get processId(): number {
		return this.process.processId;
	}

	/** Waits until the admin port answers. */
	public async waitUntilUp(limitMs: number): Promise<void> {
		await this.waitForStatus('/health', limitMs);
	}

	/** Waits until the router reports that it can serve callers. */
	public async waitUntilReady(limitMs: number): Promise<void> {
		await this.waitForStatus('/ready', limitMs);
	}

	private async waitForStatus(path: string, limitMs: number): Promise<void> {
		const deadline = performance.now() + limitMs;
		while (!(await this.isOk(path))) {
			if (this.process.hasEnded || performance.now() > deadline) {
				throw new Error(`${this.name} does not answer 200 at ${path}:\n${this.lines.slice(-30).join('\n')}`);
			}
			await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
		}
	}

	/** Sends an admin request; a body makes it a POST. */
	public async callAdmin(path: string, body?: unknown): Promise<unknown> {
		const answer = await callJson(`http://${this.adminAddress}${path}`, body, OPERATOR_TOKEN);
		return answer.document;
	}

	public async readMetrics(): Promise<string> {
		return fetchText(`http://${this.adminAddress}/metrics`, OPERATOR_TOKEN);
	}

	public async kill(): Promise<void> {
		await this.process.kill();
	}

	public pause(): void {
		this.process.signal('SIGSTOP');
	}

	public resume(): void {
		this.process.signal('SIGCONT');
	}

	/** Drains the router and waits for its end. */
	public async drain(limitMs: number): Promise<ProcessEnd> {
		return this.process.stop(limitMs);
	}

	/** Starts the router again with the same addresses. */
	public async restart(): Promise<void> {
		await this.process.kill();
		this.incarnation = Date.now();
		this.process = this.startProcess();
	}

	private startProcess(): ManagedProcess {
		return this.group.start(this.identity.instance, ['router', '--settings', this.settingsFile]);
	}

	private async isOk(path: string): Promise<boolean> {
		try {
			const url = `http://${this.adminAddress}${path}`;
			return (await callJson(url, undefined, OPERATOR_TOKEN)).status === 200;
		} catch {
			return false;
		}
	}
}

function formatSettings(
	{ plan, keyValueOrigin, instanceListUrl }: RouterSurroundings,
	identity: Omit<RouterInstance, 'incarnation'>,
	adminAddress: string,
): string {
	return stringify({
		instance: identity.instance,
		region: identity.region,
		zone: identity.zone,
		drainLimitMs: plan.drainLimitMs,
		logLevel: plan.logLevel,
		callers: {
			address: identity.callersAddress,
			entriesTtlMs: plan.entriesTtlMs,
			deadlineMs: plan.deadlineMs,
		},
		admin: { address: adminAddress, tokenHash: hashToken(OPERATOR_TOKEN) },
		peers: { address: identity.peersAddress, fleet: 'harness', allowPlainLoopback: true },
		platform: {
			keyValueOrigins: [keyValueOrigin],
			instanceListUrl,
			instanceListPollMs: plan.instanceListPollMs,
		},
		outcomes: { quarantineMs: plan.quarantineMs },
	});
}

/** SHA-256 of a token or caller key, in hexadecimal. */
export function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}
