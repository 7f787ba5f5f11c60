/**
 * State machine of a router's hold on the order lock of one pool: standby, acquiring, holding. Only the
 * router that holds the lock sends orders to the engines of the pool.
 */
import type { SnapshotFrom } from 'xstate';
import { assign, initialTransition, setup, transition } from 'xstate';

export type OrderHolderEvent =
	/** The router ranks first for the pool and may acquire the lock. */
	| { type: 'RANKED' }
	/** The router no longer ranks first, or it shuts down. */
	| { type: 'RETIRED' }
	/** The lock is acquired and the order states of the engines have been read. */
	| { type: 'LOCKED'; holding: OrderLockHold }
	/** Another router holds the lock, or the key-value service gave no definite answer. */
	| { type: 'REFUSED' }
	/** The lease has expired, or is so close to expiry that it counts as expired. */
	| { type: 'LEASE_ENDED' };

export interface OrderLockHold {
	/** Fencing token. Fixed while the lock is held: a holder that was superseded must not raise it. */
	readonly fencing: number;
	/** Time at which the lock was acquired, in ms of the monotonic clock. */
	readonly heldSinceMs: number;
}

interface OrderHolderContext {
	readonly holding: OrderLockHold | undefined;
}

const orderHolderMachine = setup({
	types: { context: {} as OrderHolderContext, events: {} as OrderHolderEvent },
	actions: { clearHolding: assign({ holding: undefined }) },
}).createMachine({
	id: 'orderHolder',
	context: { holding: undefined },
	initial: 'standby',
	states: {
		standby: { entry: 'clearHolding', on: { RANKED: 'acquiring' } },
		acquiring: {
			on: {
				LOCKED: {
					target: 'holding',
					actions: assign({ holding: ({ event }) => event.holding }),
				},
				REFUSED: 'standby',
				RETIRED: 'standby',
			},
		},
		holding: { on: { LEASE_ENDED: 'standby', RETIRED: 'standby' } },
	},
});

export type OrderHolderSnapshot = SnapshotFrom<typeof orderHolderMachine>;

/** Returns the initial state, `standby`. */
export function createOrderHolderState(): OrderHolderSnapshot {
	return initialTransition(orderHolderMachine)[0];
}

export function transitionOrderHolder(
	state: OrderHolderSnapshot,
	event: OrderHolderEvent,
): OrderHolderSnapshot {
	return transition(orderHolderMachine, state, event)[0];
}
