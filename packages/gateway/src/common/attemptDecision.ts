/** Decides what follows a failed attempt. Pure: the caller of a request sees the result of exactly one decision. */

export interface AttemptState {
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Attempts that ran, or may have. */
	readonly runs: number;
	/** Sends so far, those included that a target turned down. */
	readonly sends: number;
	readonly maxAttempts: number;
	/** Whether the head of an answer went to the caller. */
	readonly hasStarted: boolean;
	/** Whether a started stream can continue at another target. */
	readonly isResumable: boolean;
	/** Whether enough time is left for another attempt. */
	readonly hasTime: boolean;
}

export type AttemptDecision =
	/** Send it to another target. */
	| 'retry'
	/** Continue the stream at another target. */
	| 'resume'
	/** It has not run and will not: tell the caller when to come back. */
	| 'refuse'
	/** It may have run: tell the caller that it failed. */
	| 'fail'
	/** Break the answer off, so that it does not look whole. */
	| 'cut';

/** Sends that targets turned down do not count as runs; this many are allowed beside those that do. */
const MAX_REFUSED_SENDS = 2;

/** @param mayHaveRun whether the failed attempt ran, or may have */
export function decideAfterFailure(state: AttemptState, mayHaveRun: boolean): AttemptDecision {
	const { isRepeatable, runs, sends, maxAttempts, hasStarted, isResumable, hasTime } = state;
	const canSendAgain = hasTime && runs < maxAttempts && sends < maxAttempts + MAX_REFUSED_SENDS;
	if (hasStarted) {
		return isResumable && canSendAgain ? 'resume' : 'cut';
	}
	if (canSendAgain && (isRepeatable || !mayHaveRun)) {
		return 'retry';
	}
	return runs === 0 ? 'refuse' : 'fail';
}
