/** Exponential back-off with full jitter. */
import { hashToUnit } from '../base/hash.js';

export interface BackOffPolicy {
	/** Upper bound of the first delay, in ms. */
	readonly baseMs: number;
	/** Upper bound of every delay, in ms. */
	readonly maxMs: number;
	/**
	 * Seed of the jitter: the delays of a process are reproducible and differ from those of other processes.
	 */
	readonly seed: string;
}

/** Computes the delay before attempt `attempt` (1 is the first retry), in ms. */
export function computeBackOffMs(policy: BackOffPolicy, attempt: number): number {
	const upperBoundMs = Math.min(policy.maxMs, policy.baseMs * 2 ** (attempt - 1));
	return upperBoundMs * hashToUnit(`${policy.seed}/${attempt}`);
}
