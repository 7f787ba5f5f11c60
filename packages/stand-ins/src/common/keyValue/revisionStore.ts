/** In-memory store with the revisions, leases and event history of etcd. Callers pass the current time. */

export interface StoredEntry {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	/** Lease ID in decimal; `'0'` if the entry has no lease. */
	readonly lease: string;
}

export type StoreEvent =
	| { readonly kind: 'put'; readonly revision: number; readonly entry: StoredEntry }
	| { readonly kind: 'delete'; readonly revision: number; readonly key: string };

export interface StoredLease {
	readonly id: string;
	readonly ttlMs: number;
	readonly expiresAtMs: number;
}

/** Entries, leases and revision of the store, for `restore`. */
export interface StoreSnapshot {
	readonly revision: number;
	readonly entries: readonly StoredEntry[];
	readonly leases: readonly StoredLease[];
}

const MAX_HISTORY_EVENTS = 20_000;

export class RevisionStore {
	private entries = new Map<string, StoredEntry>();
	private leases = new Map<string, StoredLease>();
	private eventHistory: StoreEvent[] = [];
	private currentRevision = 1;
	private nextLeaseId = 1n;
	/** Events up to and including this revision have been dropped from the history. */
	private compactedRevision = 0;

	constructor(private readonly onEvent: (event: StoreEvent) => void) {}

	public get revision(): number {
		return this.currentRevision;
	}

	public get compacted(): number {
		return this.compactedRevision;
	}

	public get(key: string): StoredEntry | undefined {
		return this.entries.get(key);
	}

	/** Lists the entries from `key` (inclusive) to `end` (exclusive) in key order; without `end`, only `key`. */
	public list(key: string, end: string | undefined): StoredEntry[] {
		if (end === undefined) {
			const entry = this.entries.get(key);
			return entry ? [entry] : [];
		}
		return [...this.entries.values()]
			.filter((entry) => entry.key >= key && entry.key < end)
			.sort((a, b) => (a.key < b.key ? -1 : 1));
	}

	/** Writes a key; returns false if the lease does not exist. */
	public put(key: string, value: string, lease: string): boolean {
		if (lease !== '0' && !this.leases.has(lease)) {
			return false;
		}
		this.currentRevision += 1;
		const previous = this.entries.get(key);
		const entry: StoredEntry = {
			key,
			value,
			lease,
			createRevision: previous?.createRevision ?? this.currentRevision,
			modRevision: this.currentRevision,
			version: (previous?.version ?? 0) + 1,
		};
		this.entries.set(key, entry);
		this.append({ kind: 'put', revision: this.currentRevision, entry });
		return true;
	}

	public remove(key: string): void {
		if (!this.entries.delete(key)) {
			return;
		}
		this.currentRevision += 1;
		this.append({ kind: 'delete', revision: this.currentRevision, key });
	}

	public grantLease(ttlMs: number, nowMs: number): StoredLease {
		const id = this.nextLeaseId.toString();
		this.nextLeaseId += 1n;
		const lease = { id, ttlMs, expiresAtMs: nowMs + ttlMs };
		this.leases.set(id, lease);
		return lease;
	}

	public renewLease(id: string, nowMs: number): StoredLease | undefined {
		const lease = this.leases.get(id);
		if (!lease) {
			return undefined;
		}
		const renewed = { ...lease, expiresAtMs: nowMs + lease.ttlMs };
		this.leases.set(id, renewed);
		return renewed;
	}

	/** Ends a lease and removes its keys; returns false if the lease does not exist. */
	public revokeLease(id: string): boolean {
		if (!this.leases.delete(id)) {
			return false;
		}
		for (const entry of [...this.entries.values()]) {
			if (entry.lease === id) {
				this.remove(entry.key);
			}
		}
		return true;
	}

	public expireLeases(nowMs: number): void {
		for (const lease of [...this.leases.values()]) {
			if (lease.expiresAtMs <= nowMs) {
				this.revokeLease(lease.id);
			}
		}
	}

	/** Returns the events from `startRevision` on, or undefined if some of them have been compacted. */
	public listEvents(startRevision: number): StoreEvent[] | undefined {
		if (startRevision <= this.compactedRevision) {
			return undefined;
		}
		return this.eventHistory.filter((event) => event.revision >= startRevision);
	}

	public takeSnapshot(): StoreSnapshot {
		return {
			revision: this.currentRevision,
			entries: [...this.entries.values()],
			leases: [...this.leases.values()],
		};
	}

	/** Replaces the state, revision included, as restoring a backup does. Emits no events. */
	public restore(snapshot: StoreSnapshot): void {
		this.entries = new Map(snapshot.entries.map((entry) => [entry.key, entry]));
		this.leases = new Map(snapshot.leases.map((lease) => [lease.id, lease]));
		this.currentRevision = snapshot.revision;
		this.eventHistory = [];
		this.compactedRevision = snapshot.revision;
	}

	private append(event: StoreEvent): void {
		this.eventHistory.push(event);
		if (this.eventHistory.length > MAX_HISTORY_EVENTS) {
			const dropped = this.eventHistory.splice(0, MAX_HISTORY_EVENTS / 2);
			this.compactedRevision = dropped.at(-1)?.revision ?? this.compactedRevision;
		}
		this.onEvent(event);
	}
}
