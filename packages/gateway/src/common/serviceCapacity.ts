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
	/** Requests of the other instances on the targets, as last reported. */
	readonly otherRequests: number;
	/** Length of the shortest queue at a target, in requests that it runs at once; 0 if one is free. */
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
): ServiceCapacity {
	let concurrency = 0;
	let otherRequests = 0;
	let leastQueue = targets.length === 0 ? 0 : Infinity;
	for (const { load, peerRequests, record } of targets) {
		const running = computeConcurrency(record.slots, cache);
		concurrency += running;
		otherRequests += peerRequests;
		leastQueue = Math.min(leastQueue, Math.max(0, load + 1 - running) / running);
	}
	return { concurrency, otherRequests, leastQueue };
}

function computeConcurrency(slots: number, cache: CacheUse | undefined): number {
	if (cache === undefined || cache.tokensPerRequest === 0) {
		return slots;
	}
	const cached = Math.floor(cache.capacityTokens / cache.tokensPerRequest);
	return Math.max(1, Math.min(slots, Math.max(MIN_CACHE_SLOT_SHARE * slots, cached)));
}
