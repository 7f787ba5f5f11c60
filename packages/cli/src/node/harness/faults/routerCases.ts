/** Faults of routers: kills and pauses around the dispatch, concurrent use of one key, a rolling replacement. */
import type { CallReport } from '../../load/caller.js';
import type { PlannedRequest } from '../../load/plannedRequest.js';
import type { FaultCase, FaultContext, FaultOutcome } from './faultCase.js';
import { listIncomplete, pickUniform } from './faultCase.js';
import { makeBooking, makeGeneration, makeRequests, sendThroughAllRouters, sleep } from './traffic.js';

const ROUNDS = 4;
const REQUESTS_PER_ROUND = 10;
/** Delay of each key-value call, so that a fault can hit between write-ahead record and dispatch, in ms. */
const KEY_VALUE_DELAY_MS = 150;
/** Minimum time between the first request of a round and the fault. */
const FAULT_MIN_DELAY_MS = 60;
const PAUSE_DURATION_MS = 2_000;
const KEYS = 200;
const CONCURRENT_KEYS = 20;
const DRAIN_TIMEOUT_MS = 25_000;

export const ROUTER_CASES: readonly FaultCase[] = [
	{ name: 'router-killed-between-record-and-dispatch', run: killRouters },
	{ name: 'router-paused-between-record-and-dispatch', run: pauseRouters },
	{ name: 'same-key-through-all-routers', run: sendSameKeys },
	{ name: 'rolling-replacement-under-load', run: replaceRouters },
];

async function killRouters(context: FaultContext): Promise<FaultOutcome> {
	const { fleet } = context;
	await fleet.keyValue.setFaults({ slowMs: KEY_VALUE_DELAY_MS });
	const reports: CallReport[] = [];
	for (let round = 0; round < ROUNDS; round += 1) {
		const index = round % fleet.routers.length;
		const requests = makeRound('kill', round);
		const sent = sendThroughRouter(context, index, requests);
		await sleep(pickDelay(context, `kill ${round}`));
		await fleet.findRouter(index).kill();
		// These callers only see a closed connection; the responses to the resent requests are checked instead.
		await sent;
		reports.push(...(await sendThroughAllRouters(context, requests)));
		await fleet.restartRouter(index);
	}
	return { reports, violations: [] };
}

async function pauseRouters(context: FaultContext): Promise<FaultOutcome> {
	const { fleet } = context;
	await fleet.keyValue.setFaults({ slowMs: KEY_VALUE_DELAY_MS });
	const reports: CallReport[] = [];
	for (let round = 0; round < ROUNDS; round += 1) {
		const index = round % fleet.routers.length;
		const requests = makeRound('pause', round);
		const sent = sendThroughRouter(context, index, requests);
		await sleep(pickDelay(context, `pause ${round}`));
		fleet.findRouter(index).pause();
		const otherReports = await sendThroughRouter(context, (index + 1) % fleet.routers.length, requests);
		await sleep(PAUSE_DURATION_MS);
		fleet.findRouter(index).resume();
		reports.push(...otherReports, ...(await sent));
	}
	return { reports, violations: [] };
}

/** Sends every idempotency key through all routers concurrently; each operation must run exactly once. */
async function sendSameKeys(context: FaultContext): Promise<FaultOutcome> {
	const reports: CallReport[] = [];
	const keys = makeRequests(KEYS, (index) => makeBooking('same-key', index));
	for (let start = 0; start < KEYS; start += CONCURRENT_KEYS) {
		const sent = keys
			.slice(start, start + CONCURRENT_KEYS)
			.flatMap((request) =>
				context.fleet.routers.map((router) => context.caller.sendTo(router.origin, request)),
			);
		reports.push(...(await Promise.all(sent)));
	}
	return { reports, violations: listNeverCompleted(keys, reports) };
}

function listNeverCompleted(keys: readonly PlannedRequest[], reports: readonly CallReport[]): string[] {
	const completed = new Set(
		reports.filter(({ result }) => result.kind === 'completed').map(({ request }) => request.id),
	);
	return keys.filter(({ id }) => !completed.has(id)).map(({ id }) => `${id}: no caller got its answer`);
}

/** Drains and restarts one router after the other under load; no connection may break. */
async function replaceRouters(context: FaultContext): Promise<FaultOutcome> {
	const { fleet } = context;
	const load = { isRunning: true };
	const sent = sendUntilStopped(context, load);
	const violations: string[] = [];
	for (let index = 0; index < fleet.routers.length; index += 1) {
		const router = fleet.findRouter(index);
		const exit = await router.drain(DRAIN_TIMEOUT_MS);
		if (exit.code !== 0) {
			violations.push(`${router.name} ended with ${exit.code ?? ''}${exit.signal ?? ''}`);
		}
		await fleet.restartRouter(index);
	}
	load.isRunning = false;
	const reports = await sent;
	const broken = reports.filter(({ brokenConnections }) => brokenConnections > 0);
	violations.push(...broken.map(({ request }) => `${request.id}: its connection was cut`));
	return { reports, violations: [...violations, ...listIncomplete(reports)] };
}

async function sendUntilStopped(
	context: FaultContext,
	load: { readonly isRunning: boolean },
): Promise<CallReport[]> {
	const sent: Promise<CallReport>[] = [];
	for (let index = 0; load.isRunning; index += 1) {
		const isBooking = index % 3 === 0;
		const request = isBooking ? makeBooking('rolling', index) : makeGeneration('rolling', index);
		sent.push(context.caller.call(request));
		await sleep(40);
	}
	return Promise.all(sent);
}

function makeRound(label: string, round: number): PlannedRequest[] {
	return makeRequests(REQUESTS_PER_ROUND, (index) => makeBooking(`${label}-${round}`, index, 50));
}

async function sendThroughRouter(
	context: FaultContext,
	router: number,
	requests: readonly PlannedRequest[],
): Promise<CallReport[]> {
	const { origin } = context.fleet.findRouter(router);
	const sent: Promise<CallReport>[] = [];
	for (const request of requests) {
		sent.push(context.caller.sendTo(origin, request));
		await sleep(10);
	}
	return Promise.all(sent);
}

/** Picks a delay that spreads the faults over the period of write-ahead records and dispatches. */
function pickDelay(context: FaultContext, label: string): number {
	return FAULT_MIN_DELAY_MS + 2 * KEY_VALUE_DELAY_MS * pickUniform(context, label);
}
