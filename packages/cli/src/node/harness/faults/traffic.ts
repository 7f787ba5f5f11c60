/** Builds and sends the requests of the fault cases. */
import type { CallReport } from '../../load/caller.js';
import type { PlannedRequest } from '../../load/plannedRequest.js';
import { planRequest } from '../../load/plannedRequest.js';
import type { TrafficClass } from '../fleetRules.js';
import { buildRules } from '../fleetRules.js';
import type { FaultContext } from './faultCase.js';

export const ENGINE_POOL = 'drafting';
export const APPLICATION_POOL = 'booking';

const CUSTOMERS = ['c1', 'c2', 'c3', 'c4'];
const CLASSES: readonly TrafficClass[] = [
	{ pool: ENGINE_POOL, requestClass: 'plan', kind: 'generation', isOnce: false },
	{ pool: APPLICATION_POOL, requestClass: 'confirm', kind: 'call', isOnce: true },
	{ pool: APPLICATION_POOL, requestClass: 'lookup', kind: 'call', isOnce: false },
];

export const FAULT_RULES = buildRules(CLASSES, CUSTOMERS);

export interface GenerationOptions {
	readonly outputTokens?: number;
	readonly promptTokens?: number;
	readonly chat?: string;
}

/** Makes a generation, in a new chat unless the options name one. */
export function makeGeneration(
	label: string,
	index: number,
	options: GenerationOptions = {},
): PlannedRequest {
	const id = `${label}-${index}`;
	return planRequest(
		{
			id,
			customer: pickCustomer(index),
			chat: options.chat ?? id,
			pool: ENGINE_POOL,
			class: 'plan',
			promptTokens: options.promptTokens ?? 64,
			outputTokens: options.outputTokens ?? 100,
		},
		Date.now(),
	);
}

/** Makes a booking: an at-most-once operation with an idempotency key. */
export function makeBooking(label: string, index: number, serviceMs = 20): PlannedRequest {
	const id = `${label}-${index}`;
	return planRequest(
		{
			id,
			customer: pickCustomer(index),
			pool: APPLICATION_POOL,
			class: 'confirm',
			idempotencyKey: id,
			serviceMs,
		},
		Date.now(),
	);
}

/** Sets the header with the time-out after which the router abandons the request. */
export function withTimeout(request: PlannedRequest, timeoutMs: number): PlannedRequest {
	const headers = { ...request.headers, 'papayawell-timeout-ms': String(timeoutMs) };
	return { ...request, headers };
}

export function makeRequests(count: number, make: (index: number) => PlannedRequest): PlannedRequest[] {
	return Array.from({ length: count }, (_, index) => make(index));
}

/** Sends one request every `intervalMs` without waiting for responses (open loop). */
export async function sendAll(
	context: FaultContext,
	requests: readonly PlannedRequest[],
	intervalMs: number,
): Promise<CallReport[]> {
	const sent: Promise<CallReport>[] = [];
	for (const request of requests) {
		sent.push(context.caller.call(request));
		await sleep(intervalMs);
	}
	return Promise.all(sent);
}

/** Sends every request once through each running router, router by router. */
export async function sendThroughAllRouters(
	context: FaultContext,
	requests: readonly PlannedRequest[],
): Promise<CallReport[]> {
	const reports: CallReport[] = [];
	for (const router of context.fleet.routers.filter((candidate) => !candidate.hasExited)) {
		const sent = requests.map((request) => context.caller.sendTo(router.origin, request));
		reports.push(...(await Promise.all(sent)));
	}
	return reports;
}

export async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, durationMs));
}

function pickCustomer(index: number): string {
	return CUSTOMERS[index % CUSTOMERS.length] ?? 'c1';
}
