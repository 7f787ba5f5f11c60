/** Measured times of the requests of one service on its targets. */

/** Weight of the latest request in the moving averages. */
const WEIGHT = 0.05;
/** Resolution of the times; rates are computed from them. */
const MIN_SERVICE_MS = 1;
/** Until a request has ended. */
const DEFAULT_SERVICE_MS = 1000;
/** What is known of the longest deadline is given up slowly, for routes whose deadline is shortened. */
const DEADLINE_RETENTION = 0.9995;
/**
 * A request with so much less than the longest deadline left has probably spent the rest on an earlier attempt: more than
 * callers need to connect, and less than the shortest time after which refused ones return.
 */
const RETURNING_MARGIN_MS = 30;

interface RouteTimes {
	objectiveMs: number;
	serviceMs: number | undefined;
	longestDeadlineMs: number;
}

export class ServiceTimes {
	private readonly routes = new Map<string, RouteTimes>();
	private averageMs: number | undefined;

	/** Mean time that a target works on a request, without the time in its queue. */
	public get serviceMs(): number {
		return this.averageMs ?? DEFAULT_SERVICE_MS;
	}

	/** Latency objective of the route whose callers wait the least. */
	public get shortestObjectiveMs(): number {
		let shortestMs = Infinity;
		for (const { objectiveMs } of this.routes.values()) {
			shortestMs = Math.min(shortestMs, objectiveMs);
		}
		return shortestMs;
	}

	/** Mean time that a target works on a request of a route; undefined before the first one has ended. */
	public findRouteTime(route: string): number | undefined {
		return this.routes.get(route)?.serviceMs;
	}

	/**
	 * Records the time that a request has left when it arrives. Returns whether its caller has probably been refused or
	 * failed before: each of its attempts has an id of its own, but the deadline that it states has come closer.
	 */
	public recordArrival(route: string, objectiveMs: number, deadlineMs: number): boolean {
		const times = this.routes.get(route) ?? { objectiveMs, serviceMs: undefined, longestDeadlineMs: 0 };
		this.routes.set(route, times);
		times.objectiveMs = objectiveMs;
		times.longestDeadlineMs = Math.max(DEADLINE_RETENTION * times.longestDeadlineMs, deadlineMs);
		return deadlineMs < times.longestDeadlineMs - RETURNING_MARGIN_MS;
	}

	/**
	 * @param residenceMs time between the send of a request and its end
	 * @param queueAtSend length of the target's queue when it was sent, in requests that the target runs at once
	 */
	public recordEnd(route: string, residenceMs: number, queueAtSend: number): void {
		const serviceMs = Math.max(MIN_SERVICE_MS, residenceMs / (1 + Math.max(0, queueAtSend)));
		this.averageMs = updateAverage(this.averageMs, serviceMs);
		const times = this.routes.get(route);
		if (times !== undefined) {
			times.serviceMs = updateAverage(times.serviceMs, serviceMs);
		}
	}
}

function updateAverage(previousMs: number | undefined, latestMs: number): number {
	return previousMs === undefined ? latestMs : previousMs + WEIGHT * (latestMs - previousMs);
}
