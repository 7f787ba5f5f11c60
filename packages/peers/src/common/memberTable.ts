/** Members known to this router, without itself, and the view and neighbours derived from them. */
import type { RouterView } from '@papayawell/core';
import type { LivenessTracker } from './livenessTracker.js';
import type { MemberRecord } from './memberRecord.js';
import { isPresent, toRouterState } from './memberRecord.js';
import { Overlay } from './overlay.js';
import type { SelfRecord } from './selfRecord.js';

export interface Member {
	record: MemberRecord;
	readonly liveness: LivenessTracker;
	/** When this router recorded the current status. */
	statusSinceMs: number;
}

export class MemberTable {
	private readonly members = new Map<string, Member>();
	private readonly overlay: Overlay;
	private neighbours: readonly string[] | undefined;
	private view: RouterView | undefined;

	constructor(private readonly self: SelfRecord) {
		this.overlay = new Overlay(self.read().router.instance);
	}

	public get(instance: string): Member | undefined {
		return this.members.get(instance);
	}

	public read(): ReadonlyMap<string, Member> {
		return this.members;
	}

	public add(member: Member): void {
		this.members.set(member.record.router.instance, member);
		this.markChanged(true);
	}

	public remove(instance: string): void {
		this.members.delete(instance);
		this.markChanged(true);
	}

	/** Invalidates the view after a record changed and, with `isPresenceChanged`, the neighbours too. */
	public markChanged(isPresenceChanged: boolean): void {
		this.view = undefined;
		if (isPresenceChanged) {
			this.neighbours = undefined;
		}
	}

	/** Records of self and of all members, dead ones included. */
	public readRecords(): readonly MemberRecord[] {
		return [this.self.read(), ...[...this.members.values()].map((member) => member.record)];
	}

	public readRecord(instance: string): MemberRecord | undefined {
		const own = this.self.read();
		return instance === own.router.instance ? own : this.members.get(instance)?.record;
	}

	/** All known routers, self included, sorted by name. Returns the same array until a record changes. */
	public readView(): RouterView {
		this.view ??= this.readRecords()
			.map((record) => ({ router: record.router, state: toRouterState(record.status) }))
			.sort((a, b) => (a.router.instance < b.router.instance ? -1 : 1));
		return this.view;
	}

	/** Instances to which this router keeps streams. Returns the same array until presence changes. */
	public readNeighbours(): readonly string[] {
		this.neighbours ??= this.overlay.chooseNeighbours(this.listPresent());
		return this.neighbours;
	}

	/** Number of routers that are neither dead nor left, self included. */
	public countPresent(): number {
		return this.listPresent().length + 1;
	}

	private listPresent(): string[] {
		const present: string[] = [];
		for (const [instance, member] of this.members) {
			if (isPresent(member.record.status)) {
				present.push(instance);
			}
		}
		return present;
	}
}
