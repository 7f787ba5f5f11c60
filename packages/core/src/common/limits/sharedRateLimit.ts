/**
 * A fleet-wide rate limit, enforced with a local token bucket on each router so that no request waits for a
 * call to another router. Most of the rate is divided in proportion to the demand that the routers report.
 * The rest is divided evenly, so that a router whose demand has just begun has an allowance too. The unit
 * is requests or tokens.
 */

import { DemandRate, computeDemandShare } from './demand.js';

/** Capacity of the bucket, as the time in which it fills, in ms. */
const BURST_DURATION_MS = 1_000;

export interface SharedRateLimitOptions {
	/** Units per second for the whole fleet. */
	readonly limit: number;
	/** This router's instance. */
	readonly self: string;
	/** Usage reports older than this are ignored, in ms. */
	readonly staleAfterMs: number;
}

interface UsageReport {
	readonly rate: number;
	readonly reportedAtMs: number;
}

export type TakeResult =
	{ readonly kind: 'taken' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

export class SharedRateLimit {
	private readonly reports = new Map<string, UsageReport>();
	private routerCount = 1;
	private readonly demand: DemandRate;
	/** Units in the bucket; undefined, which means full, until the first request. */
	private tokens: number | undefined;
	private refilledAtMs: number;

	constructor(
		private readonly options: SharedRateLimitOptions,
		nowMs: number,
	) {
		this.demand = new DemandRate(nowMs);
		this.refilledAtMs = nowMs;
	}

	/** Sets the number of routers that share the limit. */
	public setRouterCount(count: number): void {
		this.routerCount = Math.max(1, count);
	}

	/** Applies a report of another router's demand; older reports than the latest one are ignored. */
	public applyUsageReport(router: string, rate: number, reportedAtMs: number): void {
		const latest = this.reports.get(router);
		if (router !== this.options.self && (latest === undefined || reportedAtMs > latest.reportedAtMs)) {
			this.reports.set(router, { rate: Math.max(0, rate), reportedAtMs });
		}
	}

	/** Takes `amount` units, or returns the delay until enough units are available. */
	public take(amount: number, nowMs: number): TakeResult {
		this.demand.note(amount, nowMs);
		const rate = this.computeAllowance(nowMs);
		const tokens = this.refill(rate, nowMs);
		const needed = Math.min(amount, this.computeBurst(rate));
		if (tokens >= needed) {
			this.tokens = tokens - amount;
			return { kind: 'taken' };
		}
		return { kind: 'refused', retryAfterMs: Math.ceil(((needed - tokens) / rate) * 1_000) };
	}

	/**
	 * Corrects the estimate of an earlier `take`: positive for units used in excess of it, negative for
	 * unused ones.
	 */
	public reconcile(difference: number): void {
		this.tokens = (this.tokens ?? 0) - difference;
	}

	/** Returns the demand at this router, refused requests included, to be reported to the others. */
	public readDemand(nowMs: number): number {
		return this.demand.read(nowMs);
	}

	/** Returns the units per second that this router may grant now. */
	public computeAllowance(nowMs: number): number {
		const otherDemand = this.sumOtherDemand(nowMs);
		return this.options.limit * computeDemandShare(this.readDemand(nowMs), otherDemand, this.routerCount);
	}

	private sumOtherDemand(nowMs: number): number {
		let totalDemand = 0;
		for (const [router, report] of this.reports) {
			if (nowMs - report.reportedAtMs > this.options.staleAfterMs) {
				this.reports.delete(router);
				continue;
			}
			totalDemand += report.rate;
		}
		return totalDemand;
	}

	private computeBurst(rate: number): number {
		return Math.max(1, (rate * BURST_DURATION_MS) / 1_000);
	}

	private refill(rate: number, nowMs: number): number {
		const burst = this.computeBurst(rate);
		const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
		this.refilledAtMs = Math.max(nowMs, this.refilledAtMs);
		const refilled = Math.min(burst, (this.tokens ?? burst) + (rate * elapsedMs) / 1_000);
		this.tokens = refilled;
		return refilled;
	}
}
