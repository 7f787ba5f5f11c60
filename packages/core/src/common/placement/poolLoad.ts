/** Load of a pool as estimated by one router: total, mean and an estimate for each target. */
import type { LoadReport, PlacementTarget } from './placement.js';
import { isPlausibleReport } from './placement.js';
import type { PlacementPolicy } from './policy.js';
import { TargetLoad } from './targetLoad.js';

/** Weight of a new sample in the exponentially weighted moving average of the request duration. */
const DURATION_SMOOTHING = 0.02;
/** Weight of a new sample in the exponentially weighted moving average of the report interval. */
const INTERVAL_SMOOTHING = 0.02;

export interface LoadEstimate {
	readonly requests: number;
	/** No report, or a stale one: the figure is a conservative estimate. */
	readonly isStale: boolean;
}

export class PoolLoad {
	private targets = new Map<string, TargetLoad>();
	private acceptingInstances = new Set<string>();
	private capacity = 0;
	private totalReportedRequests = 0;
	private totalReportedCapacity = 0;
	private localInFlight = 0;
	/** Smoothed time that a request spends on a target, in ms. */
	private smoothedDurationMs = 0;
	/** Smoothed interval between two reports of one target, in ms. */
	private reportIntervalMs = 0;
	private readonly staleAfterMs: number;
	private readonly staleAfterIntervals: number;

	constructor(policy: PlacementPolicy) {
		this.staleAfterMs = policy.kind === 'hash' ? Infinity : policy.staleAfterMs;
		this.staleAfterIntervals = policy.kind === 'hash' ? 0 : policy.staleAfterIntervals;
	}

	/** Estimated requests in the pool. A target without a report is assumed to carry the mean of the others. */
	public get total(): number {
		const extrapolated =
			this.totalReportedCapacity > 0
				? (this.totalReportedRequests * this.capacity) / this.totalReportedCapacity
				: 0;
		return Math.max(extrapolated, this.localInFlight);
	}

	/** This router's in-flight requests in the whole pool. */
	public get totalInFlight(): number {
		return this.localInFlight;
	}

	/** Smoothed time that a request spends on a target, in ms; 0 before the first request has ended. */
	public get durationMs(): number {
		return this.smoothedDurationMs;
	}

	public setTargets(targets: readonly PlacementTarget[]): void {
		const previous = this.targets;
		this.targets = new Map();
		this.acceptingInstances = new Set();
		for (const target of targets) {
			const load = adoptLoad(target, previous.get(target.instance));
			this.targets.set(target.instance, load);
			if (target.acceptsNew && target.weight > 0) {
				this.acceptingInstances.add(target.instance);
			}
		}
		this.updateTotals();
	}

	public clearOwners(): void {
		for (const target of this.targets.values()) {
			target.owner = undefined;
		}
	}

	public find(instance: string): TargetLoad | undefined {
		return this.targets.get(instance);
	}

	/** Finds a target if it accepts new requests. */
	public findAccepting(instance: string): TargetLoad | undefined {
		return this.acceptingInstances.has(instance) ? this.targets.get(instance) : undefined;
	}

	public hasCandidate(excluded: ReadonlySet<string>): boolean {
		return [...this.acceptingInstances].some((instance) => !excluded.has(instance));
	}

	/** Returns the target's share of the pool's capacity, in (0, 1]. */
	public computeCapacityShare(target: TargetLoad): number {
		return this.capacity === 0 ? 1 : target.capacity / this.capacity;
	}

	/** Records that this router sent (+1) or finished (-1) a request on a target. */
	public noteChange(instance: string, change: number, nowMs: number): void {
		const target = this.targets.get(instance);
		if (target === undefined) {
			return;
		}
		const before = target.inFlight;
		target.noteChange(change, nowMs);
		this.localInFlight += target.inFlight - before;
	}

	public noteDuration(durationMs: number): void {
		const previous = this.smoothedDurationMs;
		this.smoothedDurationMs =
			previous === 0 ? durationMs : previous + DURATION_SMOOTHING * (durationMs - previous);
	}

	public noteReport(report: LoadReport): void {
		if (!isPlausibleReport(report)) {
			return;
		}
		const target = this.targets.get(report.instance);
		const before = target?.reportedRequests;
		const intervalMs = report.versionMs - (target?.reportedAtMs ?? -Infinity);
		if (target?.noteReport(report.requests, report.versionMs) !== true) {
			return;
		}
		if (Number.isFinite(intervalMs)) {
			this.reportIntervalMs += INTERVAL_SMOOTHING * (intervalMs - this.reportIntervalMs);
		}
		this.totalReportedRequests += report.requests - (before ?? 0);
		this.totalReportedCapacity += before === undefined ? target.capacity : 0;
	}

	public isStale(target: TargetLoad, nowMs: number): boolean {
		const staleAfterMs = Math.max(this.staleAfterMs, this.staleAfterIntervals * this.reportIntervalMs);
		return target.reportedRequests === undefined || nowMs - target.reportedAtMs > staleAfterMs;
	}

	/** Estimates a target's load. A stale report is raised to the mean, so silence never counts as idle. */
	public estimate(target: TargetLoad, nowMs: number): LoadEstimate {
		const localChange = target.changeSinceReport;
		const reported = target.reportedRequests ?? 0;
		if (!this.isStale(target, nowMs)) {
			return { requests: Math.max(reported + localChange, target.inFlight), isStale: false };
		}
		const mean = this.total * this.computeCapacityShare(target);
		return { requests: Math.max(Math.max(reported, mean) + localChange, target.inFlight), isStale: true };
	}

	/**
	 * Returns the standard deviation of the change that other senders caused since the report: arrivals and
	 * departures at the target's own rate, over the age of the report.
	 */
	public computeDeviation(target: TargetLoad, nowMs: number): number {
		const requests = Math.max(
			target.reportedRequests ?? 0,
			this.total * this.computeCapacityShare(target),
			1,
		);
		const ageMs = Math.max(0, nowMs - target.reportedAtMs);
		const turnover = this.durationMs === 0 ? 1 : Math.min(1, (2 * ageMs) / this.durationMs);
		return Math.sqrt(requests * turnover);
	}

	private updateTotals(): void {
		this.capacity = 0;
		this.totalReportedRequests = 0;
		this.totalReportedCapacity = 0;
		this.localInFlight = 0;
		for (const target of this.targets.values()) {
			this.capacity += target.capacity;
			this.localInFlight += target.inFlight;
			if (target.reportedRequests !== undefined) {
				this.totalReportedRequests += target.reportedRequests;
				this.totalReportedCapacity += target.capacity;
			}
		}
	}
}

/** Keeps the recorded load of a known target; one with a changed capacity or zone starts without any. */
function adoptLoad(target: PlacementTarget, existing: TargetLoad | undefined): TargetLoad {
	if (existing?.capacity === target.capacity && existing.zone === target.zone) {
		return existing;
	}
	return new TargetLoad(target.instance, target.zone, target.capacity);
}
