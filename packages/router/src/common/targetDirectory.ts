/**
 * The targets of each pool and whether they accept new work. Sources are the instance list, which lags and may
 * shrink by mistake, the results of probes and attempts, and leaving notices from other routers.
 */
import type { InstanceList, ListedTarget, TargetInstance, TargetState } from '@papayawell/core';
import {
	computeWarmUpWeight,
	Emitter,
	ListedState,
	TargetListGuard,
	TargetLifecycle,
} from '@papayawell/core';

/** Time in which a target that joins a running fleet warms up to its full weight, in ms. */
const WARM_UP_MS = 30_000;

export interface PoolTarget {
	readonly target: TargetInstance;
	readonly acceptsNew: boolean;
	/** Warm-up weight in the ranking of targets, from 0 to 1. */
	readonly weight: number;
}

export interface DescribedTarget extends PoolTarget {
	readonly state: TargetState;
}

/** Result of a probe, a load poll or an attempt. `die`: the process of this incarnation has died. */
export type HealthEvent = 'succeed' | 'fail' | 'die';

interface TargetEntry {
	readonly target: TargetInstance;
	readonly lifecycle: TargetLifecycle;
	/** Start of the warm-up, in ms of the monotonic clock; minus infinity for targets of the first list, which are warm. */
	readonly joinedAtMs: number;
	/** Whether the target serves and its last event was `succeed`; a further `succeed` then changes nothing. */
	isHealthy: boolean;
}

/** Owns the state of all targets at this router. */
export class TargetDirectory {
	private readonly changed = new Emitter<string>();
	private readonly removed = new Emitter<TargetInstance>();
	private readonly entries = new Map<string, TargetEntry>();
	private readonly instancesByOrigin = new Map<string, string>();
	private readonly listGuards = new Map<string, TargetListGuard>();
	/** Leaving incarnations by instance, so that a lagging list can't put them back into service. */
	private readonly leavingIncarnations = new Map<string, string>();
	/** Summary of each pool at its last change event, so that the event fires for changes only. */
	private readonly lastSummaries = new Map<string, string>();
	private hasAppliedList = false;
	/** Time of the last instance list, in ms of the monotonic clock. */
	private nowMs = 0;

	/** Fires with the name of a pool when a target is added, changed or removed, or starts or stops accepting work. */
	public readonly onDidChangePool = this.changed.event;
	/** Fires when a target is removed or its address changes, with its former data. */
	public readonly onDidRemoveTarget = this.removed.event;

	/** Applies a snapshot of the instance list, at `nowMs` of the monotonic clock. */
	public applyList(list: InstanceList, nowMs: number): void {
		this.nowMs = nowMs;
		const pools = groupByPool(list.targets);
		for (const pool of new Set([...pools.keys(), ...this.listGuards.keys()])) {
			this.applyPool(pool, pools.get(pool) ?? [], nowMs);
		}
		this.hasAppliedList = true;
	}

	/** Stops new work to this incarnation of the target. Returns false if it was already marked. */
	public markLeaving(instance: string, incarnation: string): boolean {
		if (this.leavingIncarnations.get(instance) === incarnation) {
			return false;
		}
		this.leavingIncarnations.set(instance, incarnation);
		const entry = this.entries.get(instance);
		if (entry?.target.incarnation === incarnation) {
			entry.lifecycle.handle({ type: 'leave' });
			this.fireIfChanged(entry.target.pool);
		}
		return true;
	}

	/** Records the result of a probe, a load poll or an attempt. */
	public recordHealth(instance: string, event: HealthEvent, nowMs: number): void {
		const entry = this.entries.get(instance);
		if (entry === undefined || (entry.isHealthy && event === 'succeed')) {
			return;
		}
		const before = entry.lifecycle.state;
		const after = entry.lifecycle.handle({ type: event, nowMs });
		entry.isHealthy = event === 'succeed' && after === 'serving';
		if (after !== before) {
			this.fireIfChanged(entry.target.pool);
		}
	}

	/** Like `recordHealth`, for the target at an origin. */
	public recordHealthByOrigin(origin: string, event: HealthEvent, nowMs: number): void {
		const instance = this.instancesByOrigin.get(origin);
		if (instance !== undefined) {
			this.recordHealth(instance, event, nowMs);
		}
	}

	public find(instance: string): TargetInstance | undefined {
		return this.entries.get(instance)?.target;
	}

	/**
	 * Lists the targets of a pool, including those that accept no new work. A live target accepts work until it
	 * fails. If no target of the pool is joining or serving, its suspects accept work too, since an attempt may
	 * succeed where a refusal can't.
	 */
	public listPool(pool: string): readonly DescribedTarget[] {
		const entries = [...this.entries.values()].filter(({ target }) => target.pool === pool);
		const hasAccepting = entries.some(({ lifecycle }) => isAccepting(lifecycle.state));
		return entries.map(({ target, lifecycle, joinedAtMs }) => ({
			target,
			state: lifecycle.state,
			weight: computeWarmUpWeight(this.nowMs - joinedAtMs, WARM_UP_MS),
			acceptsNew: isAccepting(lifecycle.state) || (!hasAccepting && lifecycle.state === 'suspect'),
		}));
	}

	/** Lists the suspect targets, which are to be probed for recovery. */
	public listSuspects(): readonly TargetInstance[] {
		return [...this.entries.values()]
			.filter(({ lifecycle }) => lifecycle.state === 'suspect')
			.map(({ target }) => target);
	}

	private applyPool(pool: string, listed: readonly ListedTarget[], nowMs: number): void {
		const guard = this.listGuards.get(pool) ?? new TargetListGuard();
		this.listGuards.set(pool, guard);
		const names = new Set(listed.map(({ target }) => target.instance));
		const kept = guard.filter(names, new Set(this.leavingIncarnations.keys()), nowMs);
		for (const item of listed) {
			this.applyTarget(item);
		}
		for (const { target } of [...this.entries.values()]) {
			if (target.pool === pool && !kept.has(target.instance)) {
				this.entries.delete(target.instance);
				this.releaseOrigin(target);
			}
		}
		this.fireIfChanged(pool);
	}

	private applyTarget({ target, state }: ListedTarget): void {
		const before = this.entries.get(target.instance);
		const isSameIncarnation = before?.target.incarnation === target.incarnation;
		const lifecycle = isSameIncarnation ? before.lifecycle : new TargetLifecycle();
		const joinedAtMs = this.hasAppliedList ? this.nowMs : Number.NEGATIVE_INFINITY;
		const entry = isSameIncarnation ? before : { lifecycle, joinedAtMs, isHealthy: false };
		this.entries.set(target.instance, { ...entry, target });
		if (before !== undefined && before.target.origin !== target.origin) {
			this.releaseOrigin(before.target);
		}
		this.instancesByOrigin.set(target.origin, target.instance);
		if (
			state === ListedState.Leaving ||
			this.leavingIncarnations.get(target.instance) === target.incarnation
		) {
			lifecycle.handle({ type: 'leave' });
		}
	}

	private releaseOrigin(target: TargetInstance): void {
		if (this.instancesByOrigin.get(target.origin) === target.instance) {
			this.instancesByOrigin.delete(target.origin);
		}
		this.removed.fire(target);
	}

	private fireIfChanged(pool: string): void {
		const summary = JSON.stringify(
			this.listPool(pool).map(({ target, acceptsNew, weight }) => [target, acceptsNew, weight]),
		);
		if (this.lastSummaries.get(pool) !== summary) {
			this.lastSummaries.set(pool, summary);
			this.changed.fire(pool);
		}
	}
}

function isAccepting(state: TargetState): boolean {
	return state === 'joining' || state === 'serving';
}

function groupByPool(targets: readonly ListedTarget[]): ReadonlyMap<string, ListedTarget[]> {
	const pools = new Map<string, ListedTarget[]>();
	for (const item of targets) {
		const pool = pools.get(item.target.pool);
		if (pool === undefined) {
			pools.set(item.target.pool, [item]);
		} else {
			pool.push(item);
		}
	}
	return pools;
}
