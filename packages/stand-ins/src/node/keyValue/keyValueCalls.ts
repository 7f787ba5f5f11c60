/** Calls of the etcd v3 JSON gateway that the key-value stand-in answers, one function per call. */
import type { RevisionStore, StoredEntry } from '../../common/keyValue/revisionStore.js';
import type { WireCompare, WireOperation, WireRangeRequest, WireTxnRequest } from './etcdWire.js';
import { decodeBase64, encodeEntry, encodeHeader } from './etcdWire.js';

export interface CallAnswer {
	readonly status: number;
	readonly body: unknown;
}

const MS_PER_SECOND = 1000;
/** gRPC status code. */
export const GRPC_NOT_FOUND = 5;

/** Reads entries from the store, or from an older snapshot of it while stale reads are enabled. */
export type ListEntries = (key: string, end: string | undefined) => StoredEntry[];

export function answerRange(store: RevisionStore, list: ListEntries, request: WireRangeRequest): CallAnswer {
	return { status: 200, body: { header: encodeHeader(store.revision), ...readRange(list, request) } };
}

function readRange(list: ListEntries, request: WireRangeRequest): Record<string, unknown> {
	const end = request.range_end ? decodeBase64(request.range_end) : undefined;
	const found = list(decodeBase64(request.key), end);
	const limit = Number(request.limit ?? 0);
	const entries = limit > 0 ? found.slice(0, limit) : found;
	return {
		kvs: entries.map((entry) => encodeEntry(request.keys_only === true ? { ...entry, value: '' } : entry)),
		more: entries.length < found.length,
		count: String(found.length),
	};
}

function isCompareTrue(store: RevisionStore, compare: WireCompare): boolean {
	const entry = store.get(decodeBase64(compare.key));
	if (compare.target === 'MOD') {
		return (entry?.modRevision ?? 0) === Number(compare.mod_revision ?? 0);
	}
	return (entry?.createRevision ?? 0) === Number(compare.create_revision ?? 0);
}

/** Runs one operation; returns undefined if its lease does not exist. */
function runOperation(store: RevisionStore, operation: WireOperation): unknown {
	if (operation.request_put) {
		const { key, value, lease } = operation.request_put;
		const isStored = store.put(decodeBase64(key), decodeBase64(value), String(lease ?? '0'));
		return isStored ? { response_put: { header: encodeHeader(store.revision) } } : undefined;
	}
	if (operation.request_delete_range) {
		store.remove(decodeBase64(operation.request_delete_range.key));
		return { response_delete_range: { header: encodeHeader(store.revision) } };
	}
	if (operation.request_range) {
		const list: ListEntries = (key, end) => store.list(key, end);
		return { response_range: readRange(list, operation.request_range) };
	}
	return {};
}

export function answerTxn(store: RevisionStore, request: WireTxnRequest): CallAnswer {
	const succeeded = (request.compare ?? []).every((compare) => isCompareTrue(store, compare));
	const operations = (succeeded ? request.success : request.failure) ?? [];
	const responses = operations.map((operation) => runOperation(store, operation));
	if (responses.includes(undefined)) {
		return makeError(404, GRPC_NOT_FOUND, 'etcdserver: requested lease not found');
	}
	return { status: 200, body: { header: encodeHeader(store.revision), succeeded, responses } };
}

export function answerLeaseGrant(
	store: RevisionStore,
	request: { readonly TTL: string | number },
	nowMs: number,
): CallAnswer {
	const seconds = Number(request.TTL);
	const lease = store.grantLease(seconds * MS_PER_SECOND, nowMs);
	return {
		status: 200,
		body: { header: encodeHeader(store.revision), ID: lease.id, TTL: String(seconds) },
	};
}

/** The response for a lease that does not exist has no TTL. */
export function answerLeaseKeepalive(
	store: RevisionStore,
	request: { readonly ID: string | number },
	nowMs: number,
): CallAnswer {
	const id = String(request.ID);
	const lease = store.renewLease(id, nowMs);
	const ttl = lease ? { TTL: String(lease.ttlMs / MS_PER_SECOND) } : {};
	return { status: 200, body: { result: { header: encodeHeader(store.revision), ID: id, ...ttl } } };
}

export function answerLeaseRevoke(
	store: RevisionStore,
	request: { readonly ID: string | number },
): CallAnswer {
	if (!store.revokeLease(String(request.ID))) {
		return makeError(404, GRPC_NOT_FOUND, 'etcdserver: requested lease not found');
	}
	return { status: 200, body: { header: encodeHeader(store.revision) } };
}

export function makeError(status: number, code: number, message: string): CallAnswer {
	return { status, body: { error: message, code, message } };
}
