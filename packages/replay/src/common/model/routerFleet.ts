/**
 * The simulated routers: their state, their delayed views of targets and peers, and the entry router of each
 * request.
 */
import { OwnerSelector, RendezvousTable } from '@papayawell/core';
import type { Random } from '../generate/random.js';
import type { EventQueue } from '../run/eventQueue.js';
import type { RequestEvent, RouterEvent } from '../trace/traceEvent.js';
import type { RouterEnvironment } from './routerModel.js';
import { RouterModel } from './routerModel.js';
import type { TargetFleet } from './targetFleet.js';
import { MAX_PROPAGATION_SKEW_MS } from './targetFleet.js';

/** Time until the other routers detect that a router stopped or started. */
const MEMBERSHIP_LAG_MS = 3_000;
/** Target changes of the same instant are published together after this delay. */
const PUBLISH_DELAY_MS = 0.001;

/** How callers pick their router: by the owner of the chat's first choice, by a hash of the chat, or at random. */
export type EntryPolicy = 'owner' | 'chat' | 'random';
export const ENTRY_POLICIES: readonly EntryPolicy[] = ['owner', 'chat', 'random'];

export class RouterFleet {
	private readonly routers: RouterModel[] = [];
	private readonly routersByInstance = new Map<string, RouterModel>();
	/** Pools with changes that are not published to the routers yet. */
	private readonly changedPools = new Set<string>();
	private entryTable = new RendezvousTable([]);

	constructor(
		private readonly queue: EventQueue,
		private readonly random: Random,
		private readonly targets: TargetFleet,
		private readonly environment: RouterEnvironment,
	) {}

	/** Starts `count` routers, spread round-robin over the zones. */
	public start(count: number, zones: readonly string[], onDidStart: (index: number) => void): void {
		for (let index = 0; index < count; index++) {
			const zone = zones[index % zones.length] ?? 'a';
			this.setRouter(index, new RouterModel(`router-${index + 1}`, zone, this.environment));
			onDidStart(index);
		}
		this.updateEntryTable();
		this.queue.schedule(0, () => {
			this.publishRouters();
		});
	}

	public list(): readonly RouterModel[] {
		return this.routers;
	}

	public find(instance: string): RouterModel | undefined {
		return this.routersByInstance.get(instance);
	}

	/** Returns the router through which the caller sends the request. */
	public findEntryRouter(request: RequestEvent, entryPolicy: EntryPolicy): RouterModel | undefined {
		const { chat, pool } = request;
		const ownerRouter =
			chat === undefined || entryPolicy !== 'owner'
				? undefined
				: this.routers.find(({ state }) => state === 'alive')?.findEntryRouter(pool, chat);
		const key = entryPolicy === 'random' ? request.id : (chat ?? request.id);
		const instance = ownerRouter ?? this.entryTable.rank(key, 1)[0];
		return instance === undefined ? undefined : this.routersByInstance.get(instance);
	}

	/** Schedules the publication of a pool; all changes of the same instant are published once. */
	public publishTargets(pool: string): void {
		if (this.changedPools.size === 0) {
			this.queue.schedule(PUBLISH_DELAY_MS, () => {
				for (const changed of this.changedPools) {
					this.publishPool(changed);
				}
				this.changedPools.clear();
				this.publishRouters();
			});
		}
		this.changedPools.add(pool);
	}

	private publishPool(pool: string): void {
		const knownTargets = this.targets.listKnown(pool);
		for (const router of this.routers) {
			const delayMs =
				this.queue.nowMs <= PUBLISH_DELAY_MS ? 0 : this.random.nextUnit() * MAX_PROPAGATION_SKEW_MS;
			this.queue.schedule(delayMs, () => {
				router.setTargets(pool, knownTargets);
			});
		}
	}

	/** Publishes the router membership and the ownership of the engines to all routers. */
	private publishRouters(): void {
		const alive = this.routers.filter(({ state }) => state === 'alive' || state === 'paused');
		const members = alive.map(({ instance, zone }) => ({ instance, zone }));
		const ownerSelector = new OwnerSelector(members);
		const owned = new Map<string, string[]>();
		for (const { info, state } of this.targets.listEngines()) {
			const owner = ownerSelector.selectOwner(info);
			if (owner !== undefined && state !== 'gone') {
				owned.set(owner, [...(owned.get(owner) ?? []), info.instance]);
			}
		}
		for (const router of this.routers) {
			const delayMs =
				this.queue.nowMs <= PUBLISH_DELAY_MS ? 0 : this.random.nextUnit() * MAX_PROPAGATION_SKEW_MS;
			this.queue.schedule(delayMs, () => {
				router.setRouters(members);
				router.engineOwner.setOwned(owned.get(router.instance) ?? []);
			});
		}
	}

	/** Rebuilds the table by which callers pick a router. */
	private updateEntryTable(): void {
		this.entryTable = new RendezvousTable(
			this.routers
				.filter(({ state }) => state === 'alive' || state === 'paused')
				.map(({ instance }) => ({ name: instance, weight: 1 })),
		);
	}

	/** Applies a router event. Returns the number of queued requests that were lost with a crashed router. */
	public apply(event: RouterEvent): number {
		const router = this.routers[event.router - 1];
		if (router === undefined) {
			return 0;
		}
		let lostRequests = 0;
		switch (event.event) {
			case 'crash':
				router.state = 'crashed';
				lostRequests = router.removeQueued().length;
				break;
			case 'drain':
				router.state = 'draining';
				break;
			case 'start':
				this.restartRouter(event.router - 1, router);
				break;
			case 'pause':
				router.state = 'paused';
				this.queue.schedule(event.durationMs ?? 0, () => {
					router.state = 'alive';
				});
				break;
		}
		this.updateEntryTable();
		this.queue.schedule(MEMBERSHIP_LAG_MS, () => {
			this.publishRouters();
		});
		return lostRequests;
	}

	private restartRouter(index: number, previous: RouterModel): void {
		const router = new RouterModel(previous.instance, previous.zone, this.environment);
		for (const pool of this.targets.listPools()) {
			router.setTargets(pool, this.targets.listKnown(pool));
		}
		this.setRouter(index, router);
	}

	private setRouter(index: number, router: RouterModel): void {
		this.routers[index] = router;
		this.routersByInstance.set(router.instance, router);
	}
}
