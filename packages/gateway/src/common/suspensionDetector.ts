/** Detects that the machine was suspended: its steady clock stands still meanwhile, and the time of day does not. */

/** Smaller differences are corrections of the time of day. */
const MIN_SUSPENSION_MS = 1000;

export class SuspensionDetector {
	private offsetMs: number | undefined;

	/**
	 * Returns for how long the machine was suspended since the last call, in ms; 0 if it was not. A step of the time of day
	 * cannot be told from it.
	 */
	public check(steadyMs: number, timeOfDayMs: number): number {
		const offsetMs = timeOfDayMs - steadyMs;
		const gainedMs = offsetMs - (this.offsetMs ?? offsetMs);
		this.offsetMs = offsetMs;
		return gainedMs >= MIN_SUSPENSION_MS ? gainedMs : 0;
	}
}
