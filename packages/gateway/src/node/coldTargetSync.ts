/**
 * Finds out which targets are cold, or may be, tells the other instances, and divides among them what such a target can
 * handle.
 */
import type { ColdTargetBounds } from '../common/coldTargetShare.js';
import { computeColdBudget, computeColdShare, computeTrialDelay } from '../common/coldTargetShare.js';
import type { EventLog } from '../common/eventLog.js';
import type { ServiceDefinition } from '../common/gatewayConfiguration.js';
import type { InstanceRoster } from '../common/instanceRoster.js';
import type { ColdTargetMessage, UnreachableTargetMessage } from '../common/peerMessage.js';
import type { ColdTargetReport, PeerState } from '../common/peerState.js';
import { ColdnessSource } from '../common/peerState.js';
import type { LimitUser } from '../common/requestLimitShare.js';
import { createLimitUser } from '../common/requestLimitShare.js';
import { parseColdTime } from '../common/statedRate.js';
import type { TargetColdness } from '../common/targetColdness.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';
import type { ListedColdness, TargetListChange } from '../common/targetView.js';

export interface ColdTargetSyncParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	readonly ownName: string;
	/** Undefined if the deployment sets none; then no target is treated as cold. */
	readonly bounds: ColdTargetBounds | undefined;
	/** Whether the whole fleet starts for the first time: targets that are listed then run already. */
	readonly isFirstStart: boolean;
	readonly getService: (service: string) => ServiceDefinition | undefined;
	/** The instances among which the rates of cold targets are divided. */
	readonly roster: Pick<InstanceRoster, 'isMember' | 'others' | 'revision' | 'unknownInstances'>;
	/** Sends a message to all other instances. */
	readonly broadcast: (message: ColdTargetMessage | UnreachableTargetMessage) => void;
	readonly readTargetsDigest: () => number;
	readonly onDidTurnCold: () => void;
}

export class ColdTargetSync {
	private readonly self: LimitUser;
	/** Targets of which it was decided whether they may be cold when they were first listed. */
	private readonly assessed = new WeakSet<TargetState>();
	/** Unreachable targets of which the other instances were told. */
	private readonly announced = new WeakSet<TargetState>();
	/** Start, revision and remaining time of the entry that was applied last, by the target's id. */
	private readonly appliedEntries = new Map<string, string>();
	private firstListAtMs: number | undefined;
	/** Whether this instance knows of all targets whether they are cold, so that it can tell one that starts. */
	private isSettled: boolean;
	private roundRevision = -1;
	private coldCount = 0;

	constructor(private readonly parts: ColdTargetSyncParts) {
		this.self = createLimitUser(parts.ownName);
		this.isSettled = parts.isFirstStart;
	}

	/** Number of targets that are treated as cold. */
	public get coldTargets(): number {
		return this.coldCount;
	}

	/** Called periodically: divides what cold targets can handle anew, and logs which targets are cold. */
	public tick(nowMs: number): void {
		if (this.parts.bounds === undefined) {
			return;
		}
		const { revision } = this.parts.roster;
		if (revision !== this.roundRevision) {
			this.roundRevision = revision;
			this.updateShares();
		}
		this.announceUnreachable();
		this.logTransitions(nowMs);
	}

	/** Called when the configuration has changed. */
	public handleConfiguration(): void {
		this.updateShares();
	}

	/** Handles a change of the list: a target that is new in it may be cold. */
	public handleTargetChange(change: TargetListChange, nowMs: number): void {
		if (this.parts.bounds === undefined) {
			return;
		}
		const isFirstList = this.firstListAtMs === undefined;
		this.firstListAtMs ??= nowMs;
		for (const { id } of [...change.added, ...change.changed]) {
			const target = this.parts.targets.find(id);
			if (target !== undefined && !this.assessed.has(target)) {
				this.assessed.add(target);
				if (!isFirstList || !this.parts.isFirstStart) {
					target.coldness.recordAssumption('listed', nowMs);
					target.coldness.isFromFirstList = isFirstList;
				}
			}
		}
		for (const { id } of change.removed) {
			this.appliedEntries.delete(id);
		}
		this.updateShares();
	}

	/**
	 * Applies what the entries of targets state of the remaining time in which they are cold.
	 * @param ageMs time since the entries were read from the store, by this instance or by a peer
	 */
	public applyListed(entries: readonly ListedColdness[], nowMs: number, ageMs = 0): void {
		for (const { id, startedAtMs, leftMs, revision } of entries) {
			const target = this.parts.targets.find(id);
			const mark = `${startedAtMs}/${revision}/${leftMs}`;
			const known = this.appliedEntries.get(id);
			// An entry that was not written again since was counted down already.
			if (target?.record.startedAtMs !== startedAtMs || known === mark) {
				continue;
			}
			this.appliedEntries.set(id, mark);
			const wasCold = target.coldness.computeRemaining(nowMs) > 0;
			const remainingMs = Math.max(0, leftMs - ageMs);
			target.coldness.recordListed(remainingMs, nowMs);
			if (remainingMs > 0 && !wasCold) {
				this.announceCold(target, remainingMs);
			}
		}
	}

	/** Records that a target states, in a response, how long it stays cold. */
	public recordStatement(target: TargetState, text: string | undefined, nowMs: number): void {
		if (this.parts.bounds === undefined) {
			return;
		}
		const statement = parseColdTime(text);
		switch (statement.kind) {
			case 'none':
				return;
			case 'invalid':
				if (!target.coldness.hasInvalidStatement) {
					target.coldness.hasInvalidStatement = true;
					this.parts.log.write('decision', 'coldTarget', { target: target.record.id, ...statement });
				}
				return;
			case 'time': {
				// A target that is only assumed to be cold here may be taken for warm by the others.
				const wasStated = target.coldness.isKnownStatedCold(nowMs);
				target.coldness.recordStatement(statement.leftMs, nowMs);
				if (statement.leftMs > 0 && !wasStated) {
					this.announceCold(target, statement.leftMs);
				}
				return;
			}
		}
	}

	/** Lists the targets that are treated as cold; undefined while that is not known of all of them. */
	public listReports(nowMs: number): readonly ColdTargetReport[] | undefined {
		if (this.parts.bounds === undefined || !this.updateSettled(nowMs)) {
			return undefined;
		}
		const reports: ColdTargetReport[] = [];
		for (const { record, coldness } of this.parts.targets.all) {
			const remainingMs = Math.ceil(coldness.computeRemaining(nowMs));
			if (remainingMs > 0) {
				reports.push([record.id, record.startedAtMs, remainingMs, findSource(coldness, nowMs)]);
			}
		}
		return reports;
	}

	/** Adopts what a peer knows of cold targets. */
	public adoptPeerState(state: PeerState, nowMs: number): void {
		const { coldTargets, isServing, targetsDigest } = state;
		if (coldTargets === undefined || this.parts.bounds === undefined) {
			return;
		}
		const knowsSameList = isServing && targetsDigest === this.parts.readTargetsDigest();
		if (this.firstListAtMs !== undefined && knowsSameList && !this.updateSettled(nowMs)) {
			this.isSettled = true;
			this.settle(coldTargets, nowMs);
		}
		for (const report of coldTargets) {
			this.adopt(report, nowMs);
		}
	}

	/** Adopts that a target has just told another instance that it is cold. */
	public adoptMessage({ target, startedAtMs, leftMs }: ColdTargetMessage, nowMs: number): void {
		if (this.parts.bounds !== undefined) {
			this.adopt([target, startedAtMs, leftMs, ColdnessSource.Stated], nowMs);
		}
	}

	/** Adopts that another instance could open no connection to a target. */
	public adoptUnreachable(message: UnreachableTargetMessage, sender: string, nowMs: number): void {
		const target = this.parts.targets.find(message.target);
		if (target?.record.startedAtMs === message.startedAtMs) {
			target.coldness.adoptUnreachable(sender, nowMs);
		}
	}

	private adopt([id, startedAtMs, leftMs, source]: ColdTargetReport, nowMs: number): void {
		const target = this.parts.targets.find(id);
		if (target === undefined) {
			return;
		}
		// A later start than the one that is listed here runs at the same address already.
		if (startedAtMs > target.record.startedAtMs) {
			target.coldness.adopt(leftMs, nowMs, source === ColdnessSource.Stated);
			return;
		}
		if (startedAtMs < target.record.startedAtMs) {
			return;
		}
		switch (source) {
			case ColdnessSource.Assumed:
				return;
			case ColdnessSource.Stated:
				target.coldness.adopt(leftMs, nowMs, true);
				return;
			case ColdnessSource.Regained:
				target.coldness.adoptRegained(leftMs, nowMs);
				return;
		}
	}

	/** Takes over from a peer which of the targets of the first list are cold. */
	private settle(reports: readonly ColdTargetReport[], nowMs: number): void {
		const leftById = new Map(reports.map(([id, , leftMs]) => [id, leftMs]));
		for (const { record, coldness } of this.parts.targets.all) {
			if (coldness.isFromFirstList) {
				coldness.clearListedAssumption();
				coldness.adopt(leftById.get(record.id) ?? 0, nowMs, false);
			}
		}
	}

	private updateSettled(nowMs: number): boolean {
		if (!this.isSettled && this.firstListAtMs !== undefined) {
			const durations = [...this.parts.targets.all].map(
				({ coldness }) => coldness.definition?.durationMs ?? 0,
			);
			this.isSettled = nowMs - this.firstListAtMs > Math.max(0, ...durations);
		}
		return this.isSettled;
	}

	/** Tells all instances of a target that has turned cold, since gossip takes seconds to reach all of a large fleet. */
	private announceCold({ coldness, record }: TargetState, leftMs: number): void {
		if (coldness.definition !== undefined) {
			const { id, startedAtMs } = record;
			this.parts.broadcast({ kind: 'cold', target: id, startedAtMs, leftMs: Math.ceil(leftMs) });
		}
	}

	/** Tells all instances of targets that this one has found to be unreachable; they may come back cold. */
	private announceUnreachable(): void {
		for (const target of this.parts.targets.all) {
			const { coldness, record } = target;
			if (!coldness.isUnreachable) {
				this.announced.delete(target);
			} else if (coldness.definition !== undefined && !this.announced.has(target)) {
				this.announced.add(target);
				const { id, startedAtMs } = record;
				this.parts.broadcast({ kind: 'unreachable', target: id, startedAtMs });
			}
		}
	}

	private updateShares(): void {
		const { bounds, getService, targets } = this.parts;
		if (bounds === undefined) {
			return;
		}
		const { isMember, others, unknownInstances } = this.parts.roster;
		for (const { coldness, nameHash, record } of targets.all) {
			const coldStart = getService(record.service)?.coldStart;
			const budget = coldStart === undefined ? 0 : computeColdBudget(coldStart.requestsPerSecond, bounds);
			const share = isMember ? computeColdShare(budget, nameHash, this.self, others, unknownInstances) : 0;
			const trialDelayMs =
				share > 0 ? 0 : computeTrialDelay(budget, nameHash, this.self, others, unknownInstances);
			coldness.updateDefinition(coldStart, share, trialDelayMs);
		}
	}

	private logTransitions(nowMs: number): void {
		this.coldCount = 0;
		for (const { coldness, record } of this.parts.targets.all) {
			const remainingMs = coldness.computeRemaining(nowMs);
			const isCold = remainingMs > 0;
			this.coldCount += isCold ? 1 : 0;
			if (isCold === coldness.isLoggedCold) {
				continue;
			}
			coldness.isLoggedCold = isCold;
			this.parts.log.write('decision', 'coldTarget', {
				target: record.id,
				kind: isCold ? 'cold' : 'warm',
				isStated: isCold ? coldness.isStatedCold(nowMs) : undefined,
				remainingMs: isCold ? Math.round(remainingMs) : undefined,
				share: isCold ? coldness.share : undefined,
			});
			if (isCold) {
				this.parts.onDidTurnCold();
			}
		}
	}
}

function findSource(coldness: TargetColdness, nowMs: number): ColdnessSource {
	if (coldness.isStatedCold(nowMs)) {
		return ColdnessSource.Stated;
	}
	return coldness.isRegainedCold(nowMs) ? ColdnessSource.Regained : ColdnessSource.Assumed;
}
