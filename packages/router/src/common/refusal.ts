/** Refusal of a request, which is answered with a problem document. */
import type { ProblemKind } from '@papayawell/core';
import { Outcome } from '@papayawell/core';

export interface Refusal {
	readonly kind: ProblemKind;
	readonly detail: string;
	readonly outcome: Outcome;
	/** Delay after which the caller may retry, in ms. */
	readonly retryAfterMs?: number;
}

/** Makes the refusal of a request of which nothing was sent to a target. */
export function refuseNotRun(kind: ProblemKind, detail: string, retryAfterMs?: number): Refusal {
	return { kind, detail, outcome: Outcome.NotRun, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
