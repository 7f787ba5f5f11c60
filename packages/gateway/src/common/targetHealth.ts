/** Passive health check of one target from the outcome of calls. It overrides the target's own health check. */

/** First back-off after failed calls; doubles with each further failure. */
const INITIAL_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 4000;
/** Weight of the latest call in the moving average of the failure rate. */
const FAILURE_RATE_WEIGHT = 0.12;
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

	public get failureRate(): number {
		return this.averageFailureRate;
	}

	public isSuspended(nowMs: number): boolean {
		return nowMs < this.suspendedUntilMs;
	}

	/** Records a response. Whatever its status, the target is reachable. */
	public recordResponse(isFailure: boolean): void {
		this.consecutiveFailures = 0;
		this.suspendedUntilMs = -Infinity;
		this.updateFailureRate(isFailure);
	}

	/** Records a call whose connection failed, was broken or sent nothing. */
	public recordConnectionFailure(nowMs: number, isUnreachable: boolean): void {
		this.updateFailureRate(true);
		this.consecutiveFailures += 1;
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
	}

	/** Whether the target fails so often that a failure says little about the request. */
	public get hasFrequentFailures(): boolean {
		return this.averageFailureRate > FREQUENT_FAILURE_RATE;
	}

	/** Whether the target fails much more often than the best target of the service. */
	public isOutlier(lowestFailureRate: number): boolean {
		return (
			this.averageFailureRate > HIGH_FAILURE_RATE &&
			this.averageFailureRate > OUTLIER_RATIO * Math.max(lowestFailureRate, MIN_BASELINE_RATE)
		);
	}

	private updateFailureRate(isFailure: boolean): void {
		this.averageFailureRate += FAILURE_RATE_WEIGHT * ((isFailure ? 1 : 0) - this.averageFailureRate);
	}
}
