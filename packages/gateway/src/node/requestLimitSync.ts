/** Keeps the limits that targets name in force in the whole fleet: gossips them and divides them among the instances. */
import type { EventLog } from '../common/eventLog.js';
import type { LimitUsers } from '../common/instanceRoster.js';
import type { TargetLimitReport } from '../common/peerState.js';
import type { LimitUser } from '../common/requestLimitShare.js';
import { computeLimitShare, createLimitUser } from '../common/requestLimitShare.js';
import type { TargetState } from '../common/targetState.js';
import { parseStatedRate } from '../common/statedRate.js';
import type { TargetTable } from '../common/targetTable.js';

/** How long peers are told what this instance heard from a target: a few rounds of gossip in a large fleet. */
const GOSSIP_MS = 10_000;

export interface RequestLimitSyncParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	readonly ownName: string;
	readonly findUsers: () => LimitUsers;
}

export class RequestLimitSync {
	private readonly self: LimitUser;
	private others: readonly LimitUser[] = [];
	private hearsMajority = false;

	constructor(private readonly parts: RequestLimitSyncParts) {
		this.self = createLimitUser(parts.ownName);
	}

	/** Called periodically: divides the limits anew if the instances that share them have changed. */
	public tick(nowMs: number): void {
		const { others, hearsMajority } = this.parts.findUsers();
		if (
			hearsMajority === this.hearsMajority &&
			others.length === this.others.length &&
			others.every((name, index) => name === this.others[index]?.name)
		) {
			return;
		}
		this.others = others.map(createLimitUser);
		this.hearsMajority = hearsMajority;
		for (const target of this.parts.targets.all) {
			this.updateShare(target, nowMs);
		}
	}

	/** Records what a target says in a response. */
	public recordStatement(target: TargetState, text: string | undefined, nowMs: number): void {
		const statement = parseStatedRate(text);
		switch (statement.kind) {
			case 'invalid':
				if (target.requestLimit.hasInvalidStatement) {
					return;
				}
				target.requestLimit.hasInvalidStatement = true;
				this.parts.log.write('decision', 'targetLimit', { target: target.record.id, ...statement });
				return;
			case 'none':
				this.record(target, undefined, nowMs, true);
				return;
			case 'rate':
				this.record(target, statement.requestsPerSecond, nowMs, true);
				return;
		}
	}

	/** Lists what this instance heard from targets itself and recently. */
	public listReports(nowMs: number): readonly TargetLimitReport[] {
		const reports: TargetLimitReport[] = [];
		for (const { record, requestLimit } of this.parts.targets.all) {
			const { latest } = requestLimit;
			if (latest?.isOwn === true && nowMs - latest.observedAtMs <= GOSSIP_MS) {
				const ageMs = Math.round(nowMs - latest.observedAtMs);
				reports.push([record.id, record.startedAtMs, latest.requestsPerSecond ?? null, ageMs]);
			}
		}
		return reports;
	}

	/** Adopts what a peer heard from targets. */
	public adopt(reports: readonly TargetLimitReport[], nowMs: number): void {
		for (const [id, startedAtMs, requestsPerSecond, ageMs] of reports) {
			const target = this.parts.targets.find(id);
			if (target?.record.startedAtMs === startedAtMs) {
				this.record(target, requestsPerSecond ?? undefined, nowMs - ageMs, false);
			}
		}
	}

	private record(
		target: TargetState,
		requestsPerSecond: number | undefined,
		observedAtMs: number,
		isOwn: boolean,
	): void {
		const { requestLimit, record } = target;
		if (requestsPerSecond === undefined && requestLimit.latest === undefined) {
			return;
		}
		if (requestLimit.record({ requestsPerSecond, observedAtMs, isOwn })) {
			this.updateShare(target, observedAtMs);
			this.parts.log.write('decision', 'targetLimit', {
				target: record.id,
				kind: requestsPerSecond === undefined ? 'none' : 'limit',
				requestsPerSecond,
				isOwn,
			});
		}
	}

	private updateShare({ nameHash, requestLimit }: TargetState, nowMs: number): void {
		const { requestsPerSecond } = requestLimit;
		if (requestsPerSecond !== undefined) {
			const { self, others, hearsMajority } = this;
			requestLimit.setShare(
				computeLimitShare(requestsPerSecond, nameHash, self, others, hearsMajority),
				nowMs,
			);
		}
	}
}
