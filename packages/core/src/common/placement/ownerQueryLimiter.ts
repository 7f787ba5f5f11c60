/** Rate limiter for a router's queries to owners, since each one costs control traffic at both ends. */

import type { PlacementPolicy } from './policy.js';

/** Owner queries that a router may send per second under the adaptive policy. */
const OWNER_QUERIES_PER_SECOND = 2;
/** Size of the burst, in seconds of the rate. */
const BURST_SECONDS = 3;

export class OwnerQueryLimiter {
	private tokens = Infinity;
	private refilledAtMs = -Infinity;

	/** @param perSecond owner queries that this router may send per second; `Infinity` for no limit */
	constructor(private readonly perSecond: number) {}

	/** Acquires one query, or returns false if the rate limit is exhausted. */
	public tryAcquire(nowMs: number): boolean {
		if (this.perSecond === Infinity) {
			return true;
		}
		const elapsedSeconds = (nowMs - this.refilledAtMs) / 1_000;
		this.refilledAtMs = nowMs;
		this.tokens = Math.min(this.perSecond * BURST_SECONDS, this.tokens + this.perSecond * elapsedSeconds);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}
}

/** Creates the limiter of one router: unlimited for the `owner` policy, which queries for every request. */
export function createOwnerQueryLimiter(policy: PlacementPolicy): OwnerQueryLimiter {
	return new OwnerQueryLimiter(policy.kind === 'owner' ? Infinity : OWNER_QUERIES_PER_SECOND);
}
