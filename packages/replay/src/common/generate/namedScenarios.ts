/** The predefined scenarios. `scale` multiplies instances, chats and traffic by the same factor. */
import type { PoolShape, Scenario, Workload } from './scenario.js';

export const ScenarioName = {
	MandacaruMorning: 'mandacaru-morning',
	GlenmoreSurge: 'glenmore-surge',
	Churn: 'churn',
	ZoneLoss: 'zone-loss',
	Flapping: 'flapping',
	OlderSystem: 'older-system',
	TwoYear: 'two-year',
} as const;
export type ScenarioName = (typeof ScenarioName)[keyof typeof ScenarioName];

export const SCENARIO_NAMES: readonly ScenarioName[] = Object.values(ScenarioName);

export interface ScenarioOptions {
	/** Factor for the number of instances, the number of chats and the arrival rates. */
	readonly scale: number;
	/** Length of the trace; defaults to the scenario's own length. */
	readonly durationMs?: number;
}

/** Requests that one instance runs concurrently. */
const ENGINE_CAPACITY = 32;
/** Prefix cache sizes of an engine, in tokens. */
const CACHE_TOKENS = 200_000;
const LARGE_CACHE_TOKENS = 1_000_000;
const APPLICATION_CAPACITY = 64;
const FLAP_PERIOD_MS = 10_000;
/** Time from the crash to the recovery within each period. */
const FLAP_DOWN_MS = 5_000;
const ZONES = ['a', 'b', 'c'];

/** Creates the scenario of the given name. */
export function createScenario(name: ScenarioName, options: ScenarioOptions): Scenario {
	switch (name) {
		case ScenarioName.MandacaruMorning:
			return createMandacaru(options, 30_000);
		case ScenarioName.GlenmoreSurge:
			return createGlenmore(options, 180_000);
		case ScenarioName.Churn:
			return createChurn(options, 240_000);
		case ScenarioName.ZoneLoss:
			return createZoneLoss(options, 180_000);
		case ScenarioName.Flapping:
			return createFlapping(options, 180_000);
		case ScenarioName.OlderSystem:
			return createOlderSystem(options, 180_000);
		case ScenarioName.TwoYear:
			return createTwoYear(options, 100_000);
	}
}

function computeCount(count: number, options: ScenarioOptions): number {
	return Math.max(1, Math.round(count * options.scale));
}

function createMandacaru(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const drafting: PoolShape = {
		pool: 'drafting',
		kind: 'engine',
		instances: computeCount(8, options),
		capacity: ENGINE_CAPACITY,
		cacheTokens: CACHE_TOKENS,
	};
	const booking: PoolShape = {
		pool: 'booking',
		kind: 'application',
		instances: computeCount(3, options),
		capacity: APPLICATION_CAPACITY,
	};
	return {
		durationMs: options.durationMs ?? defaultDurationMs,
		customers: 10,
		customerSkew: 1,
		zones: ZONES,
		pools: [drafting, booking],
		workloads: [
			makeGeneration('drafting', 'plan', 20, 2_000, 1_800, 120, options),
			makeGeneration('drafting', 'note', 10, 1_000, 600, 50, options),
			makeCalls('booking', 'confirm', 5, 40, options),
		],
		surges: [],
		targetIncidents: [],
		routerIncidents: [],
		externalLoads: [],
	};
}

/** The largest customer sends ten times its usual traffic for 60 s, from a third of the trace on. */
function createGlenmore(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const length = options.durationMs ?? defaultDurationMs;
	const drafting: PoolShape = {
		pool: 'drafting',
		kind: 'engine',
		instances: computeCount(6, options),
		capacity: ENGINE_CAPACITY,
		cacheTokens: CACHE_TOKENS,
	};
	const publishing: PoolShape = {
		pool: 'publishing',
		kind: 'application',
		instances: computeCount(3, options),
		capacity: APPLICATION_CAPACITY,
	};
	return {
		durationMs: length,
		customers: 10,
		customerSkew: 1,
		zones: ZONES,
		pools: [drafting, publishing],
		workloads: [
			makeGeneration('drafting', 'sheet', 25, 2_500, 2_500, 120, options),
			makeGeneration('drafting', 'answer', 10, 1_000, 400, 40, options),
			makeCalls('publishing', 'publish', 4, 60, options),
		],
		surges: [{ customer: 0, factor: 10, startMs: length / 3, endMs: length / 3 + 60_000 }],
		targetIncidents: [],
		routerIncidents: [],
		externalLoads: [],
	};
}

/** One engine joins, one announces its departure and leaves, and one crashes and recovers. */
function createChurn(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const base = createMandacaru(options, defaultDurationMs);
	const timeAt = (share: number): number => base.durationMs * share;
	const last = (base.pools[0]?.instances ?? 1) - 1;
	const pool = 'drafting';
	return {
		...base,
		targetIncidents: [
			{ atMs: timeAt(0.25), pool, selector: { instance: last }, event: 'join' },
			{ atMs: timeAt(0.5), pool, selector: { instance: 1 }, event: 'leaving' },
			{ atMs: timeAt(0.58), pool, selector: { instance: 1 }, event: 'leave' },
			{ atMs: timeAt(0.7), pool, selector: { instance: 2 }, event: 'crash' },
			{ atMs: timeAt(0.8), pool, selector: { instance: 2 }, event: 'recover' },
		],
	};
}

function createZoneLoss(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const base = createMandacaru(options, defaultDurationMs);
	const pool = 'drafting';
	return {
		...base,
		targetIncidents: [
			{ atMs: base.durationMs * 0.4, pool, selector: { zone: 'b' }, event: 'crash' },
			{ atMs: base.durationMs * 0.7, pool, selector: { zone: 'b' }, event: 'recover' },
		],
		routerIncidents: [{ atMs: base.durationMs * 0.4, router: 2, event: 'crash' }],
	};
}

/** During the middle half of the trace one engine crashes and recovers in every period of `FLAP_PERIOD_MS`. */
function createFlapping(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const base = createMandacaru(options, defaultDurationMs);
	const flaps = Math.floor((base.durationMs * 0.5) / FLAP_PERIOD_MS);
	const start = base.durationMs * 0.25;
	return {
		...base,
		targetIncidents: Array.from({ length: flaps }, (_, index) => index).flatMap((index) => [
			{
				atMs: start + index * FLAP_PERIOD_MS,
				pool: 'drafting',
				selector: { instance: 3 },
				event: 'crash' as const,
			},
			{
				atMs: start + index * FLAP_PERIOD_MS + FLAP_DOWN_MS,
				pool: 'drafting',
				selector: { instance: 3 },
				event: 'recover' as const,
			},
		]),
	};
}

/** The older system loads the engines unevenly, swaps the loads between odd and even engines, and then stops. */
function createOlderSystem(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const base = createMandacaru(options, defaultDurationMs);
	const engines = base.pools[0]?.instances ?? 0;
	const stepTimes = [0.2, 0.5, 0.8].map((share) => base.durationMs * share);
	return {
		...base,
		externalLoads: stepTimes.flatMap((atMs, step) =>
			Array.from({ length: engines }, (_, instance) => ({
				atMs,
				pool: 'drafting',
				instance,
				requests: step === 2 ? 0 : (instance + step) % 2 === 0 ? 8 : 2,
			})),
		),
	};
}

/**
 * Seven models on 1,800 engines at a third of the peak arrival rate, so that a trace of a million requests is long
 * enough.
 */
function createTwoYear(options: ScenarioOptions, defaultDurationMs: number): Scenario {
	const models = 7;
	const pools = Array.from({ length: models }, (_, index): PoolShape => ({
		pool: `model-${index + 1}`,
		kind: 'engine',
		instances: Math.max(2, Math.round((1_800 * options.scale) / models)),
		capacity: 256,
		cacheTokens: LARGE_CACHE_TOKENS,
	}));
	return {
		durationMs: options.durationMs ?? defaultDurationMs,
		customers: 280,
		customerSkew: 0.8,
		zones: ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'],
		pools,
		workloads: pools.map(({ pool }) =>
			makeGeneration(pool, `turn-${pool}`, 10_000 / models, 600_000, 1_200, 230, options),
		),
		surges: [],
		targetIncidents: [],
		routerIncidents: [],
		externalLoads: [],
	};
}

function makeGeneration(
	pool: string,
	requestClass: string,
	requestsPerSecond: number,
	chats: number,
	promptTokens: number,
	outputTokens: number,
	options: ScenarioOptions,
): Workload {
	const shape = {
		kind: 'generation',
		chats: computeCount(chats, options),
		promptTokens,
		outputTokens,
	} as const;
	return { pool, requestClass, requestsPerSecond: requestsPerSecond * options.scale, shape };
}

function makeCalls(
	pool: string,
	requestClass: string,
	requestsPerSecond: number,
	serviceMs: number,
	options: ScenarioOptions,
): Workload {
	const shape = { kind: 'call', serviceMs, atMostOnceShare: 1 } as const;
	return { pool, requestClass, requestsPerSecond: requestsPerSecond * options.scale, shape };
}
