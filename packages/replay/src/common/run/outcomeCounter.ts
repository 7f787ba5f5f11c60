/**
 * Counts the outcomes of the requests, their placement on the first choice, and the prefix tokens that were
 * cached.
 */
import type { Job } from '../model/job.js';
import { DEFAULT_CACHE_TOKENS } from '../model/targetModel.js';
import { PrefixCacheModel } from '../model/prefixCacheModel.js';
import type { InstanceEvent, RequestEvent } from '../trace/traceEvent.js';
import type { CustomerReport } from './replayReport.js';

export class OutcomeCounter {
	public requests = 0;
	public completed = 0;
	public notRun = 0;
	public unknown = 0;
	public affinityRequests = 0;
	public firstChoiceRequests = 0;
	public promptTokens = 0;
	public cachedTokens = 0;
	public idealCachedTokens = 0;
	public readonly queueTimesMs: number[] = [];
	private readonly queueTimesByCustomer = new Map<string, number[]>();
	/**
	 * For each pool one cache with the total capacity of the engines that exist at the start; cache reuse is measured
	 * against it.
	 */
	private readonly idealCaches = new Map<string, PrefixCacheModel>();

	/**
	 * @param instances the targets that exist at the start
	 * @param measureFromMs cache reuse and first choices are counted for requests that arrive from this time on
	 */
	constructor(
		instances: readonly InstanceEvent[],
		private readonly measureFromMs: number,
	) {
		const capacities = new Map<string, number>();
		for (const { pool, cacheTokens } of instances) {
			capacities.set(pool, (capacities.get(pool) ?? 0) + (cacheTokens ?? DEFAULT_CACHE_TOKENS));
		}
		for (const [pool, tokens] of capacities) {
			this.idealCaches.set(pool, new PrefixCacheModel(tokens));
		}
	}

	/** Whether every request has an outcome. */
	public get isSettled(): boolean {
		return this.completed + this.notRun + this.unknown === this.requests;
	}

	public noteRequest({ t, chat, pool, promptTokens = 0 }: RequestEvent): void {
		this.requests += 1;
		if (chat === undefined || t < this.measureFromMs) {
			return;
		}
		this.promptTokens += promptTokens;
		this.idealCachedTokens += this.idealCaches.get(pool)?.countCachedTokens(chat, promptTokens) ?? 0;
	}

	/** Stores a chat's tokens in the ideal cache at the end of the response, as an engine does. */
	public storeInIdealCache({ chat, pool, promptTokens = 0, outputTokens = 0 }: RequestEvent): void {
		if (chat !== undefined) {
			this.idealCaches.get(pool)?.store(chat, promptTokens + outputTokens);
		}
	}

	public noteCompleted(job: Job): void {
		this.completed += 1;
		this.queueTimesMs.push(job.queuedMs);
		const { customer, chat } = job.request;
		const queueTimes = this.queueTimesByCustomer.get(customer);
		if (queueTimes === undefined) {
			this.queueTimesByCustomer.set(customer, [job.queuedMs]);
		} else {
			queueTimes.push(job.queuedMs);
		}
		if (chat !== undefined && job.request.t >= this.measureFromMs) {
			this.cachedTokens += job.cachedTokens;
			this.affinityRequests += 1;
			this.firstChoiceRequests += job.isFallbackPlacement ? 0 : 1;
		}
	}

	public listCustomers(): CustomerReport[] {
		return [...this.queueTimesByCustomer]
			.map(([customer, queueTimes]) => ({
				customer,
				requests: queueTimes.length,
				queueP99Ms: computePercentile(queueTimes, 0.99),
			}))
			.sort((a, b) => b.requests - a.requests);
	}
}

/** Returns the given quantile (0 to 1) of the values, or 0 if there are none. */
export function computePercentile(values: readonly number[], quantile: number): number {
	const sorted = Float64Array.from(values).sort();
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
