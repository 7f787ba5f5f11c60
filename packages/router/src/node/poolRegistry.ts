/** The pools of this router, updated from the target directory, the view of the fleet and load reports. */
import type {
	LoadReport,
	PeerNetwork,
	OwnLoad,
	PlacementPolicy,
	OwnerQueryLimiter,
	RouterMember,
	RouterView,
	RuleSet,
	TargetInstance,
} from '@papayawell/core';
import { createOwnerQueryLimiter, DisposableStore, RouterState } from '@papayawell/core';
import type { TargetDirectory } from '../common/targetDirectory.js';
import type { PoolOptions } from './pool.js';
import { Pool } from './pool.js';

/** Load bound of a pool that no rule names. */
const DEFAULT_LOAD_BOUND = 1.25;
const ZERO_LOAD: OwnLoad = { inFlight: 0, changeSinceReport: 0, durationMs: 0 };

export interface PoolRegistryOptions {
	/** This router's instance. */
	readonly self: string;
	readonly policy: PlacementPolicy;
	readonly directory: TargetDirectory;
	readonly peers: PeerNetwork;
	readonly maxQueued: number;
	readonly maxQueueMs: number;
	readonly reserveLocally: PoolOptions['reserveLocally'];
	readonly onReservation: PoolOptions['onReservation'];
	readonly readRules: () => RuleSet | undefined;
}

/** Owns the pools. */
export class PoolRegistry extends DisposableStore {
	private readonly pools = new Map<string, Pool>();
	private readonly ownerQueryLimiter: OwnerQueryLimiter;

	constructor(private readonly options: PoolRegistryOptions) {
		super();
		const { directory, peers, policy } = options;
		this.ownerQueryLimiter = createOwnerQueryLimiter(policy);
		this.add(
			directory.onDidChangePool((name) => {
				this.getOrCreate(name).setTargets(directory.listPool(name));
			}),
		);
		this.add(
			peers.onDidChangeView((view) => {
				this.updateRouters(view);
			}),
		);
		this.add(
			peers.onDidReceiveFact((fact) => {
				if (fact.kind === 'load') {
					this.noteLoad({ instance: fact.instance, requests: fact.requests, versionMs: fact.version });
				}
			}),
		);
	}

	/** Returns the pool; creates an empty one if the name is unknown. */
	public getOrCreate(name: string): Pool {
		const existing = this.pools.get(name);
		if (existing !== undefined) {
			return existing;
		}
		const pool = new Pool({ ...this.options, ownerQueryLimiter: this.ownerQueryLimiter, name });
		this.add(pool);
		pool.setRouters(listOwners(this.options.peers.readView()));
		this.pools.set(name, pool);
		return pool;
	}

	public list(): readonly Pool[] {
		return [...this.pools.values()];
	}

	/** Applies a load report; a timestamp ahead of the local clock is set to the current time. */
	public noteLoad(report: LoadReport): void {
		const pool = this.options.directory.find(report.instance)?.pool;
		if (pool !== undefined) {
			this.getOrCreate(pool).noteLoad({ ...report, versionMs: Math.min(report.versionMs, Date.now()) });
		}
	}

	/** Lists the targets that this router owns. */
	public listOwned(): readonly TargetInstance[] {
		return this.list().flatMap((pool) => pool.listOwnedBy(this.options.self));
	}

	/** Returns how many requests the owner of `instance` may admit, by the lowest load bound of its pool's rules. */
	public computeOwnerLimit(instance: string): number {
		const name = this.options.directory.find(instance)?.pool;
		return name === undefined
			? 0
			: this.getOrCreate(name).computeOwnerLimit(instance, this.findLoadBound(name));
	}

	/** Returns this router's own load on a target. */
	public readOwnLoad(instance: string): OwnLoad {
		const name = this.options.directory.find(instance)?.pool;
		return name === undefined ? ZERO_LOAD : this.getOrCreate(name).readOwnLoad(instance);
	}

	private findLoadBound(pool: string): number {
		const rules = this.options.readRules()?.rules ?? [];
		const bounds = rules.filter((rule) => rule.pool === pool).map((rule) => rule.loadBound);
		return bounds.length === 0 ? DEFAULT_LOAD_BOUND : Math.min(...bounds);
	}

	private updateRouters(view: RouterView): void {
		const owners = listOwners(view);
		for (const pool of this.pools.values()) {
			pool.setRouters(owners);
		}
	}
}

/** Lists the routers that may own targets. A draining router is not among them, so its targets change owner at once. */
function listOwners(view: RouterView): { instance: string; zone: string }[] {
	return view.filter(isOwner).map(({ router }) => ({ instance: router.instance, zone: router.zone }));
}

function isOwner(member: RouterMember): boolean {
	return member.state === RouterState.Alive || member.state === RouterState.Suspect;
}
