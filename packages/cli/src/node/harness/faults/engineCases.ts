/** Faults of engines: crashes, and responses that are late, truncated or those of another request. */
import type { Fault } from '@papayawell/stand-ins';
import type { FaultCase, FaultContext, FaultOutcome } from './faultCase.js';
import { listIncomplete, pickUniform } from './faultCase.js';
import { ENGINE_POOL, makeGeneration, makeRequests, sendAll, sleep, withTimeout } from './traffic.js';

const REQUESTS = 30;
const SEND_INTERVAL_MS = 15;
const KILL_MIN_DELAY_MS = 100;
/** The engine is killed at a random time within this period after the minimum delay. */
const KILL_SPREAD_MS = 600;
/** Requests sent before the fault to fill the routers' retry budgets. */
const WARM_UP_REQUESTS = 80;

export const ENGINE_CASES: readonly FaultCase[] = [
	{ name: 'engine-killed-mid-stream', run: killMidStream },
	{
		name: 'engine-killed-before-first-byte',
		run: async (context) => runWithFault(context, { kind: 'crash', at: 'before', count: 1 }),
	},
	{
		name: 'engine-answers-late',
		run: async (context) => runWithFault(context, { kind: 'late', delayMs: 1_000, count: 5 }),
	},
	{
		name: 'engine-answers-crossed',
		run: async (context) => runWithFault(context, { kind: 'crossed', count: 3 }),
	},
	{
		name: 'engine-answers-cut',
		run: async (context) => runWithFault(context, { kind: 'cut', afterTokens: 5, count: 3 }),
	},
	{ name: 'engine-answers-after-the-deadline', run: runPastDeadline },
];

async function warmUp(context: FaultContext): Promise<void> {
	const requests = makeRequests(WARM_UP_REQUESTS, (index) =>
		makeGeneration('warm-up', index, { outputTokens: 2 }),
	);
	await sendAll(context, requests, 5);
}

async function killMidStream(context: FaultContext): Promise<FaultOutcome> {
	await warmUp(context);
	const requests = makeRequests(REQUESTS, (index) =>
		makeGeneration('mid-stream', index, { outputTokens: 200 }),
	);
	const sent = sendAll(context, requests, SEND_INTERVAL_MS);
	await sleep(KILL_MIN_DELAY_MS + KILL_SPREAD_MS * pickUniform(context, 'kill'));
	await context.fleet.findTarget('drafting-1').kill();
	const reports = await sent;
	return { reports, violations: listIncomplete(reports) };
}

/** Injects the fault into one engine; the others have enough capacity to complete every request. */
async function runWithFault(context: FaultContext, fault: Fault): Promise<FaultOutcome> {
	await warmUp(context);
	await context.fleet.findTarget('drafting-1').addFault(fault);
	const reports = await sendAll(
		context,
		makeRequests(REQUESTS, (index) => makeGeneration(fault.kind, index)),
		SEND_INTERVAL_MS,
	);
	return { reports, violations: listIncomplete(reports) };
}

/** Some requests time out before the engines answer; their late responses must not reach later requests. */
async function runPastDeadline(context: FaultContext): Promise<FaultOutcome> {
	for (const engine of context.fleet.listPool(ENGINE_POOL)) {
		await engine.addFault({ kind: 'late', delayMs: 800, count: 5 });
	}
	const shortTimeoutRequests = makeRequests(REQUESTS, (index) =>
		withTimeout(makeGeneration('past', index), 500),
	);
	const reports = await sendAll(context, shortTimeoutRequests, SEND_INTERVAL_MS);
	await sleep(500);
	const laterRequests = makeRequests(REQUESTS, (index) => makeGeneration('after', index));
	const laterReports = await sendAll(context, laterRequests, SEND_INTERVAL_MS);
	return { reports: [...reports, ...laterReports], violations: listIncomplete(laterReports) };
}
