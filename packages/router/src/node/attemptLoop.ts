/** Attempts one request on targets until one answers or no further attempt is allowed. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { CallerRequest } from '@papayawell/callers';
import type { AtMostOnceAttempt, RetryBudget, Rule, SuspectTracker, SuspectStatus } from '@papayawell/core';
import type {
	ResponseSink,
	AttemptObserver,
	AttemptRequest,
	SeriesFailure,
	SeriesEvent,
	SeriesStep,
	TargetClient,
} from '@papayawell/targets';
import { AttemptSeries } from '@papayawell/targets';
import { computeAffinityKey } from '../common/affinity.js';
import type { Refusal } from '../common/refusal.js';
import { refuseNotRun } from '../common/refusal.js';
import type { LatencyRecorder } from './latencyRecorder.js';
import type { Slot, SlotResult } from './pool.js';
import type { PoolRegistry } from './poolRegistry.js';

/** Interval at which a suspect request looks for a target without other suspect requests, in ms. */
const ISOLATION_POLL_INTERVAL_MS = 20;
const RETRY_AFTER_MS = 1000;

export interface AttemptLoopParts {
	readonly pools: PoolRegistry;
	readonly client: TargetClient;
	readonly retries: RetryBudget;
	readonly suspects: SuspectTracker;
	/** Called for each retry, resumption, dropped or incomplete answer and dead target, for metrics. */
	readonly onEvent: (event: SeriesEvent) => void;
}

/** Owns the attempts of one request. */
export class AttemptLoop {
	private readonly series: AttemptSeries;

	/**
	 * @param fingerprint hash of the customer and the content of the request
	 * @param atMostOnceGuard guard of a non-idempotent operation, checked right before the first byte is sent
	 */
	constructor(
		private readonly parts: AttemptLoopParts,
		private readonly request: CallerRequest,
		private readonly rule: Rule,
		sink: ResponseSink,
		private readonly latencies: LatencyRecorder,
		private readonly fingerprint: string,
		atMostOnceGuard?: AtMostOnceAttempt,
	) {
		// A non-idempotent operation isn't cancelled with its caller, so that its answer is recorded for a repeated request.
		const signal = atMostOnceGuard === undefined ? request.signal : new AbortController().signal;
		this.series = new AttemptSeries({
			client: parts.client,
			buildRequest: () => toAttempt(request, signal),
			sink,
			observer: makeObserver(latencies, atMostOnceGuard),
			customer: request.customer,
			fingerprint,
			isIdempotent: rule.repeatability.kind === 'idempotent',
			deadlineAtMs: request.deadlineAtMs,
			signal: request.signal,
			retryBudget: parts.retries,
			suspects: parts.suspects,
			atMostOnceGuard,
			onEvent: parts.onEvent,
		});
	}

	/** Resolves with undefined when the caller has received its whole answer, otherwise with the refusal. */
	public async run(): Promise<Refusal | undefined> {
		for (;;) {
			const result = await this.findSlot();
			if (result.kind === 'quarantined') {
				return result.refusal;
			}
			if (result.kind !== 'slot') {
				return this.refuseWithoutSlot(result);
			}
			const step = await this.runInSlot(result.slot);
			if (step === 'completed') {
				return undefined;
			}
			if (step === 'ended') {
				return toRefusal(this.series.failure);
			}
		}
	}

	/** Acquires a slot on a target; a suspect request waits for a target that runs no other suspect request. */
	private async findSlot(): Promise<
		SlotResult | { readonly kind: 'quarantined'; readonly refusal: Refusal }
	> {
		for (;;) {
			const status = this.series.checkSuspicion();
			switch (status.kind) {
				case 'quarantined':
					return { kind: 'quarantined', refusal: this.refuseQuarantined(status) };
				case 'clear':
					return this.acquireSlot(computeAffinityKey(this.request, this.rule), []);
				case 'suspect':
					break;
			}
			if (!status.isRunning) {
				const result = await this.acquireSlot(this.fingerprint, [...status.avoid]);
				if (result.kind !== 'noTarget' || status.avoid.size === 0) {
					return result;
				}
			}
			if (this.request.signal.aborted || performance.now() >= this.request.deadlineAtMs) {
				return { kind: 'queueTimeout', retryAfterMs: RETRY_AFTER_MS };
			}
			await sleep(ISOLATION_POLL_INTERVAL_MS);
		}
	}

	private async acquireSlot(key: string | undefined, avoid: readonly string[]): Promise<SlotResult> {
		const { customer, deadlineAtMs, signal } = this.request;
		const { weight, priority, loadBound, pool } = this.rule;
		const startedAtMs = performance.now();
		const result = await this.parts.pools.getOrCreate(pool).acquire({
			key,
			customer,
			weight,
			priority,
			loadBound,
			excluded: new Set([...this.series.triedTargets, ...avoid]),
			deadlineAtMs,
			signal,
		});
		this.latencies.recordQueueing(performance.now() - startedAtMs);
		return result;
	}

	private async runInSlot(slot: Slot): Promise<SeriesStep> {
		try {
			return await this.series.run(slot.target);
		} finally {
			slot.release();
		}
	}

	private refuseQuarantined(status: Extract<SuspectStatus, { kind: 'quarantined' }>): Refusal {
		const detail = `Requests with this content crash targets: ${status.reason}.`;
		const retryAfterMs = Math.max(RETRY_AFTER_MS, status.expiresAtMs - Date.now());
		return { ...toRefusal(this.series.refuse('quarantined', detail)), retryAfterMs };
	}

	/** After a failed attempt, the refusal carries the outcome and detail of that attempt, not the lack of a slot. */
	private refuseWithoutSlot(result: Exclude<SlotResult, { kind: 'slot' }>): Refusal {
		const refusal = toNoSlotRefusal(result, this.rule);
		if (this.series.triedTargets.length === 0) {
			return refusal;
		}
		const { outcome, detail } = this.series.failure;
		return toRefusal({ ...this.series.refuse('target-failed', detail), outcome });
	}
}

function makeObserver(
	latencies: LatencyRecorder,
	atMostOnceGuard: AtMostOnceAttempt | undefined,
): AttemptObserver {
	return {
		onSending: () =>
			atMostOnceGuard?.tryDispatch({ monotonicMs: performance.now(), epochMs: Date.now() }) ?? true,
		onChunk: (nowMs) => {
			latencies.recordChunk(nowMs);
		},
	};
}

function toRefusal({ problem, outcome, detail }: SeriesFailure): Refusal {
	return { kind: problem, outcome, detail, retryAfterMs: RETRY_AFTER_MS };
}

function toAttempt(request: CallerRequest, signal: AbortSignal): AttemptRequest {
	const { requestId, method, url, headers, body } = request;
	return {
		requestId,
		method,
		url,
		headers,
		body,
		signal,
		idleTimeoutMs: Math.max(1, request.deadlineAtMs - performance.now()),
		isTokenStream: request.generation?.isStreamed === true,
	};
}

function toNoSlotRefusal(result: Exclude<SlotResult, { kind: 'slot' }>, rule: Rule): Refusal {
	switch (result.kind) {
		case 'queueFull':
			return refuseNotRun('queue-full', `The queue of pool ${rule.pool} is full.`, result.retryAfterMs);
		case 'queueTimeout':
			return refuseNotRun(
				'queue-timeout',
				`No target of pool ${rule.pool} became free.`,
				result.retryAfterMs,
			);
		case 'noTarget':
			return refuseNotRun(
				'no-target',
				`The pool ${rule.pool} has no target that takes work.`,
				RETRY_AFTER_MS,
			);
		case 'cancelled':
			return refuseNotRun('queue-timeout', 'The caller went away while the request waited.');
	}
}
