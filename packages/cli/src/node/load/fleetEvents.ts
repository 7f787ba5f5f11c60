/** Injects the faults and changes of a trace into a running fleet, each at its time. */
import type {
	ExternalLoadEvent,
	InstanceEvent,
	KeyValueEvent,
	RouterEvent,
	TraceEvent,
} from '@papayawell/replay';
import type { KeyValueFaults } from '@papayawell/stand-ins';
import type { FleetHarness } from '../harness/fleetHarness.js';

/** Delay of each call while the key-value service is slow. */
const KEY_VALUE_DELAY_MS = 500;
/** Probability that the key-value service drops an answer while it loses answers. */
const ANSWER_LOSS_PROBABILITY = 0.3;
const DRAIN_LIMIT_MS = 30_000;

/** Applies all events other than requests and the initial instances; resolves when all have been applied. */
export async function applyFleetEvents(
	fleet: FleetHarness,
	events: readonly TraceEvent[],
	speed: number,
): Promise<void> {
	const startMs = performance.now();
	const running: Promise<void>[] = [];
	for (const event of events) {
		if (event.type === 'request' || (event.type === 'instance' && event.t === 0)) {
			continue;
		}
		await sleepUntil(startMs + event.t / speed);
		running.push(applyEvent(fleet, event));
	}
	await Promise.all(running);
}

async function applyEvent(
	fleet: FleetHarness,
	event: InstanceEvent | KeyValueEvent | RouterEvent | ExternalLoadEvent,
): Promise<void> {
	switch (event.type) {
		case 'instance':
			return applyInstanceEvent(fleet, event);
		case 'kv':
			return fleet.keyValue.setFaults(describeKeyValueFaults(event.event));
		case 'router':
			return applyRouterEvent(fleet, event);
		case 'externalLoad':
			return fleet.findTarget(event.instance).setExternalRequests(event.requests);
	}
}

async function applyInstanceEvent(fleet: FleetHarness, { instance, event }: InstanceEvent): Promise<void> {
	switch (event) {
		case 'leaving':
			return fleet.instanceList.markLeaving(instance);
		case 'leave':
			await fleet.instanceList.remove(instance);
			return fleet.findTarget(instance).kill();
		case 'crash':
			return fleet.findTarget(instance).kill();
		case 'join':
		case 'recover':
			return fleet.restartTarget(instance);
	}
}

async function applyRouterEvent(fleet: FleetHarness, event: RouterEvent): Promise<void> {
	const index = event.router - 1;
	const router = fleet.findRouter(index);
	switch (event.event) {
		case 'crash':
			return router.kill();
		case 'drain':
			await router.drain(DRAIN_LIMIT_MS);
			return;
		case 'start':
			return fleet.restartRouter(index);
		case 'pause':
			router.pause();
			await new Promise((resolve) => setTimeout(resolve, event.durationMs ?? 0));
			router.resume();
	}
}

function describeKeyValueFaults(event: KeyValueEvent['event']): KeyValueFaults {
	switch (event) {
		case 'down':
			return { down: 'refuse' };
		case 'up':
			return { down: 'up', slowMs: 0, dropAnswers: { probability: 0 } };
		case 'slow':
			return { slowMs: KEY_VALUE_DELAY_MS };
		case 'lose-answers':
			return { dropAnswers: { probability: ANSWER_LOSS_PROBABILITY } };
	}
}

async function sleepUntil(atMs: number): Promise<void> {
	const leftMs = atMs - performance.now();
	if (leftMs > 0) {
		await new Promise((resolve) => setTimeout(resolve, leftMs));
	}
}
