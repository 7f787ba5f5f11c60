/**
 * Messages of the etcd v3 JSON gateway that the stand-in supports. 64-bit numbers are decimal strings; keys and
 * values are base64.
 */
import type { StoreEvent, StoredEntry } from '../../common/keyValue/revisionStore.js';

export interface WireRangeRequest {
	readonly key: string;
	readonly range_end?: string;
	readonly limit?: string | number;
	readonly serializable?: boolean;
	/** Omits the values from the response. */
	readonly keys_only?: boolean;
}

export interface WireCompare {
	readonly key: string;
	readonly target: 'MOD' | 'CREATE';
	readonly result?: 'EQUAL';
	readonly mod_revision?: string | number;
	readonly create_revision?: string | number;
}

export interface WireOperation {
	readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string | number };
	readonly request_delete_range?: { readonly key: string };
	readonly request_range?: WireRangeRequest;
}

export interface WireTxnRequest {
	readonly compare?: readonly WireCompare[];
	readonly success?: readonly WireOperation[];
	readonly failure?: readonly WireOperation[];
}

export interface WireWatchRequest {
	readonly create_request: {
		readonly key: string;
		readonly range_end?: string;
		readonly start_revision?: string | number;
	};
}

export function decodeBase64(text: string): string {
	return Buffer.from(text, 'base64').toString('utf8');
}

export function encodeBase64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

export function encodeEntry(entry: StoredEntry): Record<string, string> {
	const wire = {
		key: encodeBase64(entry.key),
		value: encodeBase64(entry.value),
		create_revision: String(entry.createRevision),
		mod_revision: String(entry.modRevision),
		version: String(entry.version),
	};
	return entry.lease === '0' ? wire : { ...wire, lease: entry.lease };
}

export function encodeHeader(revision: number): Record<string, string> {
	return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' };
}

/** A put event has no `type`, because the gateway omits default values. */
export function encodeEvent(event: StoreEvent): Record<string, unknown> {
	switch (event.kind) {
		case 'put':
			return { kv: encodeEntry(event.entry) };
		case 'delete':
			return { type: 'DELETE', kv: { key: encodeBase64(event.key), mod_revision: String(event.revision) } };
	}
}
