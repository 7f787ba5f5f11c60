/**
 * Keeps the limit that a target names for the requests of the whole fleet. Each of the instances that may use the target
 * has an equal share of it, as a token bucket.
 */

/** A limit in use is taken to be at least this, so that some request finds out when the target no longer names one. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Part of a second for which an unused share is kept, if that is more than one request. */
const MAX_BURST_SECONDS = 0.25;

/** What a target last said of its limit; undefined requests mean that it has none. */
export interface ObservedLimit {
	readonly requestsPerSecond: number | undefined;
	readonly observedAtMs: number;
	/** Whether this instance heard it from the target itself. */
	readonly isOwn: boolean;
}

export class TargetRequestLimit {
	/** Whether the target has named a limit that cannot be read, so that this is logged once. */
	public hasInvalidStatement = false;
	private observed: ObservedLimit | undefined;
	private sharePerSecond = 0;
	private tokens = 0;
	private refilledAtMs = 0;

	/** The latest statement; undefined before the first one. */
	public get latest(): ObservedLimit | undefined {
		return this.observed;
	}

	/** Requests a second that the target takes from the fleet; undefined if it names no limit. */
	public get requestsPerSecond(): number | undefined {
		const { requestsPerSecond } = this.observed ?? {};
		return requestsPerSecond === undefined ? undefined : Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
	}

	/** Records a statement, unless a later one is known. Returns whether the limit changed. */
	public record(statement: ObservedLimit): boolean {
		const previous = this.observed;
		if (previous !== undefined && previous.observedAtMs >= statement.observedAtMs) {
			return false;
		}
		this.observed = statement;
		if (previous?.requestsPerSecond === undefined) {
			// The share is earned from now on: the requests that are on their way already use the limit.
			this.tokens = 0;
			this.refilledAtMs = statement.observedAtMs;
		}
		return previous?.requestsPerSecond !== statement.requestsPerSecond;
	}

	/** Sets the share of this instance; 0 if it may not use the target while the limit lasts. */
	public setShare(sharePerSecond: number, nowMs: number): void {
		this.refill(nowMs);
		this.sharePerSecond = sharePerSecond;
	}

	/** Returns the time until a request may be sent, in ms; 0 if one may be sent now, infinity without a share. */
	public computeDelay(nowMs: number): number {
		if (this.requestsPerSecond === undefined) {
			return 0;
		}
		this.refill(nowMs);
		if (this.tokens >= 1) {
			return 0;
		}
		return this.sharePerSecond === 0 ? Infinity : ((1 - this.tokens) / this.sharePerSecond) * 1000;
	}

	/** Takes a request from the share. */
	public consume(nowMs: number): void {
		if (this.requestsPerSecond !== undefined) {
			this.refill(nowMs);
			this.tokens -= 1;
		}
	}

	private refill(nowMs: number): void {
		const elapsedS = Math.max(0, nowMs - this.refilledAtMs) / 1000;
		const burst = Math.max(1, MAX_BURST_SECONDS * this.sharePerSecond);
		this.tokens = Math.min(burst, this.tokens + elapsedS * this.sharePerSecond);
		this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
	}
}
