/** Keeps the loads that targets report, and gossips those of this instance that are newer than what peers sent. */
import type { EventLog } from '../common/eventLog.js';
import { decodeLoadReports, encodeLoadReports } from '../common/loadReportCodec.js';
import type { PeerState } from '../common/peerState.js';
import { SLOWDOWN_VALID_MS } from '../common/targetLoadEstimate.js';
import type { LoadReport } from '../common/targetLoadEstimate.js';
import { parseStatedLoad } from '../common/targetLoadReport.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';
import type { TargetView } from '../common/targetView.js';

export interface LoadReportSyncParts {
	readonly targets: TargetTable;
	readonly view: Pick<TargetView, 'digest' | 'list'>;
	readonly log: EventLog;
	/** Returns the time between two states that a peer gets from this instance, in ms. */
	readonly computePeerInterval: () => number;
}

export class LoadReportSync {
	private sortedIds: readonly string[] = [];
	private sortedDigest: number | undefined;

	constructor(private readonly parts: LoadReportSyncParts) {}

	/**
	 * Records what a target reports in a response.
	 * @param isCounted whether the request is still on the target, so that the report counts it
	 */
	public recordStatement(
		target: TargetState,
		text: string | undefined,
		isCounted: boolean,
		nowMs: number,
	): void {
		const { record, statedLoad } = target;
		const stated = parseStatedLoad(text, record.slots);
		switch (stated.kind) {
			case 'none':
				return;
			case 'invalid':
				if (!statedLoad.hasInvalidReport) {
					statedLoad.hasInvalidReport = true;
					this.parts.log.write('decision', 'targetLoad', { target: record.id, ...stated });
				}
				return;
			case 'load': {
				// The request ends right after this, and is taken from the load then.
				const endedRequests = isCounted ? 0 : 1;
				const requests = stated.requests + endedRequests;
				const { slowdown } = stated;
				this.record(target, { requests, slowdown, reportedAtMs: nowMs, isOwn: true, endedRequests });
				return;
			}
		}
	}

	/**
	 * Lists the reports that peers may not have: those that this instance has from the targets themselves, are not too old
	 * to tell anything, and have not yet been in a message to each peer. Undefined if there are none.
	 */
	public listReports(nowMs: number): readonly number[] | undefined {
		const peerIntervalMs = this.parts.computePeerInterval();
		const loads = [];
		for (const { record, statedLoad } of this.parts.targets.all) {
			const { report, service } = statedLoad;
			if (report?.slowdown === undefined || !report.isOwn) {
				continue;
			}
			const ageMs = nowMs - report.reportedAtMs;
			if (ageMs <= Math.min(peerIntervalMs, Math.max(SLOWDOWN_VALID_MS, service.residenceMs))) {
				// Peers learn of the end of the request in no other way.
				const requests = report.requests - (report.endedRequests ?? 0);
				loads.push({ id: record.id, requests, slowdown: report.slowdown, ageMs });
			}
		}
		const numbers = encodeLoadReports(loads, this.listSortedIds());
		return numbers.length === 0 ? undefined : numbers;
	}

	/** Adopts the reports of a peer, if its list of targets is equal to this instance's. */
	public adopt({ targetsDigest, targetReports }: PeerState, nowMs: number): void {
		if (targetReports === undefined || targetsDigest !== this.parts.view.digest) {
			return;
		}
		for (const { id, requests, slowdown, ageMs } of decodeLoadReports(targetReports, this.listSortedIds())) {
			const target = this.parts.targets.find(id);
			if (target !== undefined) {
				const reportedAtMs = nowMs - ageMs;
				this.record(target, { requests, slowdown, reportedAtMs, isOwn: false });
			}
		}
	}

	private record({ ownRequests, record, statedLoad }: TargetState, report: LoadReport): void {
		const wasInUse = statedLoad.isInUse;
		statedLoad.record(report, ownRequests);
		if (statedLoad.isInUse && !wasInUse) {
			this.parts.log.write('state', 'loadReportsInUse', { service: record.service, target: record.id });
		}
	}

	private listSortedIds(): readonly string[] {
		const { digest, list } = this.parts.view;
		if (this.sortedDigest !== digest) {
			this.sortedDigest = digest;
			this.sortedIds = (list?.targets ?? []).map(({ id }) => id).sort();
		}
		return this.sortedIds;
	}
}
