/** Faults of the key-value service during at-most-once operations. */
import type { KeyValueFaults } from '@papayawell/stand-ins';
import type { FaultCase, FaultContext, FaultOutcome } from './faultCase.js';
import { listIncomplete } from './faultCase.js';
import {
	makeBooking,
	makeGeneration,
	makeRequests,
	sendThroughAllRouters,
	sendAll,
	sleep,
} from './traffic.js';

const REQUESTS = 80;
const SEND_INTERVAL_MS = 25;
const FAULT_DELAY_MS = 400;
const FAULT_DURATION_MS = 1_000;
const NO_FAULTS: KeyValueFaults = {
	down: 'up',
	slowMs: 0,
	dropAnswers: { probability: 0 },
	dropRequests: { probability: 0 },
	staleReads: false,
};

const FAULTS: readonly { readonly name: string; readonly faults: KeyValueFaults }[] = [
	{ name: 'key-value-refuses', faults: { down: 'refuse' } },
	{ name: 'key-value-hangs', faults: { down: 'hang' } },
	{ name: 'key-value-answers-with-errors', faults: { down: 'error' } },
	{ name: 'key-value-slow', faults: { slowMs: 700 } },
	{ name: 'key-value-loses-answers', faults: { dropAnswers: { probability: 0.4 } } },
	{ name: 'key-value-loses-requests', faults: { dropRequests: { probability: 0.4 } } },
	{ name: 'key-value-reads-stale', faults: { staleReads: true } },
];

export const KEY_VALUE_CASES: readonly FaultCase[] = FAULTS.map(({ name, faults }) => ({
	name,
	run: async (context) => runWithFaults(context, name, faults),
}));

async function runWithFaults(
	context: FaultContext,
	label: string,
	faults: KeyValueFaults,
): Promise<FaultOutcome> {
	const { keyValue } = context.fleet;
	const bookings = makeRequests(REQUESTS, (index) => makeBooking(label, index));
	const generations = makeRequests(REQUESTS, (index) => makeGeneration(label, index, { outputTokens: 20 }));
	const sentBookings = sendAll(context, bookings, SEND_INTERVAL_MS);
	const sentGenerations = sendAll(context, generations, SEND_INTERVAL_MS);
	await sleep(FAULT_DELAY_MS);
	await keyValue.setFaults(faults);
	await sleep(FAULT_DURATION_MS / 2);
	const resentDuring = await sendThroughAllRouters(context, bookings.slice(0, 20));
	await sleep(FAULT_DURATION_MS / 2);
	await keyValue.setFaults(NO_FAULTS);
	const reports = [...(await sentBookings), ...resentDuring];
	const generationReports = await sentGenerations;
	const resentAfter = await sendThroughAllRouters(context, bookings);
	return {
		reports: [...reports, ...generationReports, ...resentAfter],
		// Generations need no write-ahead record, so faults of the key-value service must not affect them.
		violations: listIncomplete(generationReports),
	};
}
