/** Outcome and, on failure, problem of a request, as the response to the caller states them. */

export const Outcome = {
	/** The complete response was delivered. */
	Completed: 'completed',
	/** No target can have run any part of the request. */
	NotRun: 'not-run',
	/** A target may have run the request. */
	Unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Headers of every response. */
export const OUTCOME_HEADER = 'papayawell-outcome';
export const REQUEST_ID_HEADER = 'papayawell-request-id';
export const TARGET_HEADER = 'papayawell-target';

/** Why a request was refused or failed; the last segment of the problem document's `type`. */
export type ProblemKind =
	| 'unauthenticated'
	| 'forbidden'
	| 'malformed-request'
	| 'head-too-large'
	| 'body-too-large'
	| 'slow-sender'
	| 'no-rule'
	| 'no-configuration'
	| 'no-target'
	| 'limit-exceeded'
	| 'queue-full'
	| 'queue-timeout'
	| 'deadline-exceeded'
	| 'draining'
	| 'missing-idempotency-key'
	| 'idempotency-key-too-old'
	| 'idempotency-key-reused'
	| 'already-dispatched'
	| 'record-unavailable'
	| 'quarantined'
	| 'target-failed'
	| 'incomplete-answer'
	| 'internal';

/** Problem document (RFC 9457) with the project's extension members. */
export interface Problem {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly outcome: Outcome;
	readonly requestId: string;
	/** Delay after which the caller may retry, in seconds. */
	readonly retryAfter?: number;
}
