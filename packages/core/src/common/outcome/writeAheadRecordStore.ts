/** Store of the write-ahead records of non-idempotent operations. Writes are compare-and-swap operations. */
import type { Result } from '../base/result.js';
import type { CallOptions, KeyValueError } from '../platform/keyValueStore.js';
import type { WriteAheadRecord } from './writeAheadRecord.js';

/** Identifies a record. Keys are scoped to their customer. */
export interface RecordId {
	readonly customer: string;
	readonly key: string;
	/** Time at which the caller issued the key, epoch ms. */
	readonly issuedAtMs: number;
}

/** A record with its stored version, which a write that replaces it has to expect. */
export interface VersionedRecord {
	readonly record: WriteAheadRecord;
	readonly version: number;
}

export type PutResult =
	| { readonly kind: 'stored'; readonly version: number }
	| { readonly kind: 'conflict'; readonly found: VersionedRecord | undefined };

export interface WriteAheadRecordStore {
	/** Writes a record if the stored version is still `expectedVersion`; 0 means that no record exists. */
	put(
		name: RecordId,
		expectedVersion: number,
		record: WriteAheadRecord,
		options: CallOptions,
	): Promise<Result<PutResult, KeyValueError>>;
}
