/** Estimates the interval between departures from a queue as an exponentially weighted moving average. */

/** Weight of the latest interval in the average. */
const SMOOTHING_FACTOR = 0.1;
/** Intervals needed for an estimate: the first departures come in a burst. */
const MIN_DEPARTURES = 5;

export class DepartureIntervalEstimator {
	private firstDepartureMs: number | undefined;
	private lastDepartureMs = 0;
	private departures = 0;
	private smoothedIntervalMs = 0;

	/** Average time between two departures, in ms; undefined until there are enough of them. */
	public get intervalMs(): number | undefined {
		return this.departures < MIN_DEPARTURES ? undefined : this.smoothedIntervalMs;
	}

	public noteDeparture(nowMs: number): void {
		if (this.firstDepartureMs === undefined) {
			this.firstDepartureMs = nowMs;
			this.lastDepartureMs = nowMs;
			return;
		}
		const intervalMs = nowMs - this.lastDepartureMs;
		this.lastDepartureMs = nowMs;
		this.departures += 1;
		const isWarmingUp = this.departures <= 1 / SMOOTHING_FACTOR;
		this.smoothedIntervalMs = isWarmingUp
			? (nowMs - this.firstDepartureMs) / this.departures
			: this.smoothedIntervalMs + SMOOTHING_FACTOR * (intervalMs - this.smoothedIntervalMs);
	}
}
