/** Load and capacity of a service, over all targets that this instance can reach. */
import type { TargetState } from './targetState.js';

/**
 * Part of the slots that counts as capacity at least, however little the KV cache seems to hold: its use is estimated from
 * the mean prompt, and a refusal while half of the slots are free costs callers most.
 */
const MIN_CACHE_SLOT_SHARE = 0.6;

export interface ServiceCapacity {
	/** Requests that the targets can run at once. */
	readonly concurrency: number;
	/** Requests of the other senders on the targets. */
	readonly otherRequests: number;
	/** Whether the targets state their loads, so that those of other senders are known without hearing them. */
	readonly isStated: boolean;
	/** Length of the shortest queue at a target, in requests that it runs at once at its usual speed; 0 if one is free. */
	readonly leastQueue: number;
}

export interface CacheUse {
	/** KV cache of one engine, in tokens. */
	readonly capacityTokens: number;
	/** Mean tokens that one request needs. */
	readonly tokensPerRequest: number;
}

/** @param cache undefined for services that run no models */
export function estimateServiceCapacity(
	targets: readonly TargetState[],
	cache: CacheUse | undefined,
	nowMs: number,
): ServiceCapacity {
	let concurrency = 0;
	let otherRequests = 0;
	let leastQueue = targets.length === 0 ? 0 : Infinity;
	let isStated = targets.length > 0;
	for (const target of targets) {
		const { requests, slowdown } = target.estimateLoad(nowMs);
		const running = computeConcurrency(target.record.slots, cache);
		concurrency += running;
		otherRequests += Math.max(0, requests - target.ownRequests);
		leastQueue = Math.min(leastQueue, (slowdown * Math.max(0, requests + 1 - running)) / running);
		isStated &&= target.statedLoad.isInUse;
	}
	return { concurrency, otherRequests, isStated, leastQueue };
}

function computeConcurrency(slots: number, cache: CacheUse | undefined): number {
	if (cache === undefined || cache.tokensPerRequest === 0) {
		return slots;
	}
	const cached = Math.floor(cache.capacityTokens / cache.tokensPerRequest);
	return Math.max(1, Math.min(slots, Math.max(MIN_CACHE_SLOT_SHARE * slots, cached)));
}
