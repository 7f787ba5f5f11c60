/**
 * Limits the retries of one service over a sliding window, at one instance of a fleet. The conditions of all instances
 * and of all their earlier runs add up: no window has more retries than its requests and those of the window before it
 * have earned, plus the parts of the slack that are in use. docs/design/retryBudget.md derives it.
 */

export interface RetryBudgetSettings {
	/** Retries that each request earns. */
	readonly ratio: number;
	readonly windowMs: number;
	/** Retries that the whole fleet may make per window, regardless of the number of requests. */
	readonly slack: number;
}

/**
 * Longest time from the decision on a retry until the target has it, with that from the arrival of a request until it is
 * counted.
 */
export const MAX_RETRY_DELAY_MS = 1000;
/** Each request earns half of the ratio for its own window and half for the next one. */
const WINDOWS_EARNED_FOR = 2;
const REQUEST_BUCKETS_PER_WINDOW = 100;

interface RequestBucket {
	readonly startMs: number;
	/** Requests before this bucket, since the start. */
	readonly before: number;
}

export interface RetryBudgetUse {
	readonly retries: number;
	readonly requests: number;
}

export class RetryBudget {
	private readonly requestBuckets: RequestBucket[] = [];
	private totalRequests = 0;
	private readonly retriesAtMs: number[] = [];
	private readonly retentionMs: number;
	private readonly earnedBeforeMs: number;

	constructor(private readonly settings: RetryBudgetSettings) {
		this.retentionMs = settings.windowMs + MAX_RETRY_DELAY_MS;
		this.earnedBeforeMs = Math.max(0, settings.windowMs - MAX_RETRY_DELAY_MS);
	}

	public recordRequest(nowMs: number): void {
		const bucketMs = this.settings.windowMs / REQUEST_BUCKETS_PER_WINDOW;
		const startMs = Math.floor(nowMs / bucketMs) * bucketMs;
		if (startMs !== this.requestBuckets.at(-1)?.startMs) {
			this.expire(nowMs);
			this.requestBuckets.push({ startMs, before: this.totalRequests });
		}
		this.totalRequests += 1;
	}

	/**
	 * Acquires one retry; returns false if the budget is exhausted.
	 * @param slack part of the fleet's slack that this instance may use now
	 */
	public tryAcquire(nowMs: number, slack: number): boolean {
		this.expire(nowMs);
		const earnedByRequest = this.settings.ratio / WINDOWS_EARNED_FOR;
		let bucket = 0;
		for (let index = 0; index <= this.retriesAtMs.length; index++) {
			const fromMs = (this.retriesAtMs[index] ?? nowMs) - this.earnedBeforeMs;
			while ((this.requestBuckets[bucket]?.startMs ?? Infinity) < fromMs) {
				bucket += 1;
			}
			const requests = this.totalRequests - (this.requestBuckets[bucket]?.before ?? this.totalRequests);
			const retries = this.retriesAtMs.length - index + 1;
			if (retries > earnedByRequest * requests + slack) {
				return false;
			}
		}
		this.retriesAtMs.push(nowMs);
		return true;
	}

	/** Called when the clock has stood still: the requests are older than it tells and may earn nothing any more. */
	public forgetRequests(): void {
		this.requestBuckets.splice(0);
	}

	/** Returns what was used and counted in the window that ends now. */
	public describeUse(nowMs: number): RetryBudgetUse {
		this.expire(nowMs);
		const oldest = this.requestBuckets.find(({ startMs }) => startMs >= nowMs - this.settings.windowMs);
		return {
			retries: this.retriesAtMs.length,
			requests: this.totalRequests - (oldest?.before ?? this.totalRequests),
		};
	}

	private expire(nowMs: number): void {
		const firstRetry = this.retriesAtMs.findIndex((atMs) => atMs >= nowMs - this.retentionMs);
		this.retriesAtMs.splice(0, firstRetry === -1 ? this.retriesAtMs.length : firstRetry);
		const oldestMs = nowMs - this.retentionMs - this.earnedBeforeMs;
		const firstBucket = this.requestBuckets.findIndex(({ startMs }) => startMs >= oldestMs);
		this.requestBuckets.splice(0, firstBucket === -1 ? this.requestBuckets.length : firstBucket);
	}
}
