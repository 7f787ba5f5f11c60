/**
 * Messages of the etcd v3 JSON gateway, which encodes 64-bit numbers as decimal strings, and keys and values
 * as base64.
 */
import type { KeyValueEntry, SwapResult, WatchEvent } from '@papayawell/core';
import { z } from 'zod';

const int64 = z.union([z.string(), z.number()]).transform(Number);

/** A lease ID uses all 64 bits and exceeds the safe integers, so it stays a string. */
const leaseId = z.union([z.string(), z.number()]).transform(String);

const header = z.object({ revision: int64.default(0) });

const wireEntry = z.object({
	key: z.string(),
	value: z.string().default(''),
	mod_revision: int64.default(0),
	lease: leaseId.optional(),
});

const rangeFields = z.object({ kvs: z.array(wireEntry).default([]) });

export const rangeResponse = rangeFields.extend({ header });

export const txnResponse = z.object({
	header,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({ response_range: rangeFields.optional() })).default([]),
});

export const leaseGrantResponse = z.object({ header, ID: leaseId, TTL: int64 });

/** The TTL is absent when the lease has expired or was revoked. */
export const leaseKeepaliveResponse = z.object({
	result: z.object({ header, ID: leaseId, TTL: int64.default(0) }),
});

export const leaseRevokeResponse = z.object({ header });

export const watchResponse = z.object({
	result: z.object({
		header,
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: int64.default(0),
		events: z.array(z.object({ type: z.string().default('PUT'), kv: wireEntry })).default([]),
	}),
});

export type WireEntry = z.output<typeof wireEntry>;
export type TxnResponse = z.output<typeof txnResponse>;
export type WatchResponse = z.output<typeof watchResponse>['result'];

export function encodeText(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

function decodeText(text: string): string {
	return Buffer.from(text, 'base64').toString('utf8');
}

export function decodeEntry(wire: WireEntry): KeyValueEntry {
	const entry = { key: decodeText(wire.key), value: decodeText(wire.value), revision: wire.mod_revision };
	return wire.lease === undefined || wire.lease === '0'
		? entry
		: { ...entry, lease: BigInt(wire.lease).toString(16) };
}

export function decodeSwapResult(answer: TxnResponse): SwapResult {
	if (answer.succeeded) {
		return { kind: 'swapped', revision: answer.header.revision };
	}
	const current = answer.responses[0]?.response_range?.kvs[0];
	return { kind: 'conflict', current: current && decodeEntry(current) };
}

export function decodeEvents(answer: WatchResponse): WatchEvent[] {
	return answer.events.map((event) =>
		event.type === 'DELETE'
			? { kind: 'delete', key: decodeText(event.kv.key), revision: event.kv.mod_revision }
			: { kind: 'put', entry: decodeEntry(event.kv) },
	);
}

/** Lease IDs are hexadecimal in this code base and decimal in the etcd JSON gateway. */
export function encodeLeaseId(id: string): string {
	return BigInt(`0x${id}`).toString();
}

export function decodeLeaseId(id: string): string {
	return BigInt(id).toString(16);
}

/** Computes the exclusive end of the range of all keys that start with `prefix`. */
export function computePrefixEnd(prefix: string): string {
	const last = prefix.length - 1;
	return prefix.slice(0, last) + String.fromCharCode(prefix.charCodeAt(last) + 1);
}

/** Encodes a transaction that runs `operation` if `key` is at `expectedRevision` and reads the key otherwise. */
export function encodeSwapTransaction(key: string, expectedRevision: number, operation: unknown): unknown {
	const encodedKey = encodeText(key);
	const compare =
		expectedRevision === 0
			? { key: encodedKey, target: 'CREATE', result: 'EQUAL', create_revision: '0' }
			: { key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision) };
	return {
		compare: [compare],
		success: [operation],
		failure: [{ request_range: { key: encodedKey } }],
	};
}
