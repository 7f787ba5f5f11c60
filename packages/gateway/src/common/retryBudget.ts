/**
 * Limits the retries of one service over a sliding window. All instances of the fleet share the budget: each
 * uses what its own requests earn, and an equal part of the fixed slack.
 */

export interface RetryBudgetSettings {
	/** Retries that each request earns. */
	readonly ratio: number;
	readonly windowMs: number;
	/** Retries that the whole fleet may make per window, regardless of the number of requests. */
	readonly slack: number;
}

/** Share of the budget that is used; the margin is there because each instance counts its window separately. */
const SAFETY_SHARE = 0.75;
const BUCKETS_PER_WINDOW = 10;

export interface RetryBudgetUse {
	readonly retries: number;
	readonly requests: number;
}

interface Bucket {
	requests: number;
	retries: number;
}

export class RetryBudget {
	private readonly buckets: Bucket[] = [];
	private newestBucket = 0;

	constructor(private readonly settings: RetryBudgetSettings) {}

	public recordRequest(nowMs: number): void {
		this.getBucket(nowMs).requests += 1;
	}

	/** Acquires one retry; returns false if the budget of the window is exhausted. */
	public tryAcquire(nowMs: number, instances: number): boolean {
		const bucket = this.getBucket(nowMs);
		let requests = 0;
		let retries = 0;
		for (const { requests: bucketRequests, retries: bucketRetries } of this.buckets) {
			requests += bucketRequests;
			retries += bucketRetries;
		}
		const { ratio, slack } = this.settings;
		const allowance = SAFETY_SHARE * (ratio * requests + slack / Math.max(1, instances));
		if (retries + 1 > allowance) {
			return false;
		}
		bucket.retries += 1;
		return true;
	}

	/** Returns what was used and counted in the window that ends now. */
	public describeUse(nowMs: number): RetryBudgetUse {
		this.getBucket(nowMs);
		return {
			requests: this.buckets.reduce((sum, { requests }) => sum + requests, 0),
			retries: this.buckets.reduce((sum, { retries }) => sum + retries, 0),
		};
	}

	private getBucket(nowMs: number): Bucket {
		const number = Math.floor((nowMs * BUCKETS_PER_WINDOW) / this.settings.windowMs);
		const skipped = Math.min(BUCKETS_PER_WINDOW, number - this.newestBucket);
		for (let step = 0; step < skipped; step++) {
			this.buckets.push({ requests: 0, retries: 0 });
		}
		this.newestBucket = Math.max(this.newestBucket, number);
		this.buckets.splice(0, Math.max(0, this.buckets.length - BUCKETS_PER_WINDOW));
		const last = this.buckets.at(-1) ?? { requests: 0, retries: 0 };
		if (this.buckets.length === 0) {
			this.buckets.push(last);
		}
		return last;
	}
}
