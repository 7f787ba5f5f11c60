/** Processes a caller's request: matches its rule, acquires limits, writes the record, runs attempts and answers. */
import { createHash } from 'node:crypto';
import type { ResponseWriter, CallerRequest } from '@papayawell/callers';
import { makeProblem } from '@papayawell/callers';
import type {
	AtMostOnceDecision,
	AtMostOnceLog,
	RequestAttributes,
	Rule,
	RuleSet,
	StoredResponse,
} from '@papayawell/core';
import { hashTextToHex, matchRule, Outcome } from '@papayawell/core';
import type { RouterMetrics } from '@papayawell/operators';
import type { Refusal } from '../common/refusal.js';
import { refuseNotRun } from '../common/refusal.js';
import { LatencyRecorder } from './latencyRecorder.js';
import { AttemptLoop } from './attemptLoop.js';
import type { AttemptLoopParts } from './attemptLoop.js';
import type { LimitRegistry } from './limitRegistry.js';
import { RecordingSink } from './recordingSink.js';

const RETRY_AFTER_MS = 1000;

export interface RequestRouterParts extends AttemptLoopParts {
	readonly readRules: () => RuleSet | undefined;
	readonly limits: LimitRegistry;
	readonly atMostOnceLog: AtMostOnceLog;
	readonly metrics: RouterMetrics;
}

/** Routes requests; each call of `route` handles one request from its arrival to the last byte of its answer. */
export class RequestRouter {
	constructor(private readonly parts: RequestRouterParts) {}

	/** Answers the request in every case, with a problem document if it fails; never rejects. */
	public async route(request: CallerRequest, answer: ResponseWriter): Promise<void> {
		let refusal: Refusal | undefined;
		try {
			refusal = await this.tryRoute(request, answer);
		} catch (error) {
			refusal = { kind: 'internal', detail: String(error), outcome: Outcome.Unknown };
		}
		if (refusal !== undefined) {
			answer.sendProblem(makeProblem({ ...refusal, requestId: request.requestId }));
		}
	}

	private async tryRoute(request: CallerRequest, answer: ResponseWriter): Promise<Refusal | undefined> {
		const rules = this.parts.readRules();
		if (rules === undefined) {
			return refuseNotRun(
				'no-configuration',
				'The router has not received its configuration.',
				RETRY_AFTER_MS,
			);
		}
		const rule = matchRule(rules, toRequestAttributes(request));
		if (rule === undefined) {
			return refuseNotRun('no-rule', `No rule matches ${request.method} ${request.path}.`);
		}
		const { metrics } = this.parts;
		const latencies = new LatencyRecorder(metrics, request.customer, rule.requestClass, request.receivedAtMs);
		const refusal = await this.runWithinLimits(request, rule, answer, latencies);
		latencies.recordEnd(performance.now());
		metrics.countOutcome(
			request.customer,
			rule.requestClass,
			refusal?.outcome ?? answer.outcome ?? Outcome.Unknown,
		);
		return refusal;
	}

	private async runWithinLimits(
		request: CallerRequest,
		rule: Rule,
		answer: ResponseWriter,
		latencies: LatencyRecorder,
	): Promise<Refusal | undefined> {
		const acquired = this.parts.limits.acquire(
			rule,
			request.customer,
			request.generation?.estimatedTokens ?? 0,
		);
		if (acquired.kind === 'refused') {
			const detail = `The limit ${acquired.limit} of rule ${rule.name} is used up.`;
			return refuseNotRun('limit-exceeded', detail, acquired.retryAfterMs);
		}
		try {
			return rule.repeatability.kind === 'once'
				? await this.runNonIdempotent(request, rule, rule.repeatability.keyHeader, answer, latencies)
				: await new AttemptLoop(
						this.parts,
						request,
						rule,
						answer,
						latencies,
						computeFingerprint(request),
					).run();
		} finally {
			acquired.grant.release();
		}
	}

	/** Runs a non-idempotent operation protected by its write-ahead record. */
	private async runNonIdempotent(
		request: CallerRequest,
		rule: Rule,
		keyHeader: string,
		answer: ResponseWriter,
		latencies: LatencyRecorder,
	): Promise<Refusal | undefined> {
		const decision = await this.parts.atMostOnceLog.begin({
			customer: request.customer,
			key: request.headers[keyHeader.toLowerCase()],
			digest: computeDigest(request),
			deadlineMs: request.deadlineAtMs,
			signal: request.signal,
		});
		if (decision.kind !== 'dispatch') {
			return answerWithoutDispatch(decision, answer);
		}
		const { attempt } = decision;
		const sink = new RecordingSink(answer);
		const fingerprint = computeFingerprint(request);
		const loop = new AttemptLoop(this.parts, request, rule, sink, latencies, fingerprint, attempt);
		const refusal = await loop.run();
		if (refusal === undefined && sink.answer !== undefined) {
			attempt.noteCompleted();
			void this.parts.atMostOnceLog.finish(attempt, sink.answer);
		} else {
			void this.parts.atMostOnceLog.withdraw(attempt);
		}
		return refusal;
	}
}

function toRequestAttributes(request: CallerRequest): RequestAttributes {
	const { customer, caller, kind, path, method, generation } = request;
	const model = generation?.model;
	return { customer, caller, kind, path, method, ...(model === undefined ? {} : { model }) };
}

function computeDigest(request: CallerRequest): string {
	const hash = createHash('sha256');
	hash.update(`${request.method} ${request.url}\n`);
	hash.update(request.body);
	return hash.digest('hex');
}

/** Returns a hash of the customer and the content of a request, which is the same for each repetition. */
function computeFingerprint(request: CallerRequest): string {
	return hashTextToHex(`${request.customer}\n${computeDigest(request)}`);
}

function answerWithoutDispatch(
	decision: Exclude<AtMostOnceDecision, { kind: 'dispatch' }>,
	answer: ResponseWriter,
): Refusal | undefined {
	if (decision.kind === 'answered') {
		return answerFromRecord(decision.answer, answer);
	}
	const { problem, detail, outcome, retryAfterMs } = decision;
	return { kind: problem, detail, outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

/** Sends the recorded answer of an earlier run, or refuses if its body was too large to record. */
function answerFromRecord(stored: StoredResponse, answer: ResponseWriter): Refusal | undefined {
	const { status, contentType, body } = stored;
	if (body === undefined) {
		const detail = `The operation ran and was answered with HTTP ${status}; that answer was too large to keep.`;
		return { kind: 'already-dispatched', detail, outcome: Outcome.Unknown };
	}
	answer.sendComplete(status, { 'content-type': contentType }, Buffer.from(body), Outcome.Completed);
	return undefined;
}
