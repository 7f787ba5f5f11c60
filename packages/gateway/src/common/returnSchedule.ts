/**
 * Decides when the refused callers of a service return. They are spread over time as capacity for them is expected, the
 * urgent before the others: a caller returns after those that are as urgent or more urgent, never after those that are less
 * urgent. A later refusal gets a later time, so returning early gains nothing.
 */

/** Part of the capacity that is kept for callers that return. */
export const RETURN_SHARE = 0.125;
/** Requests in progress end all the time, but an earlier return would find the same situation. */
const MIN_DELAY_MS = 50;
/** Callers wait for at most this part of the time that they have left. */
const HONOURED_SHARE = 1 / 3;
/** Returns beyond the time that callers wait are spread over the last part of it. */
const LATE_SPREAD_SHARE = 0.5;
/** Returns within this time may be at the gateway at once. */
const DUE_WINDOW_MS = 200;
/** Bounds the list of expected returns; at most this many can be due in the window of one instance. */
const MAX_EXPECTED = 1000;

export class ReturnSchedule {
	/** Next free time of each priority. */
	private readonly nextAtMs = new Map<number, number>();
	private expectedAtMs: number[] = [];

	/**
	 * Returns the time after which the caller is asked to return, in ms.
	 * @param ratePerMs requests per ms that this instance can send
	 * @param remainingMs time that the caller has left
	 * @param jitter random number in [0, 1)
	 */
	public schedule(
		priority: number,
		ratePerMs: number,
		remainingMs: number,
		nowMs: number,
		jitter: number,
	): number {
		const intervalMs = 1 / Math.max(1e-6, RETURN_SHARE * ratePerMs);
		const startMs = Math.max(nowMs + MIN_DELAY_MS, this.findNext(priority));
		const latestMs = nowMs + HONOURED_SHARE * Math.max(0, remainingMs);
		const dueMs = startMs + jitter * intervalMs;
		if (dueMs > latestMs) {
			const earlyMs = (1 - jitter) * LATE_SPREAD_SHARE * (latestMs - nowMs);
			return Math.max(MIN_DELAY_MS, Math.round(latestMs - earlyMs - nowMs));
		}
		this.nextAtMs.set(priority, startMs + intervalMs);
		if (this.expectedAtMs.length < MAX_EXPECTED) {
			this.expectedAtMs.push(dueMs);
		}
		return Math.round(dueMs - nowMs);
	}

	/** Counts the callers that are expected to return now. Those of other instances balance those that go there. */
	public countDue(nowMs: number): number {
		this.expectedAtMs = this.expectedAtMs.filter((atMs) => atMs > nowMs - DUE_WINDOW_MS);
		return this.expectedAtMs.filter((atMs) => atMs <= nowMs + DUE_WINDOW_MS).length;
	}

	/** Finds the first time after the returns of the same and of more urgent priorities. */
	private findNext(priority: number): number {
		let nextMs = -Infinity;
		for (const [other, atMs] of this.nextAtMs) {
			nextMs = other <= priority ? Math.max(nextMs, atMs) : nextMs;
		}
		return nextMs;
	}
}
