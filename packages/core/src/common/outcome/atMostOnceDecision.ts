/** Decisions about a request for a non-idempotent operation, made before anything is sent to a target. */
import type { ProblemKind } from './outcome.js';
import { Outcome } from './outcome.js';
import type { AtMostOnceAttempt } from './atMostOnceAttempt.js';
import type { KeyAge, IdempotencyKeyError } from './idempotencyKey.js';
import type { ExistingRecordStatus, StoredResponse } from './writeAheadRecord.js';

export interface AtMostOnceRefusal {
	readonly kind: 'refused';
	readonly problem: ProblemKind;
	readonly outcome: Outcome;
	readonly detail: string;
	/** Delay after which a retry may have another result, in ms. */
	readonly retryAfterMs?: number;
}

export type AtMostOnceDecision =
	/** The record is confirmed. Call `attempt.tryDispatch` immediately before sending the first byte. */
	| { readonly kind: 'dispatch'; readonly attempt: AtMostOnceAttempt }
	/** The operation ran before; `answer` is the stored response. */
	| { readonly kind: 'answered'; readonly answer: StoredResponse }
	| AtMostOnceRefusal;

export function refuseInvalidKey(error: IdempotencyKeyError): AtMostOnceRefusal {
	return {
		kind: 'refused',
		problem: 'missing-idempotency-key',
		outcome: Outcome.NotRun,
		detail: error.message,
	};
}

/**
 * Refuses a key by its age. The operation of a key past the retention may have run before its record was
 * removed, so its outcome is unknown.
 */
export function refuseKeyAge(age: Exclude<KeyAge, 'usable'>): AtMostOnceRefusal {
	switch (age) {
		case 'too-old':
			return {
				kind: 'refused',
				problem: 'idempotency-key-too-old',
				outcome: Outcome.Unknown,
				detail: 'The key is older than the retention; whether it ran before is no longer known.',
			};
		case 'from-future':
			return {
				kind: 'refused',
				problem: 'missing-idempotency-key',
				outcome: Outcome.NotRun,
				detail: 'The issue time of the key lies in the future.',
			};
	}
}

/** Refuses a key whose record may be lost because the key-value service returned to an older state. */
export function refuseLostRecords(): AtMostOnceRefusal {
	return {
		kind: 'refused',
		problem: 'record-unavailable',
		outcome: Outcome.Unknown,
		detail: 'Records of keys issued before the key-value service went back to an older state are lost.',
	};
}

export function refuseUnrecorded(retryAfterMs: number): AtMostOnceRefusal {
	return {
		kind: 'refused',
		problem: 'record-unavailable',
		outcome: Outcome.NotRun,
		detail: 'The operation could not be recorded in time, so it was not sent to a target.',
		retryAfterMs,
	};
}

export function decideOnExistingRecord(
	status: Exclude<ExistingRecordStatus, { kind: 'own' | 'replaceable' }>,
	retryAfterMs: number,
): AtMostOnceDecision {
	switch (status.kind) {
		case 'completed':
			return { kind: 'answered', answer: status.answer };
		case 'reused':
			return {
				kind: 'refused',
				problem: 'idempotency-key-reused',
				outcome: Outcome.NotRun,
				detail: 'The key belongs to a request with another method, path or body.',
			};
		case 'dispatched':
			return {
				kind: 'refused',
				problem: 'already-dispatched',
				outcome: Outcome.Unknown,
				detail: `An earlier request with this key was sent to a target by ${status.router}.`,
				retryAfterMs,
			};
	}
}

/** One request for a non-idempotent operation. */
export interface AtMostOnceOperation {
	readonly customer: string;
	/** Value of the request header that the rule configures for the idempotency key. */
	readonly key: string | undefined;
	/** SHA-256 of method, path and body, in hexadecimal. */
	readonly digest: string;
	/** The request's deadline on the monotonic clock. */
	readonly deadlineMs: number;
	/** Aborts the writing of the record when the caller disconnects. */
	readonly signal?: AbortSignal;
}

/**
 * Write-ahead log of non-idempotent operations: each is recorded before it is sent, so that it runs at most
 * once.
 */
export interface AtMostOnceLog {
	/** Records the operation and decides whether it may be sent. */
	begin(operation: AtMostOnceOperation): Promise<AtMostOnceDecision>;
	/**
	 * Stores the complete response for repeated requests. The response to the caller need not wait for this.
	 */
	finish(attempt: AtMostOnceAttempt, answer: StoredResponse): Promise<void>;
	/**
	 * Withdraws an attempt of which nothing was sent, so that the caller's next request with the key may run.
	 */
	withdraw(attempt: AtMostOnceAttempt): Promise<void>;
}
