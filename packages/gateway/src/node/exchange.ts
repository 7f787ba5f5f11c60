/** Handles one request, from its complete receipt to the last byte of the response. */
import { decideAfterFailure } from '../common/attemptDecision.js';
import { AttemptHistory } from '../common/attemptHistory.js';
import { isIdempotent } from '../common/gatewayConfiguration.js';
import type { PromptChain } from '../common/promptChain.js';
import { buildPromptChain, countTokens } from '../common/promptChain.js';
import type { RefusalReason } from '../common/refusal.js';
import type { ResponseHead } from '../common/responseParser.js';
import { parseBackOff } from '../common/targetBackOff.js';
import type { TargetState } from '../common/targetState.js';
import type { Placement } from '../common/placement.js';
import type { AttemptFailure, AttemptResult } from './attemptResponse.js';
import { AttemptResponse } from './attemptResponse.js';
import type { AdmissionTicket } from './admissionControl.js';
import type { CallerResponse } from './callerResponse.js';
import type { TargetRun } from './crashTracker.js';
import type { ExchangeInput, ExchangeParts } from './exchangeParts.js';
import { ExchangePlacement, computePriority } from './exchangePlacement.js';
import { ExchangeReport } from './exchangeReport.js';
import type { RequestProgress } from './outgoingHeaders.js';
import { buildOutgoingHeaders } from './outgoingHeaders.js';
import { RunningAttempt } from './runningAttempt.js';
import type { OriginLookup } from './streamOriginSync.js';

/** No further attempt is sent if less than this is left before the deadline. */
const MIN_ATTEMPT_MS = 30;
/**
 * Silence after which a stream that has begun is moved. It is late by then wherever it goes on, and a slow target may still
 * work on it after its connection was closed; callers give up after 2 s.
 */
const MIN_STREAM_SILENCE_MS = 1200;
/** Further time in which an instance to which a request is relayed may send nothing, since it tries targets itself. */
const RELAY_MARGIN_MS = 1000;
/** Lowest prefill rate of a busy engine; bounds how long an engine may send nothing before its first token. */
const MIN_PREFILL_TOKENS_PER_MS = 10;

const STOPPING_DETAIL = 'the instance stops before the request would end';

export class Exchange {
	private readonly placement: ExchangePlacement;
	private readonly prompt: PromptChain;
	private readonly history: AttemptHistory;
	private readonly report: ExchangeReport;
	private readonly timer: NodeJS.Timeout;
	private readonly deadlineAtMs: number;
	private attempt: RunningAttempt | undefined;
	private ticket: AdmissionTicket | undefined;
	private lastEventId: string | undefined;
	private hasForwardedEvents = false;
	/** Whether the caller got events that no later attempt can be told of. */
	private hasUnidentifiedEvents = false;
	/** A target's 5xx response, which the caller gets if no further attempt succeeds. */
	private fallback: { readonly head: ResponseHead; readonly body: Buffer } | undefined;
	private isEnded = false;

	/** @param onEnded called once, when the request has ended */
	constructor(
		private readonly parts: ExchangeParts,
		private readonly input: ExchangeInput,
		private readonly callerResponse: CallerResponse,
		private readonly onEnded: () => void,
	) {
		const { route, request, receivedAtMs } = input;
		this.report = new ExchangeReport(parts, input);
		this.history = new AttemptHistory(route.maxAttempts);
		this.prompt = route.hasAffinity ? buildPromptChain(request.prompt) : [];
		this.placement = new ExchangePlacement(parts, input, this.prompt, this.history);
		this.lastEventId = request.lastEventId;
		for (const target of input.relayed?.usedTargets ?? []) {
			this.history.recordEarlierRun(target);
		}
		const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
		this.deadlineAtMs = receivedAtMs + limitMs;
		this.timer = setTimeout(
			() => {
				this.handleTimeout();
			},
			Math.max(0, this.deadlineAtMs - performance.now()),
		);
	}

	public start(): void {
		const lookup = this.placement.findOrigin();
		if (lookup === undefined) {
			this.startAttempts();
		} else {
			void lookup.then((result) => {
				this.startFromOrigin(result);
			});
		}
	}

	private startAttempts(): void {
		const { admission, crashes } = this.parts;
		if (admission === undefined) {
			this.countRequest();
		}
		const risk = crashes.check(this.input.traits, performance.now());
		switch (risk.kind) {
			case 'none':
				this.admit();
				return;
			case 'refuse':
				this.refuse('crashingRequest', risk.detail);
				return;
			case 'avoid':
				for (const id of risk.targets) {
					this.history.addExcluded(id);
				}
				this.admit();
				return;
		}
	}

	/** Sends the first attempt, at once or when the service has room; an instance that gets it relayed decides itself. */
	private admit(): void {
		const { admission, hasLostPath } = this.parts;
		if (admission === undefined || hasLostPath()) {
			this.sendNext();
			return;
		}
		if (!this.isEndCertainBeforeExit) {
			this.refuse('draining', STOPPING_DETAIL);
			return;
		}
		const { body, customer, request, route } = this.input;
		const remainingMs = this.deadlineAtMs - performance.now();
		this.ticket = admission.open(
			{
				service: this.placement.service,
				route: route.name,
				customer: customer?.name ?? '',
				priority: this.priority,
				objectiveMs: route.objectiveMs,
				remainingMs,
				tokens: countTokens(request.prompt),
				bodyBytes: body.length,
			},
			{
				onAdmitted: () => {
					this.countRequest();
					this.sendNext();
				},
				onRefused: (reason, returnDelayMs) => {
					this.refuse(reason, `service ${this.placement.service} has no room`, returnDelayMs);
				},
			},
		);
		this.ticket.start();
	}

	private countRequest(): void {
		if (this.input.relayed === undefined) {
			this.parts.countRequest(this.placement.service);
		}
	}

	/** Cancels the request after the caller closed its connection. */
	public cancel(): void {
		if (!this.isEnded) {
			this.cancelAttempt();
			this.end('abandoned', { detail: 'the caller closed its connection' });
		}
	}

	/** Refuses a request that was not sent yet and may not end before the process exits; called when a stop begins. */
	public handleStop(): void {
		if (this.attempt?.isSent !== true && !this.isEndCertainBeforeExit) {
			this.endBeforeExit();
		}
	}

	/** Answers a request whose answer has not begun, since the process exits. */
	public endBeforeExit(): void {
		if (!this.isEnded && !this.callerResponse.hasStarted) {
			this.cancelAttempt();
			this.endWithFailure('draining', STOPPING_DETAIL);
		}
	}

	/** Breaks off an answer that has begun, since the process exits now. */
	public resetAtExit(): void {
		if (!this.isEnded) {
			this.cancelAttempt();
			this.callerResponse.reset();
			this.end('cut', { detail: STOPPING_DETAIL });
		}
	}

	/**
	 * Moves a repeatable request off a target that has stopped sending. Inactivity alone does not end an attempt: the
	 * request stays on its target unless another target is available and the retry budget allows a further send.
	 */
	public moveOffUnresponsiveTarget(nowMs: number): void {
		const { attempt } = this;
		if (attempt === undefined || !attempt.isSent || !attempt.target.isUnresponsive(nowMs)) {
			return;
		}
		if (this.hasForwardedEvents && attempt.target.computeSilence(nowMs) < MIN_STREAM_SILENCE_MS) {
			return;
		}
		const decision = this.decide(true);
		if (!isIdempotent(this.input.route) || (decision !== 'retry' && decision !== 'resume')) {
			return;
		}
		const { id } = attempt.target.record;
		const placement = this.placement.choose(new Set([...this.history.excluded, id]));
		if (
			placement === undefined ||
			placement.reason === 'lastResort' ||
			!this.parts.acquireRetry(this.placement.service)
		) {
			return;
		}
		attempt.response.cancel();
		this.history.addExcluded(id);
		this.recordFailure(attempt, 'silent');
		this.logFailure('silent', 'the target stopped sending', true, decision);
		this.sendOrEnd(placement);
	}

	/** Starts at the version that began the stream which the caller resumes. */
	private startFromOrigin(lookup: OriginLookup): void {
		if (this.isEnded) {
			return;
		}
		switch (lookup.kind) {
			case 'known':
				this.placement.adoptOrigin(lookup.origin);
				this.startAttempts();
				return;
			case 'unknown': {
				const reason = lookup.hasAllReplies ? 'unknownStream' : 'streamNotFound';
				this.refuse(reason, 'the version that began the stream is not known');
				return;
			}
		}
	}

	private sendNext(): void {
		if (!this.isEndCertainBeforeExit) {
			this.refuse('draining', STOPPING_DETAIL);
			return;
		}
		const placement = this.placement.chooseNext();
		if (placement === undefined) {
			this.endWithoutTarget();
			return;
		}
		this.sendOrEnd(placement);
	}

	private endWithoutTarget(): void {
		const { reason, detail } = this.placement.describeMissing();
		this.endWithFailure(reason, detail);
	}

	private sendOrEnd(placement: Placement): void {
		if (!this.send(placement)) {
			this.endWithFailure(
				'noConnection',
				`no further connection to ${placement.target.record.id} is allowed`,
			);
		}
	}

	private send(placement: Placement): boolean {
		const { request, route, body } = this.input;
		const { target } = placement;
		const isRelayed = placement.reason === 'relay';
		const nowMs = performance.now();
		const isResumedStream = this.hasForwardedEvents;
		const response = new AttemptResponse({
			response: this.callerResponse,
			isStream: route.kind === 'stream',
			isResumedStream,
			readLastEventId: () => (this.hasForwardedEvents || route.isResumable ? this.lastEventId : undefined),
			onRequestWriting: () => {
				this.handleRequestWriting();
			},
			onEvent: ({ id, isUnidentified }) => {
				this.recordAnswering(attempt);
				this.placement.recordEvent(attempt, !this.hasForwardedEvents);
				this.hasForwardedEvents = true;
				this.lastEventId = id ?? this.lastEventId;
				this.hasUnidentifiedEvents ||= isUnidentified;
			},
			onResponseStarted: () => {
				this.recordAnswering(attempt);
				this.report.recordFirstByte();
				attempt.releasePrefillTokens();
			},
			onResult: (result) => {
				this.handleResult(result);
			},
		});
		const prefillTokens = isRelayed ? 0 : Math.max(0, countTokens(this.prompt) - placement.cachedTokens);
		const run = isRelayed ? undefined : this.startRun(target, nowMs);
		const attempt = new RunningAttempt(target, response, run, prefillTokens);
		this.attempt = attempt;
		this.placement.recordSend(placement);
		this.report.recordPlacement(placement);
		const prefillTimeMs = countTokens(request.prompt) / MIN_PREFILL_TOKENS_PER_MS;
		this.ticket?.recordSend(target);
		target.recordRequestSent(nowMs, prefillTimeMs + (isRelayed ? RELAY_MARGIN_MS : 0));
		const headers = buildOutgoingHeaders(this.parts, this.input, placement, this.describeProgress(nowMs));
		const outgoing = { request, headers, body, isRepeatable: isIdempotent(route), isRelayed };
		const call = this.parts.client.send(target, outgoing, response);
		if (call === undefined) {
			this.closeAttempt('failed');
			return false;
		}
		response.bind(call);
		if (this.prompt.length > 0 && !isRelayed) {
			this.parts.recordPrompt(target, this.prompt, placement.cacheSource);
		}
		return true;
	}

	private startRun({ record }: TargetState, nowMs: number): TargetRun {
		const incarnation = { instance: record.id, incarnation: String(record.startedAtMs) };
		return this.parts.crashes.start(this.input.traits, incarnation, nowMs);
	}

	private describeProgress(nowMs: number): RequestProgress {
		const { hasForwardedEvents, history, input, lastEventId, priority } = this;
		return {
			remainingMs: Math.max(1, Math.floor(this.deadlineAtMs - nowMs)),
			priority,
			resumeAfterEventId: hasForwardedEvents ? lastEventId : input.request.lastEventId,
			hasForwardedEvents,
			usedTargets: history.usedTargets,
		};
	}

	private recordAnswering({ run }: RunningAttempt): void {
		if (run !== undefined) {
			this.parts.crashes.recordAnswering(run, performance.now());
		}
	}

	private handleRequestWriting(): void {
		const { attempt } = this;
		if (attempt !== undefined) {
			const target = attempt.isRelayed ? undefined : attempt.target.record.id;
			attempt.isFirstRunOnTarget = this.history.recordSend(target);
			attempt.isSent = true;
		}
	}

	private handleResult(result: AttemptResult): void {
		const { attempt } = this;
		if (attempt === undefined || this.isEnded) {
			return;
		}
		switch (result.kind) {
			case 'delivered':
				attempt.target.health.recordResponse(false, performance.now());
				if (isSuccess(result.status) && attempt.run !== undefined) {
					this.parts.crashes.recordAnswered(attempt.run, performance.now());
				}
				this.closeAttempt('completed');
				this.end('answered', { status: result.status });
				return;
			case 'failureAnswer':
				attempt.target.health.recordResponse(true, performance.now());
				this.closeAttempt('failed');
				if (attempt.isRelayed) {
					// The other instance has made the further attempts.
					this.fallback = { head: result.head, body: result.body };
					this.endWithFailure('noTarget', `HTTP ${result.head.status}`);
					return;
				}
				if (!attempt.target.health.hasFrequentFailures) {
					this.history.recordFailureOnHealthyTarget();
				}
				if (this.parts.targets.hasAboveAverageFailureRate(attempt.target)) {
					this.history.addExcluded(attempt.target.record.id);
				}
				this.fallback = { head: result.head, body: result.body };
				this.handleFailedAttempt(true, 'failureAnswer', `HTTP ${result.head.status}`);
				return;
			case 'failed':
				this.recordFailure(attempt, result.failure);
				if (result.failure === 'broken' && this.isRepeatRisky(attempt)) {
					this.history.stopSends();
				}
				this.history.addExcluded(attempt.target.record.id);
				if (!result.mayHaveRun && attempt.isSent) {
					this.history.recordNotRun(attempt.target.record.id, attempt.isFirstRunOnTarget);
				}
				if (attempt.isRelayed && (result.failure === 'rejected' || result.failure === 'malformed')) {
					this.logFailure(result.failure, result.detail, result.mayHaveRun, 'passOn');
					this.endRelayed(result);
					return;
				}
				this.handleFailedAttempt(result.mayHaveRun, result.failure, result.detail, result.load);
				return;
		}
	}

	/** Passes on that the other instance could not have the request served. */
	private endRelayed({ detail, retryAfter }: Extract<AttemptResult, { kind: 'failed' }>): void {
		const backOff = parseBackOff(retryAfter);
		if (this.history.runs > 0 || this.callerResponse.hasStarted || backOff.kind !== 'wait') {
			this.endWithFailure('targetsBusy', detail);
			return;
		}
		this.refuse('targetsBackingOff', detail, Math.round(backOff.waitMs));
	}

	private isRepeatRisky({ run }: RunningAttempt): boolean {
		return run !== undefined && this.parts.crashes.isRepeatRisky(run, performance.now());
	}

	private recordFailure(attempt: RunningAttempt, failure: AttemptFailure): void {
		const { health } = attempt.target;
		if (!attempt.isRelayed && isPathFailure(failure)) {
			this.placement.recordPathFailure();
		}
		if (failure === 'unreachable') {
			attempt.target.coldness.recordUnreachable(performance.now());
		}
		switch (failure) {
			case 'unreachable':
			case 'silent':
			case 'otherTarget':
				health.recordConnectionFailure(performance.now(), true);
				this.closeAttempt('failed');
				return;
			case 'broken':
				health.recordConnectionFailure(performance.now(), false);
				this.closeAttempt('broken');
				if (attempt.run !== undefined) {
					this.parts.onConnectionBroken(attempt.target, attempt.run);
				}
				return;
			case 'malformed':
				health.recordResponse(true, performance.now());
				this.closeAttempt('failed');
				return;
			case 'rejected':
				this.closeAttempt('failed');
				return;
		}
	}

	/** Sends a further attempt if one is allowed, otherwise ends the request. */
	private handleFailedAttempt(
		mayHaveRun: boolean,
		failure: AttemptFailure | 'failureAnswer',
		detail: string,
		load?: string,
	): void {
		const decision = this.decide(mayHaveRun);
		if (decision !== 'retry' && decision !== 'resume') {
			this.logFailure(failure, detail, mayHaveRun, decision, load);
			this.endWithFailure(failure === 'rejected' ? 'targetsBusy' : 'noTarget', detail);
			return;
		}
		const placement = this.placement.chooseNext();
		if (placement === undefined) {
			this.logFailure(failure, detail, mayHaveRun, decision, load);
			this.endWithoutTarget();
			return;
		}
		const hasRetryBudget = this.history.sends === 0 || this.parts.acquireRetry(this.placement.service);
		this.logFailure(failure, detail, mayHaveRun, hasRetryBudget ? decision : 'retryDenied', load);
		if (hasRetryBudget) {
			this.sendOrEnd(placement);
			return;
		}
		this.endWithFailure(failure === 'rejected' ? 'targetsBusy' : 'noTarget', detail);
	}

	private logFailure(
		failure: string,
		detail: string,
		mayHaveRun: boolean,
		decision: string,
		load?: string,
	): void {
		const report = { failure, detail, mayHaveRun, decision, load };
		this.report.logFailure(report, this.history, this.lastEventId);
	}

	private decide(mayHaveRun: boolean): ReturnType<typeof decideAfterFailure> {
		const { route } = this.input;
		return decideAfterFailure(
			{
				isIdempotent: isIdempotent(route),
				runs: this.history.runs,
				sends: this.history.sends,
				hasEligibleTarget: this.history.hasEligibleTarget,
				hasResponseStarted: this.callerResponse.hasStarted,
				isResumable: route.isResumable && this.hasResumePoint,
				hasTimeLeft: this.deadlineAtMs - performance.now() > MIN_ATTEMPT_MS && this.isEndCertainBeforeExit,
			},
			mayHaveRun,
		);
	}

	/** Ends the request without a further attempt: resets a started response, otherwise sends the final one. */
	private endWithFailure(reason: RefusalReason, detail: string): void {
		if (this.callerResponse.hasStarted) {
			this.callerResponse.reset();
			this.end('cut', { detail });
			return;
		}
		if (this.fallback !== undefined) {
			const { head, body } = this.fallback;
			this.callerResponse.sendComplete(head, body);
			this.end('targetFailure', { status: head.status });
			return;
		}
		if (this.history.runs > 0) {
			this.refuse('targetFailed', detail);
			return;
		}
		if (!this.isEndCertainBeforeExit) {
			this.refuse('draining', detail);
			return;
		}
		const refusal = this.placement.buildRefusal(reason, detail, performance.now());
		this.refuse(refusal.reason, detail, refusal.returnDelayMs);
	}

	/** Refuses the request. `detail` is part of the response body, so its texts, also those of attempts, stay stable. */
	private refuse(reason: RefusalReason, detail: string, returnDelayMs?: number): void {
		const headers = this.parts.codec.buildGatewayResponseHeaders(this.input.request.attemptId);
		const { status, retryAfterMs } = this.callerResponse.refuse(reason, detail, headers, returnDelayMs);
		this.end('refused', { status, reason, detail, retryAfterMs });
	}

	/** Whether the answer is a stream that another attempt can go on with. */
	private get hasResumePoint(): boolean {
		return this.hasForwardedEvents && !this.hasUnidentifiedEvents && this.lastEventId !== undefined;
	}

	/** Whether the request ends before this instance does, however long its target takes. */
	private get isEndCertainBeforeExit(): boolean {
		return this.deadlineAtMs - performance.now() <= this.parts.readTimeToExit();
	}

	/** Priority of the customer, or of the route if the customer has none; 0 is the most urgent. */
	private get priority(): number {
		return computePriority(this.input);
	}

	private handleTimeout(): void {
		if (this.isEnded) {
			return;
		}
		const wasSent = this.attempt?.isSent === true || this.history.runs > 0;
		this.cancelAttempt();
		if (this.callerResponse.hasStarted || this.fallback !== undefined) {
			this.endWithFailure('timeout', 'the time limit passed');
			return;
		}
		this.refuse(wasSent ? 'timeout' : 'timeoutBeforeRun', 'the time limit passed');
	}

	private cancelAttempt(): void {
		this.attempt?.response.cancel();
		this.closeAttempt('failed');
	}

	private closeAttempt(end: 'completed' | 'failed' | 'broken'): void {
		const { attempt } = this;
		if (attempt !== undefined) {
			this.attempt = undefined;
			attempt.end(end === 'completed');
			if (end === 'completed' && !attempt.isRelayed) {
				this.ticket?.recordServed();
			}
			if (attempt.run !== undefined) {
				this.parts.crashes.end(attempt.run, end, performance.now());
			}
		}
	}

	private end(outcome: string, fields: Readonly<Record<string, string | number | undefined>>): void {
		if (this.isEnded) {
			return;
		}
		this.isEnded = true;
		clearTimeout(this.timer);
		this.ticket?.end();
		this.report.logEnd(outcome, this.placement.service, this.history, this.lastEventId, fields);
		this.onEnded();
	}
}

/** Whether a failure may be that of the path to the target. */
function isPathFailure(failure: AttemptFailure): boolean {
	switch (failure) {
		case 'unreachable':
		case 'silent':
		case 'broken':
			return true;
		case 'rejected':
		case 'otherTarget':
		case 'malformed':
			return false;
	}
}

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}
