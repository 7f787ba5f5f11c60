/**
 * State machine of a graceful shutdown. In `announced` the router still accepts requests, since callers hold
 * unexpired answers of `/v1/entries` that name it; in `finishing` it only completes requests in flight.
 */
import type { SnapshotFrom } from 'xstate';
import { initialTransition, setup, transition } from 'xstate';

export type DrainEvent =
	/** An operator or the platform requested the shutdown. */
	| { type: 'DRAIN' }
	/** Every answer of `/v1/entries` that names this router has expired. */
	| { type: 'ENTRIES_EXPIRED' }
	/** The last request in flight has completed. */
	| { type: 'IDLE' }
	/** The drain time-out passed, or an immediate stop was requested, for example by a second signal. */
	| { type: 'FORCE' };

const drainStateMachine = setup({ types: { events: {} as DrainEvent } }).createMachine({
	id: 'drain',
	initial: 'serving',
	states: {
		serving: { on: { DRAIN: 'announced', FORCE: 'forced' } },
		announced: { on: { ENTRIES_EXPIRED: 'finishing', FORCE: 'forced' } },
		finishing: { on: { IDLE: 'stopped', FORCE: 'forced' } },
		stopped: { type: 'final' },
		forced: { type: 'final' },
	},
});

export type DrainSnapshot = SnapshotFrom<typeof drainStateMachine>;

/** Creates the initial state, `serving`. */
export function createDrainState(): DrainSnapshot {
	return initialTransition(drainStateMachine)[0];
}

export function transitionDrain(state: DrainSnapshot, event: DrainEvent): DrainSnapshot {
	return transition(drainStateMachine, state, event)[0];
}
