/**
 * The current list of targets of this instance. Lists are read from the platform's store, by this instance
 * or by a peer; the newest position of the store wins. After an outage or a restore of the store, entries that are
 * missing are retained for a grace period, in which live targets register again. A target that announced that it
 * leaves stays leaving until it starts again, whatever a list shows.
 */
import type { TargetStart } from './targetStarts.js';
import { TargetStarts } from './targetStarts.js';
import type { StorePosition } from './storePosition.js';
import { comparePositions } from './storePosition.js';
import { computeDigest } from './targetListDigest.js';
import type { TargetRecord } from './targetRecord.js';
import { isSameRecord } from './targetRecord.js';

/** As the platform documents, live targets register again within about 2 s of the store's recovery. */
const REREGISTRATION_GRACE_MS = 2200;
/** Age of the list from which an outage of the store may have made entries expire; they last for over 3 s. */
const OUTAGE_LIST_AGE_MS = 2000;

/** Limit of the starts that an instance that starts is told; a copy of the store is only some seconds old. */
const MAX_GOSSIPED_STARTS = 60;

/** Where a list was obtained. */
export type ListSource = 'store' | 'peer';

/** A list of targets, with the position of the store at which it was read. */
export interface ListedTargets extends StorePosition {
	readonly targets: readonly TargetRecord[];
	/**
	 * What entries state of the time for which targets stay cold; only in a list that is read from the store. It is not
	 * part of the records, since it counts down and equal lists must have equal digests.
	 */
	readonly coldness?: readonly ListedColdness[];
}

/** For how long a target stays cold, as its entry states it. */
export interface ListedColdness {
	readonly id: string;
	readonly startedAtMs: number;
	/** In ms from the time at which the store was read. */
	readonly leftMs: number;
	/** Revision of the store at which the entry was written. */
	readonly revision: number;
}

export interface TargetListChange {
	readonly added: readonly TargetRecord[];
	readonly changed: readonly TargetRecord[];
	readonly removed: readonly TargetRecord[];
}

const NO_CHANGE: TargetListChange = { added: [], changed: [], removed: [] };

export class TargetView {
	/** Targets as listed, or as last listed if they are retained. */
	private listedTargets: ReadonlyMap<string, TargetRecord> = new Map();
	/** The same targets with what this instance knows beyond the list. */
	private targets: ReadonlyMap<string, TargetRecord> = new Map();
	private newestList: ListedTargets | undefined;
	private newestDigest = 0;
	/** Starts that have announced that they leave. */
	private readonly leavingTargets = new TargetStarts();
	/** Starts whose entry was removed. */
	private readonly removedTargets = new TargetStarts();
	/** Until then a removed target that is listed again gets no work, because its entry may be that of an old copy. */
	private holdUntilMs = -Infinity;
	private hasHeldTargets = false;
	/** Ids of retained targets that are missing from the newest list, with the end of their grace period. */
	private readonly missingUntilMs = new Map<string, number>();
	private confirmedAtMs = -Infinity;
	/** When the store last failed to answer a read of this instance. */
	private failedReadAtMs = -Infinity;
	private graceUntilMs = -Infinity;

	/** The newest list as it was read, without what this instance knows beyond it; undefined before the first one. */
	public get list(): ListedTargets | undefined {
		return this.newestList;
	}

	/** Digest of the newest list, so that peers with an equal list need no transfer; 0 before the first one. */
	public get digest(): number {
		return this.newestDigest;
	}

	public get records(): readonly TargetRecord[] {
		return [...this.targets.values()];
	}

	/** Returns the time since the store confirmed the list to this instance or a peer, in ms. */
	public computeAge(nowMs: number): number {
		return nowMs - this.confirmedAtMs;
	}

	/** Records that the store confirmed the same list to a peer at `atMs`. */
	public recordConfirmation(atMs: number): void {
		this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
	}

	/** Records that the store did not answer a read of this instance. */
	public recordFailedRead(atMs: number): void {
		this.failedReadAtMs = atMs;
	}

	/** Applies a list that was read at `atMs`. A list older than the newest one is ignored. */
	public apply(list: ListedTargets, source: ListSource, atMs: number, nowMs: number): TargetListChange {
		const known = this.newestList;
		if (known !== undefined && comparePositions(list, known) < 0) {
			return NO_CHANGE;
		}
		const isRestored = known !== undefined && list.era > known.era;
		// A list may also be old because this instance was slow to read it; the store was then there for the targets.
		const isOutageOver =
			known !== undefined &&
			source === 'store' &&
			this.failedReadAtMs > this.confirmedAtMs &&
			this.computeAge(nowMs) > OUTAGE_LIST_AGE_MS;
		if (isRestored || isOutageOver) {
			this.graceUntilMs = nowMs + REREGISTRATION_GRACE_MS;
		}
		if (isRestored || known === undefined) {
			this.holdUntilMs = nowMs + REREGISTRATION_GRACE_MS;
		}
		this.newestList = list;
		this.newestDigest = computeDigest(list.targets);
		this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
		for (const { id, startedAtMs } of list.targets.filter(({ isLeaving }) => isLeaving)) {
			this.leavingTargets.add(id, startedAtMs);
		}
		const next = new Map(list.targets.map((record) => [record.id, record]));
		this.keepMissing(next, nowMs);
		return this.replace(next, nowMs);
	}

	/** Records that a target announced, to this instance or to a peer, that it leaves. */
	public recordLeaving([id, startedAtMs]: TargetStart, nowMs: number): TargetListChange {
		return this.leavingTargets.add(id, startedAtMs) ? this.replace(this.listedTargets, nowMs) : NO_CHANGE;
	}

	/** Records targets whose entries a peer knows to be removed, for an instance that has just started. */
	public recordRemoved(removed: readonly TargetStart[], nowMs: number): TargetListChange {
		for (const [id, startedAtMs] of removed) {
			this.removedTargets.add(id, startedAtMs);
		}
		return this.replace(this.listedTargets, nowMs);
	}

	/** Lists the targets that have announced that they leave, but that the newest list shows as ready. */
	public listUnlistedLeaving(): readonly TargetStart[] {
		return (this.newestList?.targets ?? [])
			.filter(({ id, isLeaving, startedAtMs }) => !isLeaving && this.leavingTargets.has(id, startedAtMs))
			.map(({ id, startedAtMs }) => [id, startedAtMs]);
	}

	/** Lists the starts that announced last that they leave, for an instance that starts. */
	public listRecentlyLeaving(): readonly TargetStart[] {
		return this.leavingTargets.listNewest(MAX_GOSSIPED_STARTS);
	}

	/** Lists the starts whose entries were removed last, for an instance that starts. */
	public listRecentlyRemoved(): readonly TargetStart[] {
		return this.removedTargets.listNewest(MAX_GOSSIPED_STARTS);
	}

	/** Removes the missing targets whose grace period is over, and releases those that are held. */
	public expire(nowMs: number): TargetListChange {
		const next = new Map(this.listedTargets);
		for (const [id, untilMs] of this.missingUntilMs) {
			if (nowMs >= untilMs) {
				next.delete(id);
				this.missingUntilMs.delete(id);
			}
		}
		const isHoldOver = this.hasHeldTargets && nowMs >= this.holdUntilMs;
		return next.size === this.targets.size && !isHoldOver ? NO_CHANGE : this.replace(next, nowMs);
	}

	private keepMissing(next: Map<string, TargetRecord>, nowMs: number): void {
		for (const [id, record] of this.targets) {
			if (next.has(id)) {
				this.missingUntilMs.delete(id);
				continue;
			}
			const untilMs = this.missingUntilMs.get(id) ?? this.graceUntilMs;
			if (!record.isLeaving && nowMs < untilMs) {
				this.missingUntilMs.set(id, untilMs);
				next.set(id, this.listedTargets.get(id) ?? record);
			} else {
				this.missingUntilMs.delete(id);
			}
		}
	}

	/**
	 * Replaces the targets. Those that announced that they leave are marked as leaving, and so are those that were
	 * removed before, while their entries may be those of an old copy of the store.
	 */
	private replace(listed: ReadonlyMap<string, TargetRecord>, nowMs: number): TargetListChange {
		const added: TargetRecord[] = [];
		const changed: TargetRecord[] = [];
		const next = new Map<string, TargetRecord>();
		const isHolding = nowMs < this.holdUntilMs;
		this.hasHeldTargets = false;
		for (const [id, listedRecord] of listed) {
			const { startedAtMs } = listedRecord;
			const isHeld = isHolding && this.removedTargets.has(id, startedAtMs);
			this.hasHeldTargets ||= isHeld;
			if (!isHolding) {
				this.removedTargets.remove(id);
			}
			const isOutOfUse = isHeld || this.leavingTargets.has(id, startedAtMs);
			const record = isOutOfUse ? { ...listedRecord, isLeaving: true } : listedRecord;
			next.set(id, record);
			const known = this.targets.get(id);
			if (known === undefined) {
				added.push(record);
			} else if (!isSameRecord(known, record)) {
				changed.push(record);
			}
		}
		const removed = [...this.targets.values()].filter(({ id }) => !next.has(id));
		for (const { id, startedAtMs } of removed) {
			this.removedTargets.add(id, startedAtMs);
		}
		this.listedTargets = listed;
		this.targets = next;
		return { added, changed, removed };
	}
}

export function isEmptyChange({ added, changed, removed }: TargetListChange): boolean {
	return added.length + changed.length + removed.length === 0;
}
