/**
 * Failure detection and membership of routers, after SWIM. Each router monitors its neighbours in the overlay,
 * probes an unresponsive one directly and then through others, and disseminates a suspicion, which the suspect
 * may refute before it is declared dead. Performs no I/O: takes the time as a parameter and returns actions.
 */
import type { ListedRouter, RouterInstance, RouterView } from '@papayawell/core';
import { ListedRouters } from './listedRouters.js';
import { LivenessTracker } from './livenessTracker.js';
import { MemberStatus } from './memberStatus.js';
import type { MemberRecord } from './memberRecord.js';
import { isPresent, mergeClaim } from './memberRecord.js';
import type { Member } from './memberTable.js';
import { MemberTable } from './memberTable.js';
import type { MembershipTiming } from './membershipTiming.js';
import { computeSuspicionTimeoutMs } from './membershipTiming.js';
import { Prober } from './prober.js';
import type { Probe } from './probes.js';
import { RandomChoice } from './randomChoice.js';
import { SelfRecord } from './selfRecord.js';
import { DialScheduler } from './dialScheduler.js';

export type MembershipAction =
	| { readonly kind: 'probe'; readonly to: string; readonly probe: Probe }
	/** No frame was sent to this neighbour within the heartbeat interval. */
	| { readonly kind: 'heartbeat'; readonly to: string }
	/** The record is new or changed and is to be sent to all neighbours. */
	| { readonly kind: 'disseminate'; readonly record: MemberRecord }
	/** A stream to this router should be opened: it is listed but not a member, or a dead member. */
	| { readonly kind: 'dial'; readonly router: RouterInstance };

export interface MembershipOptions {
	readonly self: RouterInstance;
	readonly seed: number;
	readonly timing: MembershipTiming;
}

export class Membership {
	private readonly table: MemberTable;
	private readonly random: RandomChoice;
	private readonly listed = new ListedRouters();
	private readonly dialScheduler: DialScheduler;
	private readonly self: SelfRecord;
	private readonly prober: Prober;
	private readonly timing: MembershipTiming;
	private actions: MembershipAction[] = [];
	/** Neighbours monitored in the last tick. */
	private monitoredNeighbours: readonly string[] = [];
	private lastTickMs: number | undefined;

	constructor(private readonly options: MembershipOptions) {
		this.timing = options.timing;
		this.random = new RandomChoice(options.seed);
		this.self = new SelfRecord(options.self);
		this.table = new MemberTable(this.self);
		this.prober = this.createProber();
		this.dialScheduler = new DialScheduler(options.self.instance, this.timing, this.random);
	}

	/** Returns and clears the actions that became due since the last call. */
	public takeActions(): readonly MembershipAction[] {
		const actions = this.actions;
		this.actions = [];
		return actions;
	}

	/** All known routers, self included, sorted by name. Returns the same array until a record changes. */
	public readView(): RouterView {
		return this.table.readView();
	}

	/** Records of self and of all members, dead ones included. */
	public readRecords(): readonly MemberRecord[] {
		return this.table.readRecords();
	}

	public readSelf(): MemberRecord {
		return this.self.read();
	}

	public readRecord(instance: string): MemberRecord | undefined {
		return this.table.readRecord(instance);
	}

	/** Instances to which this router keeps streams. */
	public readNeighbours(): readonly string[] {
		return this.table.readNeighbours();
	}

	public isNeighbour(instance: string): boolean {
		return this.readNeighbours().includes(instance);
	}

	/** Number of routers that are neither dead nor left, self included. */
	public countPresent(): number {
		return this.table.countPresent();
	}

	/**
	 * Sets the response of the instance list. The list adds routers to dial and allows dead members to be
	 * removed; it never removes a live member, so a list that shrinks or fails does no harm.
	 */
	public setListedRouters(routers: readonly ListedRouter[]): void {
		this.listed.set(routers);
	}

	/** Records that a frame from `instance` arrived. */
	public markReceived(instance: string, nowMs: number): void {
		this.table.get(instance)?.liveness.markReceived(nowMs);
	}

	/** Records that a frame was sent to `instance`. */
	public markSent(instance: string, nowMs: number): void {
		this.table.get(instance)?.liveness.markSent(nowMs);
	}

	/** Records that the stream to `instance` broke, so that it is probed at the next tick. */
	public markDisconnected(instance: string, nowMs: number): void {
		this.table.get(instance)?.liveness.markDisconnected(nowMs);
	}

	/** Merges a record received from another router. */
	public receiveRecord(record: MemberRecord, nowMs: number): void {
		if (record.router.instance === this.options.self.instance) {
			if (this.self.receiveClaim(record)) {
				this.actions.push({ kind: 'disseminate', record: this.self.read() });
			}
			return;
		}
		const member = this.table.get(record.router.instance);
		if (member === undefined) {
			this.addMember(record, nowMs);
			return;
		}
		this.updateMember(member, record, nowMs);
	}

	public receiveProbe(from: string, probe: Probe, nowMs: number): void {
		this.prober.receive(from, probe, nowMs);
	}

	/** Announces that this router accepts no new callers. */
	public announceDraining(): void {
		this.updateSelf(MemberStatus.Draining);
	}

	/** Announces that this router is shutting down. */
	public announceLeft(): void {
		this.updateSelf(MemberStatus.Left);
	}

	/** Runs the checks that are due at `nowMs`. Must be called several times a second. */
	public tick(nowMs: number): void {
		this.handlePause(nowMs);
		this.updateMonitoredNeighbours(nowMs);
		for (const instance of this.monitoredNeighbours) {
			const member = this.table.get(instance);
			if (member !== undefined) {
				this.checkNeighbour(member, nowMs);
			}
		}
		for (const member of [...this.table.read().values()]) {
			this.expireMember(member, nowMs);
		}
		for (const router of this.dialScheduler.pickRoutersToDial(nowMs, this.listed, this.table.read())) {
			this.actions.push({ kind: 'dial', router });
		}
		this.prober.prune(nowMs);
	}

	private createProber(): Prober {
		return new Prober({
			indirectProbeCount: this.timing.indirectProbeCount,
			random: this.random,
			send: (to, probe) => {
				this.actions.push({ kind: 'probe', to, probe });
			},
			onDidReceiveAck: (instance, nowMs) => {
				this.markReceived(instance, nowMs);
			},
		});
	}

	/**
	 * Resets the timers after a pause of this process, which received no frames and must not suspect its
	 * neighbours.
	 */
	private handlePause(nowMs: number): void {
		const last = this.lastTickMs;
		this.lastTickMs = nowMs;
		if (last === undefined || nowMs - last < this.timing.pauseThresholdMs) {
			return;
		}
		for (const member of this.table.read().values()) {
			member.liveness.markReceived(nowMs);
			member.statusSinceMs += nowMs - last;
		}
	}

	/**
	 * Starts the liveness time-out of new neighbours, which had no reason to send frames to this router before.
	 */
	private updateMonitoredNeighbours(nowMs: number): void {
		const neighbours = this.readNeighbours();
		if (neighbours === this.monitoredNeighbours) {
			return;
		}
		for (const instance of neighbours) {
			if (!this.monitoredNeighbours.includes(instance)) {
				this.markReceived(instance, nowMs);
			}
		}
		this.monitoredNeighbours = neighbours;
	}

	private checkNeighbour(member: Member, nowMs: number): void {
		const { instance } = member.record.router;
		if (member.liveness.isHeartbeatDue(nowMs)) {
			member.liveness.markSent(nowMs);
			this.actions.push({ kind: 'heartbeat', to: instance });
		}
		switch (member.liveness.advanceProbe(nowMs)) {
			case 'none':
				return;
			case 'ping':
				this.prober.probe(instance);
				return;
			case 'indirectPing':
				this.prober.probeIndirectly(instance, this.monitoredNeighbours);
				return;
			case 'suspect':
				this.updateMember(member, { ...member.record, status: MemberStatus.Suspect }, nowMs);
				return;
		}
	}

	private expireMember(member: Member, nowMs: number): void {
		const elapsedMs = nowMs - member.statusSinceMs;
		const { router, status } = member.record;
		if (status === MemberStatus.Suspect && elapsedMs >= this.computeSuspicionTimeoutMs(router.instance)) {
			this.updateMember(member, { ...member.record, status: MemberStatus.Dead }, nowMs);
			return;
		}
		if (
			!isPresent(status) &&
			elapsedMs >= this.timing.deadMemberRetentionMs &&
			!this.listed.hasIncarnation(router)
		) {
			this.table.remove(router.instance);
		}
	}

	/** Halves the suspicion time-out for a suspect that the instance list reports as leaving. */
	private computeSuspicionTimeoutMs(instance: string): number {
		const suspicionTimeoutMs = computeSuspicionTimeoutMs(this.timing, this.countPresent());
		return this.listed.isLeaving(instance) ? suspicionTimeoutMs / 2 : suspicionTimeoutMs;
	}

	private addMember(record: MemberRecord, nowMs: number): void {
		if (!isPresent(record.status)) {
			return;
		}
		this.table.add({
			record,
			liveness: new LivenessTracker(this.timing, nowMs),
			statusSinceMs: nowMs,
		});
		this.actions.push({ kind: 'disseminate', record });
	}

	private updateMember(member: Member, claim: MemberRecord, nowMs: number): void {
		const record = mergeClaim(member.record, claim);
		if (record === undefined) {
			return;
		}
		const wasPresent = isPresent(member.record.status);
		if (isPresent(record.status) && !wasPresent) {
			member.liveness.markReceived(nowMs);
		}
		member.record = record;
		member.statusSinceMs = nowMs;
		this.table.markChanged(isPresent(record.status) !== wasPresent);
		this.actions.push({ kind: 'disseminate', record });
	}

	private updateSelf(status: MemberStatus): void {
		this.self.setStatus(status);
		this.table.markChanged(false);
		this.actions.push({ kind: 'disseminate', record: this.self.read() });
	}
}
