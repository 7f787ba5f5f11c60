/**
 * The instances among which limits are divided that must never be exceeded. It is slow to forget: an instance that hears
 * less of the others must not take over the shares of those that still run.
 */
import { computePeerInterval } from './gossipInterval.js';
import type { LimitUser } from './requestLimitShare.js';
import { createLimitUser } from './requestLimitShare.js';

/** Time without a message after which an instance is removed, if most others are still heard of. */
const RETENTION_MS = 20_000;
/** Part of the instances that must be heard of before any is removed; at most one side of a partition hears of more. */
const MIN_HEARD_SHARE = 0.5;
/** Time from the first message of a peer until all instances have heard of this one. */
const MIN_JOIN_MS = 2000;
const JOIN_INTERVALS = 2;

/** What is known of a peer that is heard of. */
export interface HeardInstance {
	readonly name: string;
	/** Number of instances in its roster; undefined if it does not tell. */
	readonly instances: number | undefined;
}

export class InstanceRoster {
	private readonly heardAtMs = new Map<string, number>();
	private users: readonly LimitUser[] = [];
	private unknown = 0;
	private joinedAtMs: number | undefined;
	private hasJoined = false;
	private version = 0;

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

	/** Whether this instance has been heard of by the others, so that they count it; never before it hears a peer. */
	public get isMember(): boolean {
		return this.hasJoined;
	}

	/** Called periodically with the peers that are heard of now. */
	public update(heard: readonly HeardInstance[], nowMs: number): void {
		let hasChanged = false;
		for (const { name } of heard) {
			hasChanged ||= !this.heardAtMs.has(name);
			this.heardAtMs.set(name, nowMs);
		}
		if (heard.length + 1 > MIN_HEARD_SHARE * (this.heardAtMs.size + 1)) {
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
		hasChanged = this.updateUnknown(heard) || hasChanged;
		hasChanged = this.updateMembership(heard.length, nowMs) || hasChanged;
		this.version += hasChanged ? 1 : 0;
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
		const joinMs = Math.max(MIN_JOIN_MS, JOIN_INTERVALS * computePeerInterval(this.size));
		this.hasJoined = nowMs - this.joinedAtMs >= joinMs;
		return this.hasJoined;
	}
}
