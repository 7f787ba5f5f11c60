/**
 * The instances among which limits are divided that must never be exceeded. It is slow to forget: an instance that hears
 * less of the others must not take over the shares of those that still run.
 */
import { computePeerInterval } from './gossipInterval.js';
import type { LimitUser } from './requestLimitShare.js';
import { createLimitUser } from './requestLimitShare.js';

/** Time without a message after which an instance is removed, if most others are still heard of, or nobody else runs. */
const RETENTION_MS = 20_000;
/** Part of the instances that must be heard of before any is removed; at most one side of a partition hears of more. */
const MIN_HEARD_SHARE = 0.5;
/** Time from the first message of a peer until all instances have heard of this one. */
const MIN_JOIN_MS = 2000;
const JOIN_INTERVALS = 2;
/** Margin between the last use of a share and the time at which others may take it over. */
const SHARE_MARGIN_MS = 2000;
/** Time for which a majority counts as heard of after the last update. */
const MAJORITY_VALIDITY_MS = 1000;

/** What is known of a peer that is heard of. */
export interface HeardInstance {
	readonly name: string;
	/** Number of instances in its roster; undefined if it does not tell. */
	readonly instances: number | undefined;
}

/** The instances that share a limit, as one of them sees them. */
export interface LimitUsers {
	readonly others: readonly string[];
	/** If not, instances that are not heard of may use their parts, or have taken over those of the others. */
	readonly hearsMajority: boolean;
}

/** The other instances that the settings, the store and peers name. */
export interface NamedInstances {
	/** Number of them, heard of or not. */
	readonly count: number;
	/** Whether the store has named lately the instances that reach it; those that hear no other are among them. */
	readonly isComplete: boolean;
}

export interface RosterOptions {
	/** Whether the whole fleet starts for the first time, so that no earlier run has used a share. */
	readonly isFirstStart: boolean;
	/** Time for which the use of a share counts, in ms; it has to end before others take the share over. */
	readonly shareWindowMs: number;
	/** Number of other instances that the settings name. */
	readonly seeds: number;
}

export class InstanceRoster {
	private readonly heardAtMs = new Map<string, number>();
	private users: readonly LimitUser[] = [];
	private unknown = 0;
	private named: number;
	private joinedAtMs: number | undefined;
	private hasJoined = false;
	private version = 0;
	/** When most of the instances, which count this one, were last heard of. */
	private majorityAtMs = -Infinity;
	private majoritySinceMs = -Infinity;
	/** Whether shares may have been used differently before the present majority was heard of. */
	private hasEarlierUse = true;
	/** Time without a majority after which the others may remove this instance before its use of a share has expired. */
	private readonly shareGraceMs: number;

	constructor(private readonly options: RosterOptions) {
		this.shareGraceMs = Math.max(0, RETENTION_MS - options.shareWindowMs - SHARE_MARGIN_MS);
		this.named = options.seeds;
	}

	/** Changes whenever a division among the instances may have changed. */
	public get revision(): number {
		return this.version;
	}

	/** The other instances. */
	public get others(): readonly LimitUser[] {
		return this.users;
	}

	/** Number of instances whose names are known, including this one. */
	public get size(): number {
		return this.users.length + 1;
	}

	/** Instances of which peers know, but whose names are not known here. */
	public get unknownInstances(): number {
		return this.unknown;
	}

	/** Number of instances that may run, including this one. */
	public get instances(): number {
		return Math.max(this.size + this.unknown, this.named + 1);
	}

	/** Whether this instance has been heard of by the others, so that they count it; never before it hears a peer. */
	public get isMember(): boolean {
		return this.hasJoined;
	}

	/** Whether most of the instances are heard of, and count this one. */
	public hasMajority(nowMs: number): boolean {
		return nowMs - this.majorityAtMs <= MAJORITY_VALIDITY_MS;
	}

	/**
	 * Finds the instances among which a limit is divided whose parts others may take over at once.
	 * @param serving names of the other instances that serve, as far as they are heard of
	 */
	public findUsers(serving: readonly string[], nowMs: number): LimitUsers {
		const hearsMajority = this.hasMajority(nowMs);
		return { others: hearsMajority ? serving : this.users.map(({ name }) => name), hearsMajority };
	}

	/**
	 * Returns the share of this instance in a limit of the whole fleet. It is 0 while an earlier run of this instance may
	 * have used the share, others may still use more than theirs, or they may no longer count this instance.
	 */
	public computeShare(limit: number, nowMs: number): number {
		const { shareWindowMs } = this.options;
		const waitMs = this.joinMs + (this.hasEarlierUse ? shareWindowMs : 0);
		const isCounted =
			nowMs - this.majoritySinceMs >= waitMs && nowMs - this.majorityAtMs <= this.shareGraceMs;
		return isCounted ? limit / this.instances : 0;
	}

	/** Called periodically with the peers that are heard of now. */
	public update(heard: readonly HeardInstance[], nowMs: number, named: NamedInstances): void {
		const previousInstances = this.instances;
		let hasChanged = false;
		for (const { name } of heard) {
			hasChanged ||= !this.heardAtMs.has(name);
			this.heardAtMs.set(name, nowMs);
		}
		const hearsMost = heard.length + 1 > MIN_HEARD_SHARE * (this.heardAtMs.size + 1);
		// Instances that reach neither the store nor this one use no shares by the time they are removed.
		if (hearsMost || (named.isComplete && named.count <= heard.length)) {
			for (const [name, atMs] of this.heardAtMs) {
				if (nowMs - atMs > RETENTION_MS) {
					this.heardAtMs.delete(name);
					hasChanged = true;
				}
			}
		}
		if (hasChanged) {
			this.users = [...this.heardAtMs.keys()].map(createLimitUser);
		}
		this.named = named.count;
		hasChanged = this.updateUnknown(heard) || hasChanged;
		hasChanged = this.updateMembership(heard.length, nowMs) || hasChanged;
		this.updateMajority(heard, nowMs);
		this.version += hasChanged || this.instances !== previousInstances ? 1 : 0;
	}

	/** Called when the clock has stood still: the peers were last heard of that much earlier. */
	public recordSuspension(suspendedMs: number): void {
		this.majorityAtMs -= suspendedMs;
	}

	private updateUnknown(heard: readonly HeardInstance[]): boolean {
		const previous = this.unknown;
		const stated = heard.map(({ instances }) => instances ?? 0);
		// Without a peer, nothing tells that an instance that was only known by number is gone.
		if (heard.length > 0) {
			this.unknown = Math.max(0, Math.max(...stated) - this.size);
		}
		return this.unknown !== previous;
	}

	private updateMembership(heardCount: number, nowMs: number): boolean {
		if (this.hasJoined || heardCount === 0) {
			return false;
		}
		this.joinedAtMs ??= nowMs;
		this.hasJoined = nowMs - this.joinedAtMs >= this.joinMs;
		return this.hasJoined;
	}

	private updateMajority(heard: readonly HeardInstance[], nowMs: number): void {
		// A peer that knows of fewer instances may have removed this one, whose messages it does not get.
		const counting = heard.filter(
			({ instances }) => instances === undefined || instances > heard.length,
		).length;
		const hearsNobody = heard.length === 0 && this.options.seeds > 0;
		if (hearsNobody || counting + 1 <= MIN_HEARD_SHARE * this.instances) {
			return;
		}
		if (nowMs - this.majorityAtMs > this.shareGraceMs) {
			this.hasEarlierUse = this.majorityAtMs !== -Infinity || !this.options.isFirstStart;
			this.majoritySinceMs = nowMs;
		}
		this.majorityAtMs = nowMs;
	}

	/** Time until all instances have heard of this one. */
	private get joinMs(): number {
		return this.instances === 1 ? 0 : Math.max(MIN_JOIN_MS, JOIN_INTERVALS * computePeerInterval(this.size));
	}
}
