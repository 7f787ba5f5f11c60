/** Derives the fleet, its rules and the scheduled requests from a trace. */
import type { RequestEvent, TraceEvent } from '@papayawell/replay';
import type { FleetPlan, PoolPlan } from '../harness/fleetPlan.js';
import { SMALL_FLEET } from '../harness/fleetPlan.js';
import type { TrafficClass } from '../harness/fleetRules.js';
import { buildRules } from '../harness/fleetRules.js';
import type { TimedRequest } from './openLoop.js';
import { planRequest } from './plannedRequest.js';

/** An event that changes the fleet: all events other than requests. */
export type FleetEvent = Exclude<TraceEvent, RequestEvent>;

/** Returns the requests of a trace with their send times, divided by `speed`. */
export function listRequests(events: readonly TraceEvent[], speed: number): TimedRequest[] {
	const startEpochMs = Date.now();
	return events.filter(isRequest).map((event) => ({
		atMs: event.t / speed,
		plan: () => planRequest(event, startEpochMs),
	}));
}

/** Plans the fleet that a trace needs. `loadBound` is the load bound in the rules for engines. */
export function planFleet(events: readonly TraceEvent[], routers: number, loadBound?: number): FleetPlan {
	const requests = events.filter(isRequest);
	const customers = [...new Set(requests.map((request) => request.customer))];
	return {
		...SMALL_FLEET,
		routers,
		zones: listZones(events),
		pools: listPools(events),
		rules: buildRules(listClasses(requests), customers, loadBound),
	};
}

function isRequest(event: TraceEvent): event is RequestEvent {
	return event.type === 'request';
}

function listZones(events: readonly TraceEvent[]): string[] {
	const zones = events.flatMap((event) => (event.type === 'instance' ? [event.zone] : []));
	return [...new Set(zones)].sort();
}

/** Lists the pools with all instances that the trace mentions. All of them run from the start. */
function listPools(events: readonly TraceEvent[]): PoolPlan[] {
	const instances = new Map<string, Set<string>>();
	const pools = new Map<string, PoolPlan>();
	for (const event of events) {
		if (event.type !== 'instance') {
			continue;
		}
		const names = instances.get(event.pool) ?? new Set<string>();
		instances.set(event.pool, names.add(event.instance));
		const { pool, kind, capacity, cacheTokens } = event;
		const cache = cacheTokens === undefined ? {} : { cacheTokens };
		pools.set(pool, { pool, kind, capacity, instances: names.size, ...cache });
	}
	return [...pools.values()];
}

function listClasses(requests: readonly RequestEvent[]): TrafficClass[] {
	const classes = new Map<string, TrafficClass>();
	for (const request of requests) {
		const kind = request.outputTokens === undefined ? 'call' : 'generation';
		const isOnce = request.idempotencyKey !== undefined;
		const name = `${request.pool} ${request.class} ${kind} ${isOnce}`;
		classes.set(name, { pool: request.pool, requestClass: request.class, kind, isOnce });
	}
	return [...classes.values()];
}
