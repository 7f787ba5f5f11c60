/** The sequence of attempts of one request: decides whether to retry, to resume a stream or to give up. */
import { setTimeout as sleep } from 'node:timers/promises';
import type {
	BackOffPolicy,
	AtMostOnceAttempt,
	Outcome,
	ProblemKind,
	RetryDecision,
	RetryBudget,
	SuspectTracker,
	SuspectStatus,
	TargetInstance,
} from '@papayawell/core';
import { RequestLifecycle, computeBackOffMs } from '@papayawell/core';
import type { ResponseSink } from '../common/responseSink.js';
import { buildResumeRequest } from '../common/resumeRequest.js';
import type { TargetFailure } from '../common/targetCall.js';
import { TargetFailureKind } from '../common/targetCall.js';
import { TokenStream } from '../common/tokenStream.js';
import type { AttemptObserver, AttemptRequest } from './attempt.js';
import { runAttempt } from './attempt.js';
import { isRefusingConnections } from './probe.js';
import type { TargetClient } from './targetClient.js';

/** Maximum number of targets that one request is sent to. */
const MAX_TARGETS_PER_REQUEST = 4;
/** Attempts to resume a stream at the engine that interrupted it, before another engine is tried. */
const MAX_SAME_ENGINE_RESUMES = 1;
/** Time for a suspicion to arrive by gossip from the router that detected the crash of a target. */
const SUSPICION_GOSSIP_DELAY_MS = 300;
const BACK_OFF: Omit<BackOffPolicy, 'seed'> = { baseMs: 50, maxMs: 500 };

export interface AttemptSeriesOptions {
	readonly client: TargetClient;
	/** Builds the request with the remaining time until its deadline. */
	readonly buildRequest: () => AttemptRequest;
	readonly sink: ResponseSink;
	readonly observer: AttemptObserver;
	readonly customer: string;
	/** Digest of the customer and the content of the request; equal requests have equal fingerprints. */
	readonly fingerprint: string;
	readonly isIdempotent: boolean;
	readonly deadlineAtMs: number;
	readonly signal: AbortSignal;
	readonly retryBudget: RetryBudget;
	readonly suspects: SuspectTracker;
	/** Fence that prevents a second dispatch of a recorded non-idempotent operation; undefined without a record. */
	readonly atMostOnceGuard: AtMostOnceAttempt | undefined;
	/** Receives retries, resumptions and dropped responses, for metrics. */
	readonly onEvent: (event: SeriesEvent) => void;
}

export type SeriesEvent = 'retry' | 'resume' | 'crossed-answer-dropped' | 'incomplete-answer' | 'target-died';

/** `again`: the caller of `run` should acquire another target and call `run` again. */
export type SeriesStep = 'completed' | 'again' | 'ended';

export interface SeriesFailure {
	readonly problem: ProblemKind;
	readonly outcome: Outcome;
	readonly detail: string;
}

export class AttemptSeries {
	private readonly lifecycle: RequestLifecycle;
	private readonly stream = new TokenStream();
	private detail = 'No target was tried.';
	private sameEngineResumes = 0;
	private unreachableTargets = 0;
	private isTargetDead = false;

	constructor(private readonly options: AttemptSeriesOptions) {
		const { isIdempotent, atMostOnceGuard, retryBudget, customer } = options;
		this.lifecycle = new RequestLifecycle({ isIdempotent, isResumable: isIdempotent });
		this.lifecycle.handle({ type: 'admit' });
		if (atMostOnceGuard !== undefined) {
			this.lifecycle.handle({ type: 'confirmRecord' });
		}
		retryBudget.noteRequest(customer);
	}

	/** Targets that were already tried; the next attempt needs another one. */
	public get triedTargets(): readonly string[] {
		return this.lifecycle.targets;
	}

	/** Failure to report to the caller if there is no further attempt. */
	public get failure(): SeriesFailure {
		const { problem = 'target-failed', outcome } = this.lifecycle;
		return { problem, outcome, detail: this.detail };
	}

	/** Whether and where the request may run now, given the crashes that are attributed to equal requests. */
	public checkSuspicion(): SuspectStatus {
		return this.options.suspects.check(this.options.fingerprint, Date.now());
	}

	/** Ends the series without a further attempt; the outcome still accounts for the earlier attempts. */
	public refuse(problem: ProblemKind, detail: string): SeriesFailure {
		this.detail = detail;
		this.lifecycle.handle({ type: 'refuse', problem });
		return this.failure;
	}

	/** Sends the request to `target`, or resumes its stream there. */
	public async run(target: TargetInstance): Promise<SeriesStep> {
		let request = this.buildNextTargetRequest();
		while (request !== undefined) {
			this.lifecycle.handle({ type: 'connect', target: target.instance });
			const failure = await this.runAttemptAt(target, request);
			if (failure === undefined) {
				return 'completed';
			}
			this.recordFailure(failure);
			if (this.lifecycle.isEnded) {
				return 'ended';
			}
			request = this.isTargetDead ? undefined : this.buildSameEngineResume();
			if (request === undefined) {
				return this.prepareNextTarget(failure);
			}
			this.options.onEvent('resume');
		}
		this.refuse('incomplete-answer', this.detail);
		return 'ended';
	}

	/** Runs one attempt; resolves with undefined if the response is complete. */
	private async runAttemptAt(
		target: TargetInstance,
		request: AttemptRequest,
	): Promise<TargetFailure | undefined> {
		const { client, sink, suspects, fingerprint } = this.options;
		const run = suspects.start(fingerprint, target);
		const result = await runAttempt(client, target, request, sink, this.makeObserver());
		if (result.kind === 'completed') {
			suspects.end(run, 'completed', Date.now());
			this.lifecycle.handle({ type: 'finish' });
			return undefined;
		}
		const { failure } = result;
		const isBroken = failure.kind === TargetFailureKind.Broken;
		suspects.end(run, isBroken ? 'broken' : 'failed', Date.now());
		this.isTargetDead = isBroken && (await isRefusingConnections(target.origin));
		if (this.isTargetDead) {
			suspects.noteTargetDied(target, Date.now());
			this.options.onEvent('target-died');
		}
		suspects.resolveBroken(run);
		return failure;
	}

	private makeObserver(): AttemptObserver {
		const { observer } = this.options;
		return {
			onSending: () => {
				const isAllowed = observer.onSending();
				if (isAllowed) {
					this.lifecycle.handle({ type: 'send' });
				}
				return isAllowed;
			},
			onChunk: (nowMs) => {
				observer.onChunk(nowMs);
			},
		};
	}

	private recordFailure(failure: TargetFailure): void {
		const { sink, atMostOnceGuard, onEvent } = this.options;
		this.detail = failure.message;
		if (sink.hasStarted) {
			this.lifecycle.handle({ type: 'startAnswer' });
		}
		if (!failure.mayHaveRun) {
			atMostOnceGuard?.noteNothingSent();
		}
		reportFailure(failure, onEvent);
		const { mayHaveRun } = failure;
		this.lifecycle.handle({
			type: 'failAttempt',
			mayHaveRun,
			retry: this.decideRetryAllowance(mayHaveRun),
		});
	}

	/** Decides on a retry. After an attempt that can't have run, a retry is free: it adds no load to the targets. */
	private decideRetryAllowance(mayHaveRun: boolean): RetryDecision {
		const { isIdempotent, signal, deadlineAtMs, atMostOnceGuard, retryBudget, customer } = this.options;
		if (signal.aborted || performance.now() >= deadlineAtMs || atMostOnceGuard?.state === 'fenced') {
			return 'no-time';
		}
		if (new Set(this.lifecycle.targets).size >= MAX_TARGETS_PER_REQUEST) {
			return 'no-target';
		}
		if (!mayHaveRun) {
			return 'granted';
		}
		return isIdempotent && retryBudget.take(customer) ? 'granted' : 'no-budget';
	}

	private buildSameEngineResume(): AttemptRequest | undefined {
		if (this.lifecycle.state !== 'resuming' || this.sameEngineResumes >= MAX_SAME_ENGINE_RESUMES) {
			return undefined;
		}
		const request = buildResumeRequest(this.buildAttemptRequest(), this.stream, 'same-engine');
		if (request !== undefined) {
			this.sameEngineResumes += 1;
			this.stream.beginResume('same-engine');
		}
		return request;
	}

	/** Builds the request for an untried target; undefined if the interrupted stream can't be resumed there. */
	private buildNextTargetRequest(): AttemptRequest | undefined {
		if (this.lifecycle.state !== 'resuming') {
			return this.buildAttemptRequest();
		}
		const request = buildResumeRequest(this.buildAttemptRequest(), this.stream, 'other-engine');
		if (request !== undefined) {
			this.stream.beginResume('other-engine');
		}
		return request;
	}

	private buildAttemptRequest(): AttemptRequest {
		return { ...this.options.buildRequest(), stream: this.stream };
	}

	/**
	 * Counts an unreachable target. Returns true from the second one on, or if the request is already suspect: equal
	 * requests may have crashed these targets, and the suspicion may not have arrived here yet.
	 */
	private shouldAwaitSuspicions(): boolean {
		this.unreachableTargets += 1;
		return this.unreachableTargets > 1 || this.checkSuspicion().kind !== 'clear';
	}

	private async prepareNextTarget(failure: TargetFailure): Promise<SeriesStep> {
		if (this.lifecycle.state === 'resuming' && !this.stream.isResumable('other-engine')) {
			this.refuse('incomplete-answer', failure.message);
			return 'ended';
		}
		this.options.onEvent(this.lifecycle.state === 'resuming' ? 'resume' : 'retry');
		if (failure.mayHaveRun) {
			const policy = { ...BACK_OFF, seed: this.options.buildRequest().requestId };
			await sleep(computeBackOffMs(policy, this.lifecycle.targets.length));
		} else if (this.shouldAwaitSuspicions()) {
			await sleep(SUSPICION_GOSSIP_DELAY_MS);
		}
		return 'again';
	}
}

function reportFailure(failure: TargetFailure, onEvent: (event: SeriesEvent) => void): void {
	switch (failure.kind) {
		case 'crossed':
			onEvent('crossed-answer-dropped');
			return;
		case 'incomplete':
			onEvent('incomplete-answer');
			return;
		case 'unreachable':
		case 'broken':
		case 'timeout':
		case 'cancelled':
			return;
	}
}
