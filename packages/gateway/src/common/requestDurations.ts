/** How long the latest requests of each route took, and so how long a further one can be expected to take. */

const KEPT_DURATIONS = 64;
/** With fewer durations than this nothing is known of a route. */
const MIN_DURATIONS = 20;
/** A request may take so many times as long as the longest of the latest ones. */
const MARGIN_FACTOR = 1.5;

interface RouteDurations {
	readonly latestMs: number[];
	/** Index of the oldest duration, which the next one replaces. */
	oldest: number;
}

export class RequestDurations {
	private readonly routes = new Map<string, RouteDurations>();

	/** @param durationMs time from the send of a request to the end of its response, or to its time limit */
	public record(route: string, durationMs: number): void {
		const durations = this.routes.get(route) ?? { latestMs: [], oldest: 0 };
		this.routes.set(route, durations);
		durations.latestMs[durations.oldest] = durationMs;
		durations.oldest = (durations.oldest + 1) % KEPT_DURATIONS;
	}

	/**
	 * Whether a request that is sent now should end in the time that is left.
	 * @param limitMs time after which the request ends in any case
	 */
	public isEndExpected(route: string, timeLeftMs: number, limitMs: number): boolean {
		return limitMs <= timeLeftMs || this.estimateLongest(route) <= timeLeftMs;
	}

	/** Returns the time within which a further request of the route should end; infinity if too little is known. */
	private estimateLongest(route: string): number {
		const latestMs = this.routes.get(route)?.latestMs ?? [];
		return latestMs.length < MIN_DURATIONS ? Infinity : MARGIN_FACTOR * Math.max(...latestMs);
	}
}
