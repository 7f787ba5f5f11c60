/** Faults of applications during at-most-once operations. Every operation is resent through each router. */
import type { Fault } from '@papayawell/stand-ins';
import type { FaultCase, FaultContext, FaultOutcome } from './faultCase.js';
import {
	APPLICATION_POOL,
	makeBooking,
	makeRequests,
	sendThroughAllRouters,
	sendAll,
	withTimeout,
} from './traffic.js';

const REQUESTS = 30;
const SEND_INTERVAL_MS = 15;
const REQUEST_TIMEOUT_MS = 600;

const FAULTS: readonly { readonly name: string; readonly fault: Fault }[] = [
	{ name: 'application-killed-before-execution', fault: { kind: 'crash', at: 'before', count: 1 } },
	{ name: 'application-killed-after-execution', fault: { kind: 'crash', at: 'after', count: 1 } },
	{ name: 'application-answers-late', fault: { kind: 'late', delayMs: 1_500, count: 5 } },
	{ name: 'application-answers-crossed', fault: { kind: 'crossed', count: 3 } },
	{ name: 'application-answers-cut', fault: { kind: 'cut', count: 3 } },
	{ name: 'application-refuses-connections', fault: { kind: 'refuse', durationMs: 1_000 } },
];

export const APPLICATION_CASES: readonly FaultCase[] = FAULTS.map(({ name, fault }) => ({
	name,
	run: async (context) => runWithFault(context, name, fault),
}));

async function runWithFault(context: FaultContext, label: string, fault: Fault): Promise<FaultOutcome> {
	const [application] = context.fleet.listPool(APPLICATION_POOL);
	await application?.addFault(fault);
	const requests = makeRequests(REQUESTS, (index) =>
		withTimeout(makeBooking(label, index), REQUEST_TIMEOUT_MS),
	);
	const reports = await sendAll(context, requests, SEND_INTERVAL_MS);
	const resent = await sendThroughAllRouters(context, requests);
	return { reports: [...reports, ...resent], violations: [] };
}
