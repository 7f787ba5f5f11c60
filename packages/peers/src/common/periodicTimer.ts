/** Polled timer: reports when the next period is due. */

export class PeriodicTimer {
	private dueAtMs: number;

	constructor(
		private readonly periodMs: number,
		nowMs: number,
	) {
		this.dueAtMs = nowMs + periodMs;
	}

	/** Returns whether the period has elapsed and, if so, starts the next one, of length `periodMs`. */
	public tick(nowMs: number, periodMs = this.periodMs): boolean {
		if (nowMs < this.dueAtMs) {
			return false;
		}
		this.dueAtMs = nowMs + periodMs;
		return true;
	}
}
