/** The simulated targets: their state, what routers know of them, and the requests that a crash interrupts. */
import type { PlacementTarget } from '@papayawell/core';
import { computeWarmUpWeight } from '@papayawell/core';
import type { EventQueue } from '../run/eventQueue.js';
import type { InstanceEvent } from '../trace/traceEvent.js';
import type { Job } from './job.js';
import type { EngineSpeed } from './targetModel.js';
import { TargetModel } from './targetModel.js';

/** Time until routers discover that an instance joined, left or recovered. */
const DISCOVERY_LAG_MS = 1_000;
/** Time until routers detect a crash. */
const CRASH_DETECTION_MS = 2_000;
/** Longest delay between the first and the last router that receives a change. */
export const MAX_PROPAGATION_SKEW_MS = 1_000;
const WARM_UP_MS = 30_000;
/** Weight steps of `computeWarmUpWeight`; the target is published again at each of them. */
const WARM_UP_STEPS = 8;
const WARM_UP_STEP_MS = WARM_UP_MS / WARM_UP_STEPS;

export interface TargetFleetEvents {
	finish(job: Job): void;
	/** Called for each request that was running or queued on a target that crashed. */
	fail(job: Job): void;
	/** Called when the state of a pool is to be published to the routers. */
	publish(pool: string): void;
}

export class TargetFleet {
	private readonly targets = new Map<string, TargetModel>();
	private readonly pools = new Map<string, TargetModel[]>();
	/** Targets that the routers know to be unavailable. */
	private readonly knownUnavailable = new Set<string>();

	constructor(
		private readonly queue: EventQueue,
		private readonly speed: EngineSpeed,
		private readonly events: TargetFleetEvents,
	) {}

	public find(instance: string): TargetModel | undefined {
		return this.targets.get(instance);
	}

	public listPools(): string[] {
		return [...this.pools.keys()];
	}

	public listEngines(): TargetModel[] {
		return [...this.targets.values()].filter(({ info }) => info.kind === 'engine');
	}

	/** Lists the targets of a pool that accept new requests. */
	public listLive(pool: string): TargetModel[] {
		return (this.pools.get(pool) ?? []).filter((target) => target.state === 'live');
	}

	/** Lists the targets of a pool as the routers know them. */
	public listKnown(pool: string): PlacementTarget[] {
		return (this.pools.get(pool) ?? [])
			.filter(({ info }) => !this.knownUnavailable.has(info.instance))
			.map((target) => ({
				instance: target.info.instance,
				zone: target.info.zone,
				capacity: target.info.capacity,
				weight: computeWarmUpWeight(this.queue.nowMs - target.joinedAtMs, WARM_UP_MS),
				acceptsNew: target.state !== 'leaving',
			}));
	}

	public apply(event: InstanceEvent): void {
		switch (event.event) {
			case 'join':
				this.addTarget(event);
				return;
			case 'leaving':
				this.startLeaving(event);
				return;
			case 'leave':
			case 'crash':
				this.remove(event);
				return;
			case 'recover':
				this.restore(event);
				return;
		}
	}

	private addTarget(event: InstanceEvent): void {
		const target = new TargetModel(event, this.speed, this.queue, (job) => {
			this.events.finish(job);
		});
		this.targets.set(event.instance, target);
		this.pools.set(event.pool, [...(this.pools.get(event.pool) ?? []), target]);
		if (event.t === 0) {
			target.joinedAtMs = -Infinity;
			this.events.publish(event.pool);
			return;
		}
		this.warmUp(event);
	}

	private startLeaving(event: InstanceEvent): void {
		const target = this.targets.get(event.instance);
		if (target !== undefined) {
			target.state = 'leaving';
			this.schedulePublish(event, DISCOVERY_LAG_MS);
		}
	}

	private remove(event: InstanceEvent): void {
		for (const job of this.targets.get(event.instance)?.crash() ?? []) {
			this.events.fail(job);
		}
		this.queue.schedule(CRASH_DETECTION_MS, () => {
			if (this.targets.get(event.instance)?.state === 'gone') {
				this.knownUnavailable.add(event.instance);
				this.events.publish(event.pool);
			}
		});
	}

	private restore(event: InstanceEvent): void {
		this.targets.get(event.instance)?.restore();
		this.queue.schedule(DISCOVERY_LAG_MS, () => {
			this.knownUnavailable.delete(event.instance);
		});
		this.warmUp(event);
	}

	private warmUp(event: InstanceEvent): void {
		for (let ageMs = 0; ageMs <= WARM_UP_MS; ageMs += WARM_UP_STEP_MS) {
			this.schedulePublish(event, DISCOVERY_LAG_MS + ageMs);
		}
	}

	private schedulePublish(event: InstanceEvent, delayMs: number): void {
		this.queue.schedule(delayMs, () => {
			this.events.publish(event.pool);
		});
	}
}
