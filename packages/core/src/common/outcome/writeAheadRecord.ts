/** The write-ahead record of a non-idempotent operation, and how a request treats one that exists already. */
import type { Result } from '../base/result.js';
import { Err, Ok } from '../base/result.js';

/** Response of the target, stored so that repeated requests receive it too. */
export interface StoredResponse {
	readonly status: number;
	readonly contentType: string;
	/** Absent if it was too large to store. */
	readonly body?: string;
}

export type WriteAheadRecordState =
	/** The attempt may have reached a target. */
	| { readonly kind: 'dispatched' }
	| { readonly kind: 'completed'; readonly answer: StoredResponse }
	/** The attempt was withdrawn before anything was sent and will never be sent; another may replace it. */
	| { readonly kind: 'abandoned' };

export interface WriteAheadRecord {
	/** Id of one attempt of one router to run the operation. */
	readonly attempt: string;
	readonly router: string;
	/** Time of recording by the router's clock, epoch ms. */
	readonly recordedAtMs: number;
	/** SHA-256 of the request's method, path and body. */
	readonly digest: string;
	readonly state: WriteAheadRecordState;
}

/** How the existing record of a key relates to a new attempt with that key. */
export type ExistingRecordStatus =
	/** This attempt wrote the record: an earlier write whose result was lost took effect. */
	| { readonly kind: 'own' }
	/** This attempt may replace the record. */
	| { readonly kind: 'replaceable' }
	/** The key was used for a request with another method, path or body. */
	| { readonly kind: 'reused' }
	| { readonly kind: 'completed'; readonly answer: StoredResponse }
	| { readonly kind: 'dispatched'; readonly router: string };

/**
 * Checks the record `existing` against the attempt `own`.
 * @param isWithdrawn whether this router withdrew the attempt of the existing record
 */
export function checkExistingRecord(
	existing: WriteAheadRecord,
	own: WriteAheadRecord,
	isWithdrawn: boolean,
): ExistingRecordStatus {
	if (existing.attempt === own.attempt) {
		return existing.state.kind === 'dispatched' ? { kind: 'own' } : { kind: 'replaceable' };
	}
	if (existing.digest !== own.digest) {
		return { kind: 'reused' };
	}
	switch (existing.state.kind) {
		case 'abandoned':
			return { kind: 'replaceable' };
		case 'completed':
			return { kind: 'completed', answer: existing.state.answer };
		case 'dispatched':
			return isWithdrawn ? { kind: 'replaceable' } : { kind: 'dispatched', router: existing.router };
	}
}

/**
 * Whether a delayed write of the withdrawn attempt `own` could still replace `existing`, or has done so
 * already. If so, an abandoned record has to be written to rule the attempt out.
 */
export function shouldReplaceWithAbandoned(existing: WriteAheadRecord, own: WriteAheadRecord): boolean {
	if (existing.attempt === own.attempt) {
		return existing.state.kind === 'dispatched';
	}
	return existing.state.kind === 'abandoned';
}

export function encodeWriteAheadRecord(record: WriteAheadRecord): string {
	return JSON.stringify(record);
}

/** Decodes a record. An unreadable one is an error, so that it never counts as absent. */
export function decodeWriteAheadRecord(text: string): Result<WriteAheadRecord, string> {
	try {
		const value = JSON.parse(text) as Partial<WriteAheadRecord>;
		const hasRequiredFields =
			typeof value.attempt === 'string' &&
			typeof value.digest === 'string' &&
			typeof value.state?.kind === 'string';
		return hasRequiredFields
			? Ok(value as WriteAheadRecord)
			: Err('the record lacks attempt, digest or state.kind');
	} catch (error) {
		return Err(String(error));
	}
}
