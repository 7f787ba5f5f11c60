/** A whole fleet of processes on loopback: platform, targets and routers, as a plan says. */
import { randomUUID } from 'node:crypto';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ConfigurationStore, describeConfigurationStoreError } from '@papayawell/operators';
import { EtcdKeyValueStore } from '@papayawell/keyvalue';
import type { ApplicationLogEntry, EngineLogEntry } from '@papayawell/stand-ins';
import type { FleetPlan, PoolPlan } from './fleetPlan.js';
import { InstanceListProcess, KeyValueProcess } from './platformProcesses.js';
import { findFreePort } from './ports.js';
import { ProcessGroup } from './processGroup.js';
import { RouterProcess } from './routerProcess.js';
import { TargetProcess } from './targetProcess.js';

/** The logs of all targets of a fleet. */
export interface TargetLogs {
	readonly applications: readonly ApplicationLogEntry[];
	readonly engines: readonly EngineLogEntry[];
}

const LOOPBACK_ORIGIN = 'http://127.0.0.1';
const READY_LIMIT_MS = 20_000;
const KEY_PREFIX = 'papayawell/harness';

export class FleetHarness {
	private readonly routerList: RouterProcess[] = [];
	private readonly targetList: TargetProcess[] = [];

	private constructor(
		public readonly plan: FleetPlan,
		private readonly group: ProcessGroup,
		private readonly folder: string,
		public readonly keyValue: KeyValueProcess,
		public readonly instanceList: InstanceListProcess,
	) {}

	/** Starts everything and waits until all routers are ready. After a failure nothing is left running. */
	public static async start(plan: FleetPlan): Promise<FleetHarness> {
		const folder = await mkdtemp(join(tmpdir(), 'papayawell-fleet-'));
		const group = new ProcessGroup();
		try {
			const keyValue = await KeyValueProcess.start(group);
			const instanceList = await InstanceListProcess.start(group, plan.listLagMs);
			const harness = new FleetHarness(plan, group, folder, keyValue, instanceList);
			await harness.startInstances();
			return harness;
		} catch (error) {
			await group.close();
			await rm(folder, { recursive: true, force: true });
			throw error;
		}
	}

	public get routers(): readonly RouterProcess[] {
		return this.routerList;
	}

	public get targets(): readonly TargetProcess[] {
		return this.targetList;
	}

	/** Origins of all routers, for callers to ask for addresses. */
	public get entries(): readonly string[] {
		return this.routerList.map((router) => router.origin);
	}

	public findRouter(index: number): RouterProcess {
		const router = this.routerList[index];
		if (router === undefined) {
			throw new Error(`the fleet has no router ${index}`);
		}
		return router;
	}

	public findTarget(name: string): TargetProcess {
		const target = this.targetList.find((candidate) => candidate.name === name);
		if (target === undefined) {
			throw new Error(`the fleet has no target ${name}`);
		}
		return target;
	}

	public listPool(pool: string): readonly TargetProcess[] {
		return this.targetList.filter((target) => target.target.pool === pool);
	}

	/** Reads the request logs of all targets, including those that have ended. */
	public async readTargetLogs(): Promise<TargetLogs> {
		const applications: ApplicationLogEntry[] = [];
		const engines: EngineLogEntry[] = [];
		for (const target of this.targetList) {
			if (target.target.kind === 'application') {
				applications.push(...(await target.readApplicationLog()));
			} else {
				engines.push(...(await target.readEngineLog()));
			}
		}
		return { applications, engines };
	}

	/** Starts a target again after its end, and lists it as another incarnation. */
	public async restartTarget(name: string): Promise<void> {
		const target = this.findTarget(name);
		await target.restart();
		await this.instanceList.put({ target: target.target, state: 'live' });
	}

	/** Starts a router again after its end, and waits until it is ready. */
	public async restartRouter(index: number): Promise<void> {
		const router = this.findRouter(index);
		await router.restart();
		await this.instanceList.put({ router: router.router, state: 'live' });
		await router.waitUntilReady(READY_LIMIT_MS);
	}

	/** Adds one more router to the fleet, and waits until it is ready. */
	public async addRouter(): Promise<RouterProcess> {
		const router = await this.startRouter(this.routerList.length);
		await router.waitUntilReady(READY_LIMIT_MS);
		return router;
	}

	/** Ends all processes and removes their files. */
	public async close(): Promise<void> {
		await this.group.close();
		await rm(this.folder, { recursive: true, force: true });
	}

	private async startInstances(): Promise<void> {
		const pools = this.plan.pools.flatMap((pool) =>
			Array.from({ length: pool.instances }, (_, index) => ({ pool, index })),
		);
		await Promise.all(pools.map(({ pool, index }) => this.startTarget(pool, index)));
		await this.storeRules();
		for (let index = 0; index < this.plan.routers; index += 1) {
			await this.startRouter(index);
		}
		await Promise.all(this.routerList.map((router) => router.waitUntilReady(READY_LIMIT_MS)));
	}

	private async startTarget(pool: PoolPlan, index: number): Promise<void> {
		const instance = `${pool.pool}-${index + 1}`;
		const target = new TargetProcess(this.group, {
			target: {
				instance,
				kind: pool.kind,
				pool: pool.pool,
				region: this.plan.region,
				zone: this.pickZone(index),
				origin: `${LOOPBACK_ORIGIN}:${await findFreePort()}`,
				incarnation: '',
				capacity: pool.capacity,
				checksFencing: true,
			},
			logFile: join(this.folder, `${instance}.log`),
			args: this.listTargetArgs(pool),
		});
		this.targetList.push(target);
		await target.waitUntilReady();
		await this.instanceList.put({ target: target.target, state: 'live' });
	}

	private listTargetArgs({ kind, capacity, cacheTokens }: PoolPlan): readonly string[] {
		const args = ['--capacity', `${capacity}`];
		if (kind === 'engine') {
			args.push('--token-ms', `${this.plan.tokenMs}`);
		}
		return cacheTokens === undefined ? args : [...args, '--cache-tokens', `${cacheTokens}`];
	}

	private async startRouter(index: number): Promise<RouterProcess> {
		const surroundings = {
			folder: this.folder,
			plan: this.plan,
			keyValueOrigin: this.keyValue.origin,
			instanceListUrl: this.instanceList.url,
		};
		const instance = `router-${index + 1}`;
		const router = await RouterProcess.start(this.group, surroundings, instance, this.pickZone(index));
		this.routerList.push(router);
		await this.instanceList.put({ router: router.router, state: 'live' });
		return router;
	}

	private pickZone(index: number): string {
		return this.plan.zones[index % this.plan.zones.length] ?? 'a';
	}

	/** Stores the rules as the first version of the configuration. */
	private async storeRules(): Promise<void> {
		const keyValue = new EtcdKeyValueStore({ origins: [this.keyValue.origin], callsPerSecond: 100 });
		const stored = await new ConfigurationStore(keyValue, KEY_PREFIX).apply({
			change: {
				changeId: randomUUID(),
				who: 'harness',
				why: 'first rules',
				at: new Date().toISOString(),
				text: this.plan.rules,
			},
			baseVersion: 0,
			fleetVersion: 0,
		});
		keyValue.dispose();
		if (stored.err) {
			throw new Error(`the rules were not stored: ${describeConfigurationStoreError(stored.val)}`);
		}
	}
}
