/**
 * Lifecycle of one incarnation of a target, as observed by one router: joining, serving, suspect, leaving,
 * gone. An incarnation that is leaving never serves again, even if a lagging list still names it as live.
 * Pure: time is part of the events.
 */
import type { SnapshotFrom } from 'xstate';
import { assign, initialTransition, setup, transition } from 'xstate';
import type { TargetState } from '../fleet/instances.js';

export interface TargetHealthPolicy {
	/** Consecutive failures that open the circuit breaker. */
	readonly failureThreshold: number;
	/** Time for which the circuit breaker stays open at first, in ms. */
	readonly minOpenMs: number;
	/** Maximum time for which it stays open, in ms; the time doubles with each relapse. */
	readonly maxOpenMs: number;
	/** Time since the target was last suspect after which the count of relapses restarts, in ms. */
	readonly relapseWindowMs: number;
	/** Consecutive successes before a target serves. */
	readonly successThreshold: number;
}

export const DEFAULT_TARGET_HEALTH_POLICY: TargetHealthPolicy = {
	failureThreshold: 3,
	minOpenMs: 1000,
	maxOpenMs: 60_000,
	relapseWindowMs: 60_000,
	successThreshold: 1,
};

export type TargetEvent =
	/** A probe or a request succeeded. */
	| { readonly type: 'succeed'; readonly nowMs: number }
	/** A probe or a connection failed. */
	| { readonly type: 'fail'; readonly nowMs: number }
	/** The process has died: its connections broke and new ones are refused. */
	| { readonly type: 'die'; readonly nowMs: number }
	/** The list, a peer or the target itself announces that it is leaving. */
	| { readonly type: 'leave' }
	/** The list no longer includes the target. */
	| { readonly type: 'vanish' };

interface TargetContext {
	readonly policy: TargetHealthPolicy;
	/** Consecutive failures; reset by a success. */
	readonly failures: number;
	/** Consecutive successes; reset by a failure. */
	readonly successes: number;
	/** How often the target became suspect, each time within `relapseWindowMs` of the time before. */
	readonly relapses: number;
	readonly suspectSinceMs: number;
}

type TimedEvent = Extract<TargetEvent, { nowMs: number }>;

/** Computes the time for which the circuit breaker stays open after the given number of relapses, in ms. */
function computeOpenMs(policy: TargetHealthPolicy, relapses: number): number {
	return Math.min(policy.maxOpenMs, policy.minOpenMs * 2 ** Math.max(0, relapses - 1));
}

const targetMachine = setup({
	types: {
		context: {} as TargetContext,
		events: {} as TargetEvent,
		input: {} as { readonly policy: TargetHealthPolicy },
	},
	guards: {
		hasEnoughSuccesses: ({ context }) => context.successes + 1 >= context.policy.successThreshold,
		reachesFailureThreshold: ({ context }) => context.failures + 1 >= context.policy.failureThreshold,
		isOpenPeriodOver: ({ context, event }) =>
			(event as TimedEvent).nowMs - context.suspectSinceMs >= computeOpenMs(context.policy, context.relapses),
		isOpenPeriodOverAndHasEnoughSuccesses: ({ context, event }) =>
			context.successes + 1 >= context.policy.successThreshold &&
			(event as TimedEvent).nowMs - context.suspectSinceMs >= computeOpenMs(context.policy, context.relapses),
	},
	actions: {
		countSuccess: assign(({ context }) => ({ successes: context.successes + 1, failures: 0 })),
		countFailure: assign(({ context }) => ({ failures: context.failures + 1, successes: 0 })),
		clearCounts: assign({ failures: 0, successes: 0 }),
		enterSuspect: assign(({ context, event }) => {
			const { nowMs } = event as TimedEvent;
			const isOutsideWindow = nowMs - context.suspectSinceMs > context.policy.relapseWindowMs;
			const relapses = isOutsideWindow ? 1 : context.relapses + 1;
			return { relapses, suspectSinceMs: nowMs, failures: 0, successes: 0 };
		}),
		extendSuspect: assign(({ event }) => ({ suspectSinceMs: (event as TimedEvent).nowMs, successes: 0 })),
	},
}).createMachine({
	id: 'target',
	context: ({ input }) => ({
		policy: input.policy,
		failures: 0,
		successes: 0,
		relapses: 0,
		suspectSinceMs: Number.NEGATIVE_INFINITY,
	}),
	initial: 'joining',
	on: { leave: '.leaving', vanish: '.gone' },
	states: {
		joining: {
			on: {
				succeed: [
					{ guard: 'hasEnoughSuccesses', target: 'serving', actions: 'clearCounts' },
					{ actions: 'countSuccess' },
				],
				fail: { actions: 'countFailure' },
				die: { target: 'suspect', actions: 'enterSuspect' },
			},
		},
		serving: {
			on: {
				succeed: { actions: 'clearCounts' },
				fail: [
					{ guard: 'reachesFailureThreshold', target: 'suspect', actions: 'enterSuspect' },
					{ actions: 'countFailure' },
				],
				die: { target: 'suspect', actions: 'enterSuspect' },
			},
		},
		/** The circuit breaker is open: only probes are sent, and one may close it only after the open period. */
		suspect: {
			on: {
				succeed: [
					{ guard: 'isOpenPeriodOverAndHasEnoughSuccesses', target: 'serving', actions: 'clearCounts' },
					{ guard: 'isOpenPeriodOver', actions: 'countSuccess' },
				],
				fail: { actions: 'extendSuspect' },
				die: { actions: 'extendSuspect' },
			},
		},
		/** Completes the requests in flight and receives no new ones, whatever is reported later. */
		leaving: { on: { leave: undefined } },
		gone: { type: 'final' },
	},
});

type MachineSnapshot = SnapshotFrom<typeof targetMachine>;

export class TargetLifecycle {
	private snapshot: MachineSnapshot;

	constructor(policy: TargetHealthPolicy = DEFAULT_TARGET_HEALTH_POLICY) {
		[this.snapshot] = initialTransition(targetMachine, { policy });
	}

	public get state(): TargetState {
		return this.snapshot.value;
	}

	/** Whether new requests may be sent to the target. */
	public get acceptsNew(): boolean {
		return this.state === 'serving';
	}

	/** Applies an event and returns the resulting state. */
	public handle(event: TargetEvent): TargetState {
		if (this.snapshot.status === 'active') {
			[this.snapshot] = transition(targetMachine, this.snapshot, event);
		}
		return this.state;
	}
}
