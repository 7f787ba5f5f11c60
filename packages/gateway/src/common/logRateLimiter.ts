/**
 * Limits the number of log lines per second. The class of a line determines its limit; lines of all classes
 * count.
 */
import type { LogClass } from './eventLog.js';

const ROUTINE_LINES_PER_SECOND = 100;
const DECISION_LINES_PER_SECOND = 400;
/** More state changes than this would be a fault in itself. */
const STATE_LINES_PER_SECOND = 1000;

const LINES_PER_SECOND: Readonly<Record<LogClass, number>> = {
	routine: ROUTINE_LINES_PER_SECOND,
	decision: DECISION_LINES_PER_SECOND,
	state: STATE_LINES_PER_SECOND,
};

export class LogRateLimiter {
	private second = 0;
	private lines = 0;
	private dropped = 0;

	/** Returns whether a line may be written now, and counts it. */
	public tryAcquire(logClass: LogClass, nowMs: number): boolean {
		const second = Math.floor(nowMs / 1000);
		if (second !== this.second) {
			this.second = second;
			this.lines = 0;
		}
		if (this.lines >= LINES_PER_SECOND[logClass]) {
			this.dropped += 1;
			return false;
		}
		this.lines += 1;
		return true;
	}

	/** Counts a line that was permitted but could not be written. */
	public recordDropped(): void {
		this.dropped += 1;
	}

	/** Returns the number of lines dropped since the last call. */
	public takeDroppedCount(): number {
		const { dropped } = this;
		this.dropped = 0;
		return dropped;
	}
}
