/** The lock for the orders of one pool: a key that is bound to a lease of its holder. */
import { randomUUID } from 'node:crypto';
import type { KeyValueEntry, KeyValueStore, Lease, OrderTimings } from '@papayawell/core';
import { isLeaseSafe } from '@papayawell/core';

const CALL_TIMEOUT_MS = 2000;
/** Expected revision of a key that must not exist. */
const ABSENT_REVISION = 0;

export type LockResult =
	| { readonly kind: 'held'; readonly revision: number }
	| { readonly kind: 'busy' }
	| { readonly kind: 'failed'; readonly message: string };

export class OrderLock {
	/** Identifies this process as the holder; a restarted process gets another identifier. */
	private readonly holderId = randomUUID();
	private lease: Lease | undefined;
	/** Revision of the key while this process holds the lock. */
	private heldRevision: number | undefined;

	constructor(
		private readonly store: KeyValueStore,
		private readonly key: string,
		private readonly timings: OrderTimings,
	) {}

	/** Whether an order may be dispatched now, judged by the monotonic clock and confirmed renewals only. */
	public isSafe(): boolean {
		return this.heldRevision !== undefined && isLeaseSafe(this.lease, performance.now(), this.timings);
	}

	/** Tries to acquire the lock. If a response was lost, the next call finds out: it reads the key first. */
	public async acquire(): Promise<LockResult> {
		const entry = await this.store.read(this.key, { timeoutMs: CALL_TIMEOUT_MS });
		if (entry.err) {
			return { kind: 'failed', message: entry.val.message };
		}
		if (entry.val !== undefined) {
			return this.isOwnEntry(entry.val) ? this.markHeld(entry.val.revision) : { kind: 'busy' };
		}
		const lease = await this.store.grantLease(this.timings.leaseMs, { timeoutMs: CALL_TIMEOUT_MS });
		if (lease.err) {
			return { kind: 'failed', message: lease.val.message };
		}
		this.lease = lease.val;
		return this.createKey(lease.val);
	}

	/** Renews the lease and checks that the key still belongs to this process; false if the lock is lost. */
	public async renew(): Promise<boolean> {
		const { lease } = this;
		if (lease === undefined || !this.isSafe()) {
			return false;
		}
		const renewed = await this.store.renewLease(lease, { timeoutMs: CALL_TIMEOUT_MS });
		if (renewed.err) {
			return renewed.val.kind !== 'rejected' && this.isSafe();
		}
		const entry = await this.store.read(this.key, { timeoutMs: CALL_TIMEOUT_MS });
		if (entry.err) {
			return this.isSafe();
		}
		if (entry.val === undefined || !this.isOwnEntry(entry.val)) {
			return false;
		}
		this.lease = renewed.val;
		return this.isSafe();
	}

	/** Treats the lock as lost immediately; the lease expires later or is revoked by `release`. */
	public markLost(): void {
		this.heldRevision = undefined;
	}

	/** Releases the lock, so that the next holder needn't wait until the lease expires. */
	public async release(): Promise<void> {
		this.markLost();
		const { lease } = this;
		this.lease = undefined;
		if (lease !== undefined) {
			await this.store.revokeLease(lease.id, { timeoutMs: CALL_TIMEOUT_MS });
		}
	}

	private async createKey(lease: Lease): Promise<LockResult> {
		const swapped = await this.store.swap(this.key, ABSENT_REVISION, this.holderId, {
			lease: lease.id,
			timeoutMs: CALL_TIMEOUT_MS,
		});
		if (swapped.err) {
			return { kind: 'failed', message: swapped.val.message };
		}
		return swapped.val.kind === 'swapped' ? this.markHeld(swapped.val.revision) : { kind: 'busy' };
	}

	private markHeld(revision: number): LockResult {
		this.heldRevision = revision;
		return this.isSafe() ? { kind: 'held', revision } : { kind: 'busy' };
	}

	private isOwnEntry(entry: KeyValueEntry): boolean {
		return entry.value === this.holderId && entry.lease === this.lease?.id;
	}
}
