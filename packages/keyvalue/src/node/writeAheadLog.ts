/** Records non-idempotent operations in the key-value service before they are dispatched. */
import { randomUUID } from 'node:crypto';
import type {
	BackOffPolicy,
	Disposable,
	Event,
	IdempotencyKey,
	KeyAgePolicy,
	ClockReading,
	AtMostOnceDecision,
	AtMostOnceLog,
	AtMostOnceOperation,
	WriteAheadRecord,
	WriteAheadRecordStore,
	PutResult,
	RecordId,
	StoredResponse,
} from '@papayawell/core';
import {
	AtMostOnceAttempt,
	checkKeyAge,
	computeBackOffMs,
	decideOnExistingRecord,
	checkExistingRecord,
	parseIdempotencyKey,
	refuseKeyAge,
	refuseInvalidKey,
	refuseLostRecords,
	refuseUnrecorded,
} from '@papayawell/core';
import { RecordFinalizer } from './recordFinalizer.js';
import { sleep } from './sleep.js';

export interface WriteAheadLogOptions {
	readonly router: string;
	readonly records: WriteAheadRecordStore;
	readonly keyAge: KeyAgePolicy;
	/** Maximum time that a request waits for its record to be written, in ms. */
	readonly recordTimeoutMs: number;
	/** Timeout of one write, in ms. */
	readonly putTimeoutMs: number;
	/** How long after its start an attempt may still be dispatched, in ms. */
	readonly dispatchWindowMs: number;
	/** Back-off between attempts to write a record. */
	readonly backOff: BackOffPolicy;
	/** Retry delay suggested to callers whose operation could not be recorded, in ms. */
	readonly retryAfterMs: number;
	/** Fires when the store was reset to an older state, which loses records. */
	readonly onDidLoseRecords?: Event<unknown>;
	readonly readClock?: () => ClockReading;
}

/** The stored record of an attempt that is neither completed nor abandoned yet. */
export interface OpenRecord {
	readonly name: RecordId;
	readonly record: WriteAheadRecord;
	readonly version: number;
}

/** A record that is being written for a new attempt. */
interface PendingRecord {
	readonly attempt: AtMostOnceAttempt;
	readonly key: IdempotencyKey;
	open: OpenRecord;
	readonly recordDeadlineMs: number;
	readonly signal: AbortSignal | undefined;
	/** Whether a failed write may have taken effect or still can. */
	hasUnknownWrite: boolean;
}

function readSystemClock(): ClockReading {
	return { monotonicMs: performance.now(), epochMs: Date.now() };
}

export class WriteAheadLog implements AtMostOnceLog, Disposable {
	private readonly open = new WeakMap<AtMostOnceAttempt, OpenRecord>();
	private readonly finalizer: RecordFinalizer;
	private readonly readClock: () => ClockReading;
	private readonly recordLossListener: Disposable | undefined;
	/** Records of keys issued before this epoch time may be lost. */
	private possibleLossUntilMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: WriteAheadLogOptions) {
		this.readClock = options.readClock ?? readSystemClock;
		this.finalizer = new RecordFinalizer(options.records, options.putTimeoutMs, options.backOff);
		this.recordLossListener = options.onDidLoseRecords?.(() => {
			this.possibleLossUntilMs = this.readClock().epochMs + options.keyAge.maxClockSkewMs;
		});
	}

	public async begin(operation: AtMostOnceOperation): Promise<AtMostOnceDecision> {
		const key = parseIdempotencyKey(operation.key);
		if (!key.ok) {
			return refuseInvalidKey(key.val);
		}
		const startedAt = this.readClock();
		const age = checkKeyAge(key.val, startedAt.epochMs, this.options.keyAge);
		if (age !== 'usable') {
			return refuseKeyAge(age);
		}
		if (this.isRecordPossiblyLost(key.val)) {
			return refuseLostRecords();
		}
		return this.record(operation, key.val, startedAt);
	}

	public async finish(attempt: AtMostOnceAttempt, answer: StoredResponse): Promise<void> {
		const open = this.removeOpenRecord(attempt);
		if (open) {
			await this.finalizer.finish(open, answer);
		}
	}

	public async withdraw(attempt: AtMostOnceAttempt): Promise<void> {
		if (!attempt.withdraw()) {
			return;
		}
		const open = this.removeOpenRecord(attempt);
		if (open) {
			await this.finalizer.withdraw(open);
		}
	}

	/** Resolves when all final states have been written or given up. */
	public drain(): Promise<void> {
		return this.finalizer.drain();
	}

	/** Cancels the writes of final states. Call `drain` first to let them finish. */
	public dispose(): void {
		this.recordLossListener?.dispose();
		this.finalizer.dispose();
	}

	private removeOpenRecord(attempt: AtMostOnceAttempt): OpenRecord | undefined {
		const open = this.open.get(attempt);
		this.open.delete(attempt);
		return open;
	}

	private isRecordPossiblyLost(key: IdempotencyKey): boolean {
		return key.issuedAtMs < this.possibleLossUntilMs;
	}

	/** Writes the record until it is known which attempt holds the key, or until the record timeout. */
	private async record(
		operation: AtMostOnceOperation,
		key: IdempotencyKey,
		startedAt: ClockReading,
	): Promise<AtMostOnceDecision> {
		const { deadlineMs, signal } = operation;
		const attempt = new AtMostOnceAttempt(randomUUID(), startedAt, {
			dispatchWindowMs: this.options.dispatchWindowMs,
			deadlineMs,
		});
		const name = { customer: operation.customer, key: key.text, issuedAtMs: key.issuedAtMs };
		const record = this.makeRecord(attempt, operation.digest, startedAt);
		const recordDeadlineMs = Math.min(deadlineMs, startedAt.monotonicMs + this.options.recordTimeoutMs);
		const open = { name, record, version: 0 };
		return this.writeUntilDecided({
			attempt,
			key,
			open,
			recordDeadlineMs,
			signal,
			hasUnknownWrite: false,
		});
	}

	private async writeUntilDecided(recording: PendingRecord): Promise<AtMostOnceDecision> {
		const { recordDeadlineMs, signal } = recording;
		for (let round = 1; ; round += 1) {
			const remainingMs = recordDeadlineMs - this.readClock().monotonicMs;
			if (remainingMs <= 0 || signal?.aborted) {
				return this.refuseUndecided(recording);
			}
			const timeoutMs = Math.min(this.options.putTimeoutMs, remainingMs);
			const { name, record, version } = recording.open;
			const answer = await this.options.records.put(name, version, record, { timeoutMs });
			if (answer.ok) {
				const decision = this.handlePutResult(recording, answer.val);
				if (decision) {
					return decision;
				}
				continue;
			}
			recording.hasUnknownWrite ||= answer.val.effect === 'unknown';
			await sleep(Math.min(remainingMs, computeBackOffMs(this.options.backOff, round)), signal);
		}
	}

	/** Decides on the operation, or sets the version that the next write expects. */
	private handlePutResult(recording: PendingRecord, answer: PutResult): AtMostOnceDecision | undefined {
		if (answer.kind === 'stored') {
			return this.acceptRecord(recording, answer.version);
		}
		const { found } = answer;
		if (!found) {
			recording.open = { ...recording.open, version: 0 };
			return undefined;
		}
		const isWithdrawn = this.finalizer.isWithdrawn(found.record.attempt);
		const finding = checkExistingRecord(found.record, recording.open.record, isWithdrawn);
		switch (finding.kind) {
			case 'own':
				return this.acceptRecord(recording, found.version);
			case 'replaceable':
				recording.open = { ...recording.open, version: found.version };
				return undefined;
			case 'reused':
			case 'completed':
			case 'dispatched':
				recording.attempt.withdraw();
				return decideOnExistingRecord(finding, this.options.retryAfterMs);
		}
	}

	private makeRecord(attempt: AtMostOnceAttempt, digest: string, startedAt: ClockReading): WriteAheadRecord {
		return {
			attempt: attempt.id,
			router: this.options.router,
			recordedAtMs: startedAt.epochMs,
			digest,
			state: { kind: 'dispatched' },
		};
	}

	private acceptRecord({ attempt, key, open }: PendingRecord, version: number): AtMostOnceDecision {
		if (this.isRecordPossiblyLost(key)) {
			// The record stays `dispatched`, which prevents every router from running the operation.
			attempt.withdraw();
			return refuseLostRecords();
		}
		attempt.noteRecorded();
		this.open.set(attempt, { ...open, version });
		return { kind: 'dispatch', attempt };
	}

	/**
	 * Withdraws the attempt before the caller gets the refusal, so that it can't be dispatched afterwards. If a
	 * write may have taken effect, the stored record is overwritten as abandoned as well.
	 */
	private refuseUndecided({ attempt, open, hasUnknownWrite }: PendingRecord): AtMostOnceDecision {
		attempt.withdraw();
		if (hasUnknownWrite) {
			void this.finalizer.withdraw(open);
		}
		return refuseUnrecorded(this.options.retryAfterMs);
	}
}
