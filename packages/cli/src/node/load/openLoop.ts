/** Open-loop load generator: sends requests on schedule, independently of when earlier requests complete. */
import type { Caller, CallReport } from './caller.js';
import type { PlannedRequest } from './plannedRequest.js';

/** Maximum length of one timer; longer waits read the clock again after each. */
const MAX_TIMER_MS = 20;

export interface TimedRequest {
	/** Scheduled send time, in ms from the start of the run. */
	readonly atMs: number;
	/** Builds the request. Called just before the request is sent, since prompts are large. */
	readonly plan: () => PlannedRequest;
}

export interface OpenLoopListeners {
	readonly onReport: (report: CallReport) => void;
	/** Called with the delay between the scheduled and the actual send time, in ms. */
	readonly onSendDelay: (delayMs: number) => void;
}

/** Sends all requests; resolves when each has its result. */
export async function runOpenLoop(
	caller: Caller,
	requests: Iterable<TimedRequest>,
	listeners: OpenLoopListeners,
): Promise<void> {
	const startMs = performance.now();
	const inFlight = new Set<Promise<void>>();
	for (const request of requests) {
		await sleepUntil(startMs + request.atMs);
		listeners.onSendDelay(performance.now() - startMs - request.atMs);
		const call = caller.call(request.plan()).then(listeners.onReport);
		inFlight.add(call);
		void call.finally(() => inFlight.delete(call));
	}
	await Promise.all(inFlight);
}

async function sleepUntil(atMs: number): Promise<void> {
	for (let leftMs = atMs - performance.now(); leftMs > 0; leftMs = atMs - performance.now()) {
		await new Promise((resolve) => setTimeout(resolve, Math.min(leftMs, MAX_TIMER_MS)));
	}
}
