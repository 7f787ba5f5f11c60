/**
 * Passive health check of one target from the outcome of calls. It overrides the target's own health check. Each exclusion
 * ends by itself: after a time the target gets one request at a time as a trial, until its answers show that it is sound.
 */

/** First suspension after calls that did not reach the target; doubles with each further one. */
const INITIAL_SUSPENSION_MS = 500;
/** Longest suspension; a trial follows. */
const MAX_SUSPENSION_MS = 2000;
/** First exclusion of an outlier; doubles with each trial that fails. */
const INITIAL_EXCLUSION_MS = 1000;
const MAX_EXCLUSION_MS = 2000;
/** Weight of the latest call in the moving average of the failure rate. */
const FAILURE_RATE_WEIGHT = 0.12;
/** Weight of the answer to a trial, so that a few are enough. */
const TRIAL_WEIGHT = 0.5;
/** Failure rate above which a target is not chosen, if others have a lower one. */
const HIGH_FAILURE_RATE = 0.35;
/** Failure rate above which a further failure does not suggest a faulty request. */
const FREQUENT_FAILURE_RATE = 0.2;
/** A target is not chosen if its failure rate exceeds the lowest one of the service by this factor. */
const OUTLIER_RATIO = 2;
/** Lower bound of the rate to which `OUTLIER_RATIO` is applied. */
const MIN_BASELINE_RATE = 0.01;
/** Time without any bytes after which a target with requests in flight is considered hung. */
export const UNRESPONSIVE_AFTER_MS = 500;

export class TargetHealth {
	private consecutiveFailures = 0;
	private suspendedUntilMs = -Infinity;
	private averageFailureRate = 0;
	/** Undefined unless the target is excluded as an outlier. */
	private excludedUntilMs: number | undefined;
	private exclusionMs = INITIAL_EXCLUSION_MS;

	public get failureRate(): number {
		return this.averageFailureRate;
	}

	/**
	 * Whether the target is not chosen because calls did not reach it.
	 * @param ownRequests requests of this instance in flight on the target; a trial is the only one
	 */
	public isSuspended(ownRequests: number, nowMs: number): boolean {
		const isOnTrial = this.suspendedUntilMs !== -Infinity && ownRequests > 0;
		return nowMs < this.suspendedUntilMs || isOnTrial;
	}

	/** Records a response. Whatever its status, the target is reachable. */
	public recordResponse(isFailure: boolean, nowMs: number): void {
		this.consecutiveFailures = 0;
		this.suspendedUntilMs = -Infinity;
		this.updateFailureRate(isFailure, nowMs);
	}

	/** Records a call whose connection failed, was broken or sent nothing. */
	public recordConnectionFailure(nowMs: number, isUnreachable: boolean): void {
		this.consecutiveFailures += 1;
		if (!isUnreachable) {
			this.updateFailureRate(true, nowMs);
		}
		if (isUnreachable || this.consecutiveFailures > 1) {
			const suspensionMs = Math.min(
				MAX_SUSPENSION_MS,
				INITIAL_SUSPENSION_MS * 2 ** Math.max(0, this.consecutiveFailures - 1),
			);
			this.suspendedUntilMs = Math.max(this.suspendedUntilMs, nowMs + suspensionMs);
		}
	}

	/** Forgets all failures, since they were not the target's. */
	public reset(): void {
		this.consecutiveFailures = 0;
		this.suspendedUntilMs = -Infinity;
		this.averageFailureRate = 0;
		this.excludedUntilMs = undefined;
		this.exclusionMs = INITIAL_EXCLUSION_MS;
	}

	/** Whether the target fails so often that a failure says little about the request. */
	public get hasFrequentFailures(): boolean {
		return this.averageFailureRate > FREQUENT_FAILURE_RATE;
	}

	/**
	 * Whether the target is not chosen because it fails much more often than the best target of the service.
	 * @param ownRequests requests of this instance in flight on the target; a trial is the only one
	 */
	public isOutlier(lowestFailureRate: number, ownRequests: number, nowMs: number): boolean {
		const failsTooOften =
			this.averageFailureRate > HIGH_FAILURE_RATE &&
			this.averageFailureRate > OUTLIER_RATIO * Math.max(lowestFailureRate, MIN_BASELINE_RATE);
		if (!failsTooOften) {
			this.excludedUntilMs = undefined;
			return false;
		}
		this.excludedUntilMs ??= nowMs + this.exclusionMs;
		return nowMs < this.excludedUntilMs || ownRequests > 0;
	}

	private updateFailureRate(isFailure: boolean, nowMs: number): void {
		const isTrial = this.excludedUntilMs !== undefined && nowMs >= this.excludedUntilMs;
		if (isTrial && isFailure) {
			this.exclusionMs = Math.min(MAX_EXCLUSION_MS, 2 * this.exclusionMs);
			this.excludedUntilMs = nowMs + this.exclusionMs;
		}
		const weight = isTrial && !isFailure ? TRIAL_WEIGHT : FAILURE_RATE_WEIGHT;
		this.averageFailureRate += weight * ((isFailure ? 1 : 0) - this.averageFailureRate);
	}
}
