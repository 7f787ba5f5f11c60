/** Generates a trace from a scenario. The same scenario and seed always give the same trace. */
import type { InstanceEvent, RequestEvent, TraceEvent } from '../trace/traceEvent.js';
import { Random, WeightedSampler } from './random.js';
import type {
	CallShape,
	GenerationShape,
	PoolShape,
	Scenario,
	TargetIncident,
	Workload,
} from './scenario.js';

/** Standard deviation of the logarithm of token counts and service times, which are log-normally distributed. */
const SIZE_SIGMA = 0.5;
/** A chat whose last turn exceeds this many tokens starts over with a new prompt. */
const MAX_PROMPT_TOKENS = 16_000;
/** Share of the chat picks that are limited to the customer's recently active chats. */
const RECENT_CHAT_REQUEST_SHARE = 0.8;
/** Recently active chats as a share of the customer's chats. */
const RECENT_CHAT_SHARE = 0.1;
/** Median number of tokens that a caller adds to the prompt in each turn. */
const QUESTION_TOKENS = 60;
/** Seeds reserved for the workloads of one trace. */
const SEEDS_PER_TRACE = 1_000;
/** Number of attempts to pick a chat that is ready for its next turn before a new chat is started. */
const MAX_CHAT_PICKS = 8;
/** Shortest time between two turns of a chat. */
const MIN_THINK_TIME_MS = 3_000;
/** Time that a caller takes to read one token of the response. */
const READING_MS_PER_TOKEN = 70;

/** One chat of a customer, as of its last turn. */
interface ChatState {
	/** Tokens of the last prompt and its response. */
	readonly tokens: number;
	/** Time at which the caller has read the response and may send the next turn. */
	readonly readyAtMs: number;
}

/** The chats of one customer in one workload, by index. */
type Chats = Map<number, ChatState>;

/** Generates the events of a scenario, ordered by time. */
export function generateTrace(scenario: Scenario, seed: number): TraceEvent[] {
	const events: TraceEvent[] = [
		...listInstances(scenario),
		...listTargetIncidents(scenario),
		...listExternalLoads(scenario),
		...scenario.routerIncidents.map(({ atMs, ...rest }) => ({ t: atMs, type: 'router' as const, ...rest })),
	];
	scenario.workloads.forEach((workload, index) => {
		for (const request of generateRequests(scenario, workload, seed * SEEDS_PER_TRACE + index)) {
			events.push(request);
		}
	});
	return events.sort((a, b) => a.t - b.t);
}

/** Returns the instance name for a zero-based index in a pool. */
export function nameInstance(pool: PoolShape, index: number): string {
	return `${pool.pool}-${index + 1}`;
}

export function nameCustomer(index: number): string {
	return `customer-${index + 1}`;
}

function listInstances(scenario: Scenario): InstanceEvent[] {
	const laterJoins = new Set(
		scenario.targetIncidents.flatMap(({ event, selector, pool }) =>
			event === 'join' && 'instance' in selector ? [`${pool}/${selector.instance}`] : [],
		),
	);
	return scenario.pools.flatMap((pool) =>
		Array.from({ length: pool.instances }, (_, index) => index)
			.filter((index) => !laterJoins.has(`${pool.pool}/${index}`))
			.map((index) => makeInstanceEvent(scenario, pool, index, 'join', 0)),
	);
}

function makeInstanceEvent(
	scenario: Scenario,
	pool: PoolShape,
	index: number,
	event: InstanceEvent['event'],
	t: number,
): InstanceEvent {
	const base = { t, type: 'instance', instance: nameInstance(pool, index), pool: pool.pool } as const;
	const size = pool.cacheTokens === undefined ? {} : { cacheTokens: pool.cacheTokens };
	const zone = findZone(scenario, index);
	return { ...base, zone, event, capacity: pool.capacity, kind: pool.kind, ...size };
}

function findZone(scenario: Scenario, index: number): string {
	return scenario.zones[index % scenario.zones.length] ?? 'a';
}

function listTargetIncidents(scenario: Scenario): InstanceEvent[] {
	return scenario.targetIncidents.flatMap((incident) => listIncidentEvents(scenario, incident));
}

function listIncidentEvents(scenario: Scenario, incident: TargetIncident): InstanceEvent[] {
	const pool = scenario.pools.find((each) => each.pool === incident.pool);
	if (pool === undefined) {
		return [];
	}
	const { selector } = incident;
	const indices = Array.from({ length: pool.instances }, (_, index) => index).filter((index) =>
		'instance' in selector ? index === selector.instance : findZone(scenario, index) === selector.zone,
	);
	return indices.map((index) => makeInstanceEvent(scenario, pool, index, incident.event, incident.atMs));
}

function listExternalLoads(scenario: Scenario): TraceEvent[] {
	return scenario.externalLoads.map(({ atMs, pool, instance, requests }) => ({
		t: atMs,
		type: 'externalLoad',
		instance: `${pool}-${instance + 1}`,
		requests,
	}));
}

/**
 * Generates Poisson arrivals whose rate is constant between two rate changes. Each arrival belongs to a customer
 * drawn by the customers' current weights.
 */
function* generateRequests(scenario: Scenario, workload: Workload, seed: number): Generator<RequestEvent> {
	const random = new Random(seed);
	const baseWeights = Array.from(
		{ length: scenario.customers },
		(_, index) => 1 / (index + 1) ** scenario.customerSkew,
	);
	const baseSum = sumValues(baseWeights);
	const chats = baseWeights.map((): Chats => new Map());
	const rateChangeTimes = listRateChangeTimes(scenario);
	let requestCount = 0;
	for (let interval = 0; interval + 1 < rateChangeTimes.length; interval++) {
		const startMs = rateChangeTimes[interval] ?? 0;
		const endMs = rateChangeTimes[interval + 1] ?? 0;
		const weights = baseWeights.map((weight, index) => weight * computeSurgeFactor(scenario, index, startMs));
		const meanInterarrivalMs = (1_000 * baseSum) / (workload.requestsPerSecond * sumValues(weights));
		const customerSampler = new WeightedSampler(weights);
		let t = startMs + random.nextExponential(meanInterarrivalMs);
		while (t < endMs) {
			const customer = customerSampler.nextIndex(random);
			requestCount += 1;
			const id = `${workload.requestClass}-${requestCount}`;
			const share = (baseWeights[customer] ?? 0) / baseSum;
			const arrival = {
				t: trimToMicroseconds(t),
				id,
				customer,
				pool: workload.pool,
				class: workload.requestClass,
			};
			yield makeRequest(arrival, workload, share, chats[customer] ?? new Map<number, ChatState>(), random);
			t += random.nextExponential(meanInterarrivalMs);
		}
	}
}

/** The fields that a request has from its arrival, with the index of its customer. */
interface Arrival {
	readonly t: number;
	readonly id: string;
	readonly customer: number;
	readonly pool: string;
	readonly class: string;
}

function makeRequest(
	arrival: Arrival,
	workload: Workload,
	customerShare: number,
	chats: Chats,
	random: Random,
): RequestEvent {
	const base = { ...arrival, type: 'request', customer: nameCustomer(arrival.customer) } as const;
	switch (workload.shape.kind) {
		case 'generation':
			return { ...base, ...makeTurn(arrival, workload.shape, customerShare, chats, random) };
		case 'call':
			return { ...base, ...makeCall(arrival, workload.shape, random) };
	}
}

function makeCall(arrival: Arrival, shape: CallShape, random: Random): Partial<RequestEvent> {
	const serviceMs = Math.max(1, Math.round(random.nextLogNormal(shape.serviceMs, SIZE_SIGMA)));
	return random.nextUnit() < shape.atMostOnceShare
		? { idempotencyKey: `${arrival.class}-key-${arrival.id}`, serviceMs }
		: { serviceMs };
}

function makeTurn(
	arrival: Arrival,
	shape: GenerationShape,
	customerShare: number,
	chats: Chats,
	random: Random,
): Partial<RequestEvent> {
	const index = pickChat(arrival.t, Math.max(1, Math.round(shape.chats * customerShare)), chats, random);
	const previousTokens = chats.get(index)?.tokens ?? 0;
	const isFresh = previousTokens === 0 || previousTokens > MAX_PROMPT_TOKENS;
	const promptTokens = isFresh
		? sampleTokens(random, shape.promptTokens)
		: previousTokens + sampleTokens(random, QUESTION_TOKENS);
	const outputTokens = sampleTokens(random, shape.outputTokens);
	const thinkTimeMs =
		random.nextExponential(MIN_THINK_TIME_MS) + MIN_THINK_TIME_MS + outputTokens * READING_MS_PER_TOKEN;
	chats.set(index, { tokens: promptTokens + outputTokens, readyAtMs: arrival.t + thinkTimeMs });
	return { chat: `${arrival.class}-${arrival.customer + 1}-${index + 1}`, promptTokens, outputTokens };
}

/**
 * Picks a chat whose caller has read the last response, preferring recently active chats. Starts a new chat if no
 * such chat is found within `MAX_CHAT_PICKS` picks.
 */
function pickChat(atMs: number, typicalChats: number, chats: Chats, random: Random): number {
	const recentChats = Math.max(1, Math.round(typicalChats * RECENT_CHAT_SHARE));
	for (let picks = 0; picks < MAX_CHAT_PICKS; picks++) {
		const range = random.nextUnit() < RECENT_CHAT_REQUEST_SHARE ? recentChats : typicalChats;
		const index = random.nextInt(0, range - 1);
		if ((chats.get(index)?.readyAtMs ?? 0) <= atMs) {
			return index;
		}
	}
	return typicalChats + chats.size;
}

function sampleTokens(random: Random, median: number): number {
	return Math.max(1, Math.round(random.nextLogNormal(median, SIZE_SIGMA)));
}

/** Lists the times at which the arrival rate changes, including the start and the end of the trace. */
function listRateChangeTimes(scenario: Scenario): number[] {
	const surgeTimes = scenario.surges.flatMap((surge) => [surge.startMs, surge.endMs]);
	const rateChangeTimes = new Set([0, ...surgeTimes, scenario.durationMs]);
	return [...rateChangeTimes].filter((time) => time <= scenario.durationMs).sort((a, b) => a - b);
}

function computeSurgeFactor(scenario: Scenario, customer: number, atMs: number): number {
	return scenario.surges
		.filter((surge) => surge.customer === customer && surge.startMs <= atMs && atMs < surge.endMs)
		.reduce((product, surge) => product * surge.factor, 1);
}

function sumValues(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}

/** Rounds to three decimals, which keeps trace files small. */
function trimToMicroseconds(t: number): number {
	return Math.round(t * 1_000) / 1_000;
}
