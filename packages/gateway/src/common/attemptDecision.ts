/** Decides what follows a failed attempt. The final decision determines what the caller receives. */

export interface AttemptState {
	/** Whether the request may run more than once. */
	readonly isIdempotent: boolean;
	/** Attempts that ran or may have run. */
	readonly runs: number;
	/** Sends so far, including those that a target rejected. */
	readonly sends: number;
	/** Whether the request may still be sent to some target, new or already used. */
	readonly hasEligibleTarget: boolean;
	/** Whether the response head has been sent to the caller. */
	readonly hasResponseStarted: boolean;
	/** Whether a started stream can be resumed on another target. */
	readonly isResumable: boolean;
	/** Whether enough time is left before the deadline for another attempt. */
	readonly hasTimeLeft: boolean;
}

export type AttemptDecision =
	/** Send the request again. */
	| 'retry'
	/** Resume the stream with another attempt. */
	| 'resume'
	/** The request has not run and will not: reject it with a time to retry after. */
	| 'refuse'
	/** The request may have run: report the failure to the caller. */
	| 'fail'
	/** Abort the started response, so that the caller sees that it is truncated. */
	| 'cut';

/** Limit of runs per request, however many targets there are. Of some calls, 14 % of the first runs fail. */
const MAX_RUNS = 4;
/** Sends allowed beyond `MAX_RUNS`, since sends that a target rejected do not count as runs. */
const MAX_REJECTED_SENDS = 2;

/** @param mayHaveRun whether the failed attempt ran or may have run */
export function decideAfterFailure(state: AttemptState, mayHaveRun: boolean): AttemptDecision {
	const { isIdempotent, runs, sends, hasEligibleTarget, hasResponseStarted, isResumable, hasTimeLeft } =
		state;
	const canSendAgain =
		hasTimeLeft && hasEligibleTarget && runs < MAX_RUNS && sends < MAX_RUNS + MAX_REJECTED_SENDS;
	if (hasResponseStarted) {
		return isResumable && canSendAgain ? 'resume' : 'cut';
	}
	if (canSendAgain && (isIdempotent || !mayHaveRun)) {
		return 'retry';
	}
	return runs === 0 ? 'refuse' : 'fail';
}
