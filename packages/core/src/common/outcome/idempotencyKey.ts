/**
 * Idempotency keys. Each contains the time at which the caller issued it, so that a key is accepted for a
 * limited time only.
 */
import type { Result } from '../base/result.js';
import { Err, Ok } from '../base/result.js';

export interface IdempotencyKey {
	readonly text: string;
	/** Time of issue by the caller's clock, epoch ms. */
	readonly issuedAtMs: number;
}

export interface KeyAgePolicy {
	/** Maximum age of a key; older ones are refused, in ms. */
	readonly retentionMs: number;
	/** Maximum difference between any two clocks, in ms. */
	readonly maxClockSkewMs: number;
}

export type KeyAge = 'usable' | 'too-old' | 'from-future';

/** Why a text was rejected as an idempotency key. */
export interface IdempotencyKeyError {
	readonly kind: 'missing' | 'too-long' | 'bad-characters' | 'no-issue-time';
	readonly message: string;
}

export const MAX_IDEMPOTENCY_KEY_LENGTH = 200;

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ULID = /^([0-7][0-9a-hjkmnp-tv-z]{9})[0-9a-hjkmnp-tv-z]{16}$/i;
const EPOCH_MS_PREFIX = /^(\d{13})-.+$/;
const ULID_DIGITS = '0123456789abcdefghjkmnpqrstvwxyz';

/** The skews of three clocks and one as a margin; see `computeRecordRetentionMs`. */
const CLOCK_SKEWS_COVERED = 4;

function decodeUlidTime(text: string): number {
	let value = 0;
	for (const digit of text.toLowerCase()) {
		value = value * ULID_DIGITS.length + ULID_DIGITS.indexOf(digit);
	}
	return value;
}

function readIssueTime(text: string): number | undefined {
	const uuid = UUID_V7.exec(text);
	if (uuid) {
		return Number.parseInt(`${uuid[1] ?? ''}${uuid[2] ?? ''}`, 16);
	}
	const ulid = ULID.exec(text);
	if (ulid) {
		return decodeUlidTime(ulid[1] ?? '');
	}
	const prefixed = EPOCH_MS_PREFIX.exec(text);
	return prefixed ? Number(prefixed[1]) : undefined;
}

/** Parses a UUID version 7, a ULID, or `<epoch ms, 13 digits>-<anything>`. */
export function parseIdempotencyKey(text: string | undefined): Result<IdempotencyKey, IdempotencyKeyError> {
	if (text === undefined || text === '') {
		return Err({ kind: 'missing', message: 'the request carries no idempotency key' });
	}
	if (text.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
		const message = `the idempotency key is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
		return Err({ kind: 'too-long', message });
	}
	if (!VISIBLE_ASCII.test(text)) {
		return Err({ kind: 'bad-characters', message: 'the idempotency key is not visible ASCII' });
	}
	const issuedAtMs = readIssueTime(text);
	if (issuedAtMs === undefined) {
		const message = 'the idempotency key carries no issue time: use UUIDv7, ULID or <epoch ms>-<anything>';
		return Err({ kind: 'no-issue-time', message });
	}
	return Ok({ text, issuedAtMs });
}

/** Checks whether a key is accepted at `nowEpochMs`, by its time of issue. */
export function checkKeyAge(key: IdempotencyKey, nowEpochMs: number, policy: KeyAgePolicy): KeyAge {
	const ageMs = nowEpochMs - key.issuedAtMs;
	if (ageMs > policy.retentionMs) {
		return 'too-old';
	}
	return ageMs < -policy.maxClockSkewMs ? 'from-future' : 'usable';
}

/**
 * Computes how long a record is retained after its creation, in ms. It has to outlive the last moment at
 * which any router may accept its key. The clocks of the caller, of the router that writes the record and
 * of the router that accepts the key may each be off by the maximum skew; the fourth skew is a safety
 * margin.
 */
export function computeRecordRetentionMs(policy: KeyAgePolicy): number {
	return policy.retentionMs + CLOCK_SKEWS_COVERED * policy.maxClockSkewMs;
}
