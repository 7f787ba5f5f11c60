/** Lease times and fencing tokens, which prevent two order holders from sending orders to the same engine. */
import type { Lease } from '../platform/keyValueStore.js';

export interface OrderTimings {
	/** Time-to-live of the holder's lease. */
	readonly leaseMs: number;
	/** Time before its expiry from which the lease counts as expired, to allow for clock drift. */
	readonly leaseMarginMs: number;
	/** Maximum time from the dispatch of an order to its effect. */
	readonly maxOrderMs: number;
}

export const DEFAULT_ORDER_TIMINGS: OrderTimings = {
	leaseMs: 15_000,
	leaseMarginMs: 2000,
	maxOrderMs: 30_000,
};

/** Whether an order may be dispatched at `nowMs` (monotonic clock). */
export function isLeaseSafe(lease: Lease | undefined, nowMs: number, times: OrderTimings): boolean {
	return lease !== undefined && nowMs < lease.grantedAtMs + lease.ttlMs - times.leaseMarginMs;
}

/**
 * Computes the earliest time at which the holder since `heldSinceMs` may send orders to an engine. An engine
 * that ignores fencing tokens may still receive orders of an earlier holder, whose lease may have outlived
 * the lock key, for example after a restore of the store.
 */
export function computeEarliestOrderMs(
	heldSinceMs: number,
	checksFencing: boolean,
	times: OrderTimings,
): number {
	return checksFencing ? heldSinceMs : heldSinceMs + times.leaseMs + times.maxOrderMs;
}

/**
 * Computes the fencing token of a holder whose lock key has `revision`. If engines have already seen a token
 * as high, the store was reset to an earlier state; the sum exceeds that token and differs for each later
 * holder.
 */
export function computeFencingToken(revision: number, highestSeenFencing: number): number {
	return revision > highestSeenFencing ? revision : highestSeenFencing + revision;
}
