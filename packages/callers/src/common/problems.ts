/** Problem documents (RFC 9457) that callers receive. */
import type { Outcome, Problem, ProblemKind } from '@papayawell/core';

export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const PROBLEM_TYPE_PREFIX = 'urn:papayawell:problem:';

interface ProblemTemplate {
	readonly status: number;
	readonly title: string;
}

const PROBLEM_TEMPLATES: Readonly<Record<ProblemKind, ProblemTemplate>> = {
	unauthenticated: { status: 401, title: 'The caller key is missing or unknown' },
	forbidden: { status: 403, title: 'The caller may not act for this customer' },
	'malformed-request': { status: 400, title: 'The request is malformed' },
	'head-too-large': { status: 431, title: 'The request head is too large' },
	'body-too-large': { status: 413, title: 'The request body is too large' },
	'slow-sender': { status: 408, title: 'The request arrived too slowly' },
	'no-rule': { status: 404, title: 'No rule matches the request' },
	'no-configuration': { status: 503, title: 'The router has no configuration yet' },
	'no-target': { status: 503, title: 'The pool has no target that takes work' },
	'limit-exceeded': { status: 429, title: 'A limit of the customer is used up' },
	'queue-full': { status: 429, title: 'The queue of the customer is full' },
	'queue-timeout': { status: 503, title: 'No target became free in time' },
	'deadline-exceeded': { status: 504, title: 'The deadline of the request has passed' },
	draining: { status: 503, title: 'The router is shutting down' },
	'missing-idempotency-key': { status: 400, title: 'The operation needs a usable idempotency key' },
	'idempotency-key-too-old': { status: 422, title: 'The idempotency key is older than the retention' },
	'idempotency-key-reused': { status: 409, title: 'The idempotency key was used with another body' },
	'already-dispatched': { status: 409, title: 'The operation was dispatched before' },
	'record-unavailable': { status: 503, title: 'The operation could not be recorded' },
	quarantined: { status: 503, title: 'Requests like this one crashed targets' },
	'target-failed': { status: 502, title: 'The target failed' },
	'incomplete-answer': { status: 502, title: 'The answer of the target was incomplete' },
	internal: { status: 500, title: 'The router failed' },
};

export interface ProblemDetails {
	readonly kind: ProblemKind;
	readonly detail: string;
	readonly outcome: Outcome;
	readonly requestId: string;
	/** Delay before the caller may retry, in ms. */
	readonly retryAfterMs?: number;
}

/** Builds the problem document for `details`; `retryAfter` is rounded up to whole seconds, at least one. */
export function makeProblem(details: ProblemDetails): Problem {
	const template = PROBLEM_TEMPLATES[details.kind];
	return {
		type: PROBLEM_TYPE_PREFIX + details.kind,
		title: template.title,
		status: template.status,
		detail: details.detail,
		outcome: details.outcome,
		requestId: details.requestId,
		...(details.retryAfterMs === undefined
			? {}
			: { retryAfter: Math.max(1, Math.ceil(details.retryAfterMs / 1000)) }),
	};
}
