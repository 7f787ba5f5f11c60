/**
 * State machine of one request, from its arrival to its outcome. The state tracks whether a target may have
 * run the request, and the outcome is derived from that. Performs no I/O: the HTTP layers send the events
 * and act on the state.
 */
import type { SnapshotFrom } from 'xstate';
import { assign, initialTransition, setup, transition } from 'xstate';
import type { ProblemKind } from './outcome.js';
import { Outcome } from './outcome.js';

export interface RequestTraits {
	readonly isIdempotent: boolean;
	/** Whether a response that broke off can be resumed where it stopped. */
	readonly isResumable: boolean;
}

/** Whether another attempt is allowed; every value other than `granted` ends the request. */
export type RetryDecision = 'granted' | 'no-budget' | 'no-target' | 'no-time';

export type RequestLifecycleEvent =
	/** A rule matched and the limits allow the request. */
	| { readonly type: 'admit' }
	/** All targets are at their load bound: the request is queued. */
	| { readonly type: 'enqueue' }
	/** The write-ahead record of a non-idempotent operation is confirmed. */
	| { readonly type: 'confirmRecord' }
	/** A target was selected; the connection is being opened. */
	| { readonly type: 'connect'; readonly target: string }
	/** The first byte of the request is about to be sent. */
	| { readonly type: 'send' }
	/** The first byte of the response was sent to the caller. */
	| { readonly type: 'startAnswer' }
	/** The attempt failed. `mayHaveRun` refers to this attempt only. */
	| { readonly type: 'failAttempt'; readonly mayHaveRun: boolean; readonly retry: RetryDecision }
	/** The complete response was delivered. */
	| { readonly type: 'finish' }
	/** The router refuses the request. */
	| { readonly type: 'refuse'; readonly problem: ProblemKind; readonly outcome?: Outcome }
	/** The deadline of the request has passed. */
	| { readonly type: 'passDeadline' }
	/** The caller disconnected. */
	| { readonly type: 'loseCaller' };

interface LifecycleContext extends RequestTraits {
	/** Whether a target may have run any attempt so far. */
	readonly mayHaveRun: boolean;
	/** Targets of all attempts, in order. */
	readonly targets: readonly string[];
	readonly problem: ProblemKind | undefined;
	/** Outcome given by a refusal, which may cover earlier requests with the same idempotency key. */
	readonly refusalOutcome: Outcome | undefined;
}

type FailAttemptEvent = Extract<RequestLifecycleEvent, { type: 'failAttempt' }>;

const machine = setup({
	types: {
		context: {} as LifecycleContext,
		events: {} as RequestLifecycleEvent,
		input: {} as RequestTraits,
	},
	guards: {
		isNonIdempotent: ({ context }) => !context.isIdempotent,
		canRetry: ({ context, event }) => {
			const { mayHaveRun, retry } = event as FailAttemptEvent;
			return retry === 'granted' && (context.isIdempotent || !mayHaveRun);
		},
		canResume: ({ context, event }) =>
			context.isIdempotent && context.isResumable && (event as FailAttemptEvent).retry === 'granted',
		mayHaveRun: ({ context, event }) =>
			context.mayHaveRun || (event.type === 'failAttempt' && event.mayHaveRun),
		isUnknown: ({ event }) => event.type === 'refuse' && event.outcome === Outcome.Unknown,
	},
	actions: {
		noteTarget: assign(({ context, event }) =>
			event.type === 'connect' ? { targets: [...context.targets, event.target] } : {},
		),
		noteSent: assign({ mayHaveRun: true }),
		noteFailure: assign(({ context, event }) =>
			event.type === 'failAttempt' ? { mayHaveRun: context.mayHaveRun || event.mayHaveRun } : {},
		),
		noteRefusal: assign(({ event }) =>
			event.type === 'refuse' ? { problem: event.problem, refusalOutcome: event.outcome } : {},
		),
		noteTargetFailed: assign({ problem: 'target-failed' }),
		noteIncomplete: assign({ problem: 'incomplete-answer' }),
		noteDeadline: assign({ problem: 'deadline-exceeded' }),
	},
}).createMachine({
	id: 'request',
	context: ({ input }) => ({
		...input,
		mayHaveRun: false,
		targets: [],
		problem: undefined,
		refusalOutcome: undefined,
	}),
	initial: 'received',
	on: {
		refuse: [
			{ guard: 'mayHaveRun', target: '.failed', actions: 'noteRefusal' },
			{ guard: 'isUnknown', target: '.failed', actions: 'noteRefusal' },
			{ target: '.refused', actions: 'noteRefusal' },
		],
		passDeadline: [
			{ guard: 'mayHaveRun', target: '.failed', actions: 'noteDeadline' },
			{ target: '.refused', actions: 'noteDeadline' },
		],
		loseCaller: [{ guard: 'mayHaveRun', target: '.failed' }, { target: '.refused' }],
	},
	states: {
		received: { on: { admit: 'admitted' } },
		admitted: {
			on: {
				enqueue: 'queued',
				confirmRecord: { guard: 'isNonIdempotent', target: 'recorded' },
				connect: { target: 'connecting', actions: 'noteTarget' },
			},
		},
		queued: {
			on: {
				confirmRecord: { guard: 'isNonIdempotent', target: 'recorded' },
				connect: { target: 'connecting', actions: 'noteTarget' },
			},
		},
		recorded: { on: { connect: { target: 'connecting', actions: 'noteTarget' } } },
		connecting: {
			on: {
				connect: { target: 'connecting', actions: 'noteTarget' },
				enqueue: 'queued',
				send: { target: 'sent', actions: 'noteSent' },
				failAttempt: [
					{ guard: 'canRetry', target: 'connecting', actions: 'noteFailure' },
					{ guard: 'mayHaveRun', target: 'failed', actions: ['noteFailure', 'noteTargetFailed'] },
					{ target: 'refused', actions: 'noteTargetFailed' },
				],
			},
		},
		sent: {
			on: {
				startAnswer: 'streaming',
				finish: 'completed',
				failAttempt: [
					{ guard: 'canRetry', target: 'connecting', actions: 'noteFailure' },
					{ target: 'failed', actions: 'noteTargetFailed' },
				],
			},
		},
		streaming: {
			on: {
				finish: 'completed',
				failAttempt: [
					{ guard: 'canResume', target: 'resuming' },
					{ target: 'failed', actions: 'noteIncomplete' },
				],
				refuse: { target: 'failed', actions: 'noteIncomplete' },
				passDeadline: { target: 'failed', actions: 'noteIncomplete' },
			},
		},
		/** The response broke off: a target is asked to continue after the last delivered event. */
		resuming: {
			on: {
				connect: { actions: 'noteTarget' },
				startAnswer: 'streaming',
				finish: 'completed',
				failAttempt: [
					{ guard: 'canResume', target: 'resuming' },
					{ target: 'failed', actions: 'noteIncomplete' },
				],
				refuse: { target: 'failed', actions: 'noteIncomplete' },
				passDeadline: { target: 'failed', actions: 'noteIncomplete' },
			},
		},
		completed: { type: 'final' },
		/** No target can have run any part of the request. */
		refused: { type: 'final' },
		/** A target may have run the request. */
		failed: { type: 'final' },
	},
});

type LifecycleSnapshot = SnapshotFrom<typeof machine>;
export type RequestLifecycleState = LifecycleSnapshot['value'];

export class RequestLifecycle {
	private snapshot: LifecycleSnapshot;

	constructor(traits: RequestTraits) {
		[this.snapshot] = initialTransition(machine, traits);
	}

	public get state(): RequestLifecycleState {
		return this.snapshot.value;
	}

	public get isEnded(): boolean {
		return this.snapshot.status !== 'active';
	}

	/** Why the request ended without a complete response. */
	public get problem(): ProblemKind | undefined {
		return this.snapshot.context.problem;
	}

	/** Targets of all attempts, in order; the next attempt prefers another target. */
	public get targets(): readonly string[] {
		return this.snapshot.context.targets;
	}

	/** The outcome to report to the caller if the request ended now. */
	public get outcome(): Outcome {
		if (this.state === 'completed') {
			return Outcome.Completed;
		}
		const { mayHaveRun, refusalOutcome } = this.snapshot.context;
		return mayHaveRun ? Outcome.Unknown : (refusalOutcome ?? Outcome.NotRun);
	}

	/**
	 * Applies an event and returns the resulting state. Events that the current state does not handle are
	 * ignored.
	 */
	public handle(event: RequestLifecycleEvent): RequestLifecycleState {
		if (!this.isEnded) {
			[this.snapshot] = transition(machine, this.snapshot, event);
		}
		return this.state;
	}
}
