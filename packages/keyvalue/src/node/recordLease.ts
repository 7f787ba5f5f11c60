/**
 * Provides the lease with which write-ahead records expire. All records created within a rotation interval share
 * one lease, which is never renewed, so that the service removes old records without further calls.
 */
import type { CallOptions, KeyValueError, KeyValueStore, Lease, Result } from '@papayawell/core';
import { Ok } from '@papayawell/core';

export interface RecordLeaseOptions {
	/** Minimum time from the creation of a record to its expiry, in ms. */
	readonly recordRetentionMs: number;
	/** How long a lease is used for new records, in ms. */
	readonly rotationMs: number;
}

export class RecordLease {
	private current: Lease | undefined;
	private pending: Promise<Result<Lease, KeyValueError>> | undefined;

	constructor(
		private readonly store: KeyValueStore,
		private readonly options: RecordLeaseOptions,
	) {}

	/** Returns the ID of a lease that lasts at least for the retention period of a record created now. */
	public async acquire(options: CallOptions): Promise<Result<string, KeyValueError>> {
		const { current } = this;
		if (current && performance.now() - current.grantedAtMs < this.options.rotationMs) {
			return Ok(current.id);
		}
		this.pending ??= this.grant(options);
		const answer = await this.pending;
		return answer.map((lease) => lease.id);
	}

	/** Stops using the lease, for example after the service rejected a write under it. */
	public drop(leaseId: string): void {
		if (this.current?.id === leaseId) {
			this.current = undefined;
		}
	}

	private async grant(options: CallOptions): Promise<Result<Lease, KeyValueError>> {
		const ttlMs = this.options.recordRetentionMs + this.options.rotationMs;
		const timeout = options.timeoutMs === undefined ? {} : { timeoutMs: options.timeoutMs };
		const answer = await this.store.grantLease(ttlMs, timeout);
		this.pending = undefined;
		if (answer.ok) {
			this.current = answer.val;
		}
		return answer;
	}
}
