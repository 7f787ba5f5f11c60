/**
 * Estimates the load of one target from its newest report. The requests of this instance that were sent and that ended
 * since then are known. Those of other senders end at the rate at which requests leave the target, and are replaced at
 * its usual rate, which is taken to be that of the service if the report is old.
 */
import { TargetLoad as ReportedLoad } from '@papayawell/core';
import { AverageLoad, ServiceLoad } from './serviceLoad.js';

/**
 * Time in which the speed of a machine that targets share changes. A slowdown counts less the older its report is, and
 * not at all after this time; a target that was avoided for it is then found again.
 */
export const SLOWDOWN_VALID_MS = 600;
/** Typical age of the loads that peers gossip: half of the interval between two messages of a peer at 77 instances without relays. */
const PEER_LOAD_AGE_MS = 600;
/** Time constant with which the usual load of a target turns into the mean of its service without a report. */
const USUAL_LOAD_MS = 1000;

export interface LoadEstimate {
	/** Requests on the target from all senders. */
	readonly requests: number;
	/** Standard deviation of `requests`. */
	readonly deviation: number;
	/** Factor by which the target is slower than usual. */
	readonly slowdown: number;
}

/** A load that a target reported, to this instance or to a peer. */
export interface LoadReport {
	/** Requests that run or wait on the target, of all senders. */
	readonly requests: number;
	readonly slowdown: number | undefined;
	readonly reportedAtMs: number;
	/** Whether this instance has it from the target itself. */
	readonly isOwn: boolean;
	/** Requests among them that have ended with the answer that brought the report. */
	readonly endedRequests?: number;
}

export class TargetLoadEstimate {
	/** Whether the target has stated a load that cannot be read, so that this is logged once. */
	public hasInvalidReport = false;
	public service = new ServiceLoad();
	public readonly average: AverageLoad;
	private newest: LoadReport | undefined;
	private readonly reported: ReportedLoad;
	/** Requests of other senders at the time of the newest report. */
	private otherRequests = 0;

	constructor(id: string, slots: number) {
		this.average = new AverageLoad(slots);
		this.reported = new ReportedLoad(id, '', slots);
		this.service.setMembers([this.average]);
	}

	/** The newest report; undefined before the first one. */
	public get report(): LoadReport | undefined {
		return this.newest;
	}

	/** Whether decisions use the estimate; if not, the load is the requests that the instances know to be in flight. */
	public get isInUse(): boolean {
		return this.service.isInUse;
	}

	/**
	 * Records a report, unless a later one is known. Returns whether it is the newest.
	 * @param ownRequests requests of this instance on the target now
	 */
	public record(report: LoadReport, ownRequests: number): boolean {
		const isNewest = this.reported.noteReport(report.requests, report.reportedAtMs);
		if (isNewest) {
			const ownThen = Math.max(0, ownRequests - this.reported.changeSinceReport);
			this.otherRequests = Math.max(0, report.requests - ownThen);
			this.average.record(this.otherRequests, report.reportedAtMs);
			this.newest = report;
			this.service.isInUse ||= report.slowdown !== undefined;
		}
		return isNewest;
	}

	/** Records that this instance sent a request (+1) or that one ended (-1). */
	public recordChange(change: number, nowMs: number): void {
		// Without reports nothing would ever remove what is recorded.
		if (this.newest !== undefined) {
			this.reported.noteChange(change, nowMs);
		}
	}

	/**
	 * @param ownRequests requests of this instance on the target
	 * @param peerRequests requests of the other instances on the target, as last gossiped
	 */
	public estimate(ownRequests: number, peerRequests: number, nowMs: number): LoadEstimate {
		if (!this.isInUse) {
			return { requests: ownRequests + peerRequests, deviation: 0, slowdown: 1 };
		}
		const usualRequests = this.estimateUsual(peerRequests, nowMs);
		const remainingShare = this.computeRemainingShare(nowMs);
		const arrived = (1 - remainingShare) * usualRequests;
		return {
			requests: ownRequests + remainingShare * this.otherRequests + arrived,
			deviation: Math.sqrt(this.otherRequests * remainingShare * (1 - remainingShare) + arrived),
			slowdown: this.estimateSlowdown(nowMs),
		};
	}

	/** Estimates by which factor work takes longer than usual. */
	public estimateSlowdown(nowMs: number): number {
		const { slowdown = 1, reportedAtMs } = this.newest ?? { reportedAtMs: nowMs };
		return 1 + (slowdown - 1) * Math.max(0, 1 - Math.max(0, nowMs - reportedAtMs) / SLOWDOWN_VALID_MS);
	}

	/** Returns the share of the requests in the report that are still on the target. */
	private computeRemainingShare(nowMs: number): number {
		if (this.newest === undefined) {
			return 0;
		}
		const { slowdown = 1, reportedAtMs } = this.newest;
		const residenceMs = this.service.residenceMs * Math.max(1, slowdown);
		return Math.exp(-Math.max(0, nowMs - reportedAtMs) / residenceMs);
	}

	/**
	 * Estimates the requests of other senders without a report. What peers gossiped counts as far as their requests last
	 * longer than the gossip takes.
	 */
	private estimateUsual(peerRequests: number, nowMs: number): number {
		const { hearsPeers, residenceMs } = this.service;
		const meanPerSlot = this.service.computeMeanPerSlot(nowMs);
		if (meanPerSlot === undefined) {
			return peerRequests;
		}
		const mean = meanPerSlot * this.average.slots;
		const ageMs = Math.max(0, nowMs - (this.newest?.reportedAtMs ?? -Infinity));
		const usual = mean + Math.exp(-ageMs / USUAL_LOAD_MS) * ((this.average.requests ?? mean) - mean);
		const peerShare = hearsPeers ? Math.exp(-PEER_LOAD_AGE_MS / residenceMs) : 0;
		return peerShare * peerRequests + (1 - peerShare) * usual;
	}
}
