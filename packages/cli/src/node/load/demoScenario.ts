/** Scenario of the demo: 45 s of generations and application calls with one surge and load from another system. */
import type { Scenario } from '@papayawell/replay';

const DURATION_MS = 45_000;

/** Duration of one decode step of an engine that runs a single request, in ms. */
export const DEMO_TOKEN_MS = 40;

/** Capacity of the prefix cache of each engine, in tokens. */
export const DEMO_CACHE_TOKENS = 60_000;

export const DEMO_SCENARIO: Scenario = {
	durationMs: DURATION_MS,
	customers: 10,
	customerSkew: 1,
	zones: ['a', 'b', 'c'],
	pools: [
		{ pool: 'drafting', kind: 'engine', instances: 8, capacity: 32, cacheTokens: DEMO_CACHE_TOKENS },
		{ pool: 'booking', kind: 'application', instances: 3, capacity: 64 },
	],
	workloads: [
		{
			pool: 'drafting',
			requestClass: 'plan',
			requestsPerSecond: 25,
			shape: { kind: 'generation', chats: 400, promptTokens: 900, outputTokens: 30 },
		},
		{
			pool: 'drafting',
			requestClass: 'note',
			requestsPerSecond: 10,
			shape: { kind: 'generation', chats: 150, promptTokens: 300, outputTokens: 20 },
		},
		{
			pool: 'booking',
			requestClass: 'confirm',
			requestsPerSecond: 10,
			shape: { kind: 'call', serviceMs: 30, atMostOnceShare: 1 },
		},
		{
			pool: 'booking',
			requestClass: 'availability',
			requestsPerSecond: 10,
			shape: { kind: 'call', serviceMs: 10, atMostOnceShare: 0 },
		},
	],
	surges: [{ customer: 1, factor: 3, startMs: 20_000, endMs: 30_000 }],
	targetIncidents: [],
	routerIncidents: [],
	externalLoads: [
		{ atMs: 8_000, pool: 'drafting', instance: 2, requests: 3 },
		{ atMs: 22_000, pool: 'drafting', instance: 2, requests: 0 },
	],
};
