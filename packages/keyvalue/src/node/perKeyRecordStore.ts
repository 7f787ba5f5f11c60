/** Stores each write-ahead record of a non-idempotent operation under a key of its own. */
import type {
	CallOptions,
	VersionedRecord,
	KeyValueEntry,
	KeyValueError,
	KeyValueStore,
	WriteAheadRecord,
	WriteAheadRecordStore,
	PutResult,
	RecordId,
	Result,
} from '@papayawell/core';
import { Err, Ok, decodeWriteAheadRecord, encodeWriteAheadRecord } from '@papayawell/core';
import type { RecordLease } from './recordLease.js';

export class PerKeyRecordStore implements WriteAheadRecordStore {
	/** `prefix` precedes every key and ends in `/`. */
	constructor(
		private readonly store: KeyValueStore,
		private readonly lease: RecordLease,
		private readonly prefix: string,
	) {}

	public async put(
		name: RecordId,
		expectedVersion: number,
		record: WriteAheadRecord,
		options: CallOptions,
	): Promise<Result<PutResult, KeyValueError>> {
		const lease = await this.lease.acquire(options);
		if (!lease.ok) {
			return Err({ ...lease.val, effect: 'none' });
		}
		const key = `${this.prefix}${encodeURIComponent(name.customer)}/${encodeURIComponent(name.key)}`;
		const swapOptions = { ...options, lease: lease.val };
		const answer = await this.store.swap(key, expectedVersion, encodeWriteAheadRecord(record), swapOptions);
		if (!answer.ok) {
			this.dropRejectedLease(answer.val, lease.val);
			return answer;
		}
		const { val } = answer;
		return val.kind === 'swapped'
			? Ok({ kind: 'stored', version: val.revision })
			: Ok({ kind: 'conflict', found: val.current && decodeFound(val.current, record) });
	}

	private dropRejectedLease(error: KeyValueError, lease: string): void {
		if (error.kind === 'rejected') {
			this.lease.drop(lease);
		}
	}
}

/** Treats an unreadable record as dispatched, because its operation may have run. */
function decodeFound(entry: KeyValueEntry, own: WriteAheadRecord): VersionedRecord {
	const decoded = decodeWriteAheadRecord(entry.value);
	const unreadable: WriteAheadRecord = {
		attempt: 'unreadable',
		router: 'unknown',
		recordedAtMs: 0,
		digest: own.digest,
		state: { kind: 'dispatched' },
	};
	return { record: decoded.ok ? decoded.val : unreadable, version: entry.revision };
}
