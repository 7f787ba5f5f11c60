/**
 * Spreads the return of callers that were refused because every target of a service asked for a pause. They come back
 * one priority after the other from the earliest end of the pauses on, so that its targets are not overrun at once.
 */

/** Width of the interval in which the callers of one priority return. */
const PRIORITY_INTERVAL_MS = 100;
/** When a caller returns if only other instances may use the targets, which are at their limits. */
const OTHER_SHARE_DELAY_MS = 400;

/**
 * @param earliestMs time until the first target takes requests again; infinity if only other instances may use them
 * @param priority 0 is the most urgent
 * @param jitter random number in [0, 1)
 */
export function computeReturnDelay(earliestMs: number, priority: number, jitter: number): number {
	const knownMs = Number.isFinite(earliestMs) ? earliestMs : OTHER_SHARE_DELAY_MS;
	return Math.round(knownMs + (Math.max(0, priority) + jitter) * PRIORITY_INTERVAL_MS);
}
