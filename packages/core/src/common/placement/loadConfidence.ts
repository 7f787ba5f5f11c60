/**
 * How far an owner relies on an engine's load report: unknown before the first report or once the last one is
 * stale, provisional (the report plus headroom) until a second report, then established.
 */
import type { SnapshotFrom } from 'xstate';
import { initialTransition, setup, transition } from 'xstate';

export type LoadConfidenceEvent = { type: 'REPORT' } | { type: 'STALE' };

const loadConfidenceMachine = setup({ types: { events: {} as LoadConfidenceEvent } }).createMachine({
	id: 'loadConfidence',
	initial: 'unknown',
	states: {
		unknown: { on: { REPORT: 'provisional' } },
		provisional: { on: { REPORT: 'established', STALE: 'unknown' } },
		established: { on: { STALE: 'unknown' } },
	},
});

export type LoadConfidenceSnapshot = SnapshotFrom<typeof loadConfidenceMachine>;

export function createLoadConfidence(): LoadConfidenceSnapshot {
	return initialTransition(loadConfidenceMachine)[0];
}

export function transitionLoadConfidence(
	state: LoadConfidenceSnapshot,
	event: LoadConfidenceEvent,
): LoadConfidenceSnapshot {
	return transition(loadConfidenceMachine, state, event)[0];
}
