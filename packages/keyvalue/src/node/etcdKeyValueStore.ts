/** Client of the key-value service, which it calls through the etcd v3 JSON gateway. */
import type {
	BackOffPolicy,
	CallOptions,
	Disposable,
	KeyValueEntry,
	KeyValueError,
	KeyValueStore,
	Lease,
	ReadOptions,
	Result,
	SwapResult,
	SwapOptions,
	WatchEvent,
} from '@papayawell/core';
import { Emitter, Err, MAX_VALUE_BYTES, Ok, toDisposable } from '@papayawell/core';
import { Agent } from 'undici';
import type { CallCounts, CallKind } from '../common/callRateLimiter.js';
import { CallRateLimiter } from '../common/callRateLimiter.js';
import {
	computePrefixEnd,
	decodeEntry,
	decodeLeaseId,
	decodeSwapResult,
	encodeLeaseId,
	encodeSwapTransaction,
	encodeText,
	leaseGrantResponse,
	leaseKeepaliveResponse,
	leaseRevokeResponse,
	rangeResponse,
	txnResponse,
} from '../common/etcdMessages.js';
import type { EtcdGatewayCall } from './etcdGatewayClient.js';
import { callEtcdGateway } from './etcdGatewayClient.js';
import { ReconnectingWatch } from './reconnectingWatch.js';

export interface EtcdKeyValueStoreOptions {
	/** Origins such as `http://10.0.0.2:2379`; the next one is tried when one can't be reached. */
	readonly origins: readonly string[];
	readonly callsPerSecond: number;
	/** Calls that may be made back to back after an idle period; `callsPerSecond` if absent. */
	readonly burst?: number;
	/** Default timeout of a call, in ms. */
	readonly timeoutMs?: number;
	readonly watchBackOff?: BackOffPolicy;
}

const DEFAULT_TIMEOUT_MS = 1000;
const MS_PER_SECOND = 1000;
/** Size of the connection pool of each origin; further calls wait for a free connection. */
const MAX_CONNECTIONS = 32;
const DEFAULT_WATCH_BACK_OFF: BackOffPolicy = { baseMs: 200, maxMs: 10_000, seed: 'watch' };

type EtcdCall<T> = Pick<EtcdGatewayCall<T>, 'path' | 'body' | 'schema' | 'isWrite'> & {
	readonly kind: CallKind;
};

/** The revision of the store decreased, so the service has lost acknowledged writes. */
export interface RevisionRegression {
	readonly highestRevision: number;
	readonly revision: number;
}

export class EtcdKeyValueStore implements KeyValueStore, Disposable {
	private readonly agent = new Agent({ connections: MAX_CONNECTIONS });
	/** A watch occupies its connection until it ends, so watches have a connection pool of their own. */
	private readonly watchAgent = new Agent();
	private readonly rateLimiter: CallRateLimiter;
	private readonly watches = new Set<ReconnectingWatch>();
	private readonly regressionEmitter = new Emitter<RevisionRegression>();
	/** Index of the origin to try first: the last one that responded, or the next after a failed write. */
	private currentOrigin = 0;
	private highestRevision = 0;

	/** Fires when the response to a write has a lower revision than a response received before it was sent. */
	public readonly onDidRegressRevision = this.regressionEmitter.event;

	constructor(private readonly options: EtcdKeyValueStoreOptions) {
		const { callsPerSecond, burst = callsPerSecond } = options;
		this.rateLimiter = new CallRateLimiter({ callsPerSecond, burst });
	}

	/** Returns the number of calls sent, by kind, and of those refused by the rate limit. */
	public readCounts(): CallCounts {
		return this.rateLimiter.readCounts();
	}

	public async read(
		key: string,
		options: ReadOptions = {},
	): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
		const keysOnly = options.withoutValue === true ? { keys_only: true } : {};
		const body = { key: encodeText(key), ...keysOnly };
		const call = { kind: 'read', path: '/v3/kv/range', body, schema: rangeResponse, isWrite: false } as const;
		const answer = await this.call(call, options);
		return answer.map(({ kvs }) => kvs.map(decodeEntry)[0]);
	}

	public async list(
		prefix: string,
		options: CallOptions & { readonly limit?: number; readonly startAfter?: string } = {},
	): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
		const { startAfter, limit } = options;
		const body = {
			key: encodeText(startAfter === undefined ? prefix : `${startAfter}\0`),
			range_end: encodeText(computePrefixEnd(prefix)),
			...(limit === undefined ? {} : { limit: String(limit) }),
		};
		const call = { kind: 'list', path: '/v3/kv/range', body, schema: rangeResponse, isWrite: false } as const;
		const answer = await this.call(call, options);
		return answer.map(({ kvs }) => kvs.map(decodeEntry));
	}

	public async swap(
		key: string,
		expectedRevision: number,
		value: string,
		options: SwapOptions = {},
	): Promise<Result<SwapResult, KeyValueError>> {
		if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
			return Err({ kind: 'rejected', effect: 'none', message: `value over ${MAX_VALUE_BYTES} bytes` });
		}
		const lease = options.lease === undefined ? {} : { lease: encodeLeaseId(options.lease) };
		const operation = { request_put: { key: encodeText(key), value: encodeText(value), ...lease } };
		return this.runSwap('swap', key, expectedRevision, operation, options);
	}

	public remove(
		key: string,
		expectedRevision: number,
		options: CallOptions = {},
	): Promise<Result<SwapResult, KeyValueError>> {
		const operation = { request_delete_range: { key: encodeText(key) } };
		return this.runSwap('remove', key, expectedRevision, operation, options);
	}

	public async grantLease(ttlMs: number, options: CallOptions = {}): Promise<Result<Lease, KeyValueError>> {
		const grantedAtMs = performance.now();
		const body = { TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)) };
		const call = {
			kind: 'lease',
			path: '/v3/lease/grant',
			body,
			schema: leaseGrantResponse,
			isWrite: true,
		} as const;
		const answer = await this.call(call, options);
		return answer.map(({ ID, TTL }) => ({ id: decodeLeaseId(ID), ttlMs: TTL * MS_PER_SECOND, grantedAtMs }));
	}

	public async renewLease(lease: Lease, options: CallOptions = {}): Promise<Result<Lease, KeyValueError>> {
		const grantedAtMs = performance.now();
		const body = { ID: encodeLeaseId(lease.id) };
		const call = {
			kind: 'lease',
			path: '/v3/lease/keepalive',
			body,
			schema: leaseKeepaliveResponse,
			isWrite: true,
		} as const;
		const answer = await this.call(call, options);
		return answer.andThen(({ result }) =>
			result.TTL > 0
				? Ok({ id: lease.id, ttlMs: result.TTL * MS_PER_SECOND, grantedAtMs })
				: Err({
						kind: 'rejected' as const,
						effect: 'none' as const,
						message: 'the lease has expired or was revoked',
					}),
		);
	}

	public async revokeLease(leaseId: string, options: CallOptions = {}): Promise<Result<void, KeyValueError>> {
		const body = { ID: encodeLeaseId(leaseId) };
		const call = {
			kind: 'lease',
			path: '/v3/lease/revoke',
			body,
			schema: leaseRevokeResponse,
			isWrite: true,
		} as const;
		const answer = await this.call(call, options);
		return answer.map(() => undefined);
	}

	/**
	 * Emits a `gap` after each lost connection, and also once the first one is established, because keys may
	 * have been written before.
	 */
	public watch(prefix: string, onEvent: (event: WatchEvent) => void): Disposable {
		const loop = new ReconnectingWatch({
			dispatcher: this.watchAgent,
			prefix,
			pickOrigin: (attempt) => this.pickOrigin(attempt),
			tryAcquireCall: () => this.rateLimiter.tryAcquire('watch', performance.now()),
			backOff: this.options.watchBackOff ?? DEFAULT_WATCH_BACK_OFF,
			onEvent,
		});
		this.watches.add(loop);
		return toDisposable(() => {
			loop.dispose();
			this.watches.delete(loop);
		});
	}

	public dispose(): void {
		for (const loop of this.watches) {
			loop.dispose();
		}
		this.watches.clear();
		this.regressionEmitter.dispose();
		void this.agent.destroy();
		void this.watchAgent.destroy();
	}

	private async runSwap(
		kind: CallKind,
		key: string,
		expectedRevision: number,
		operation: unknown,
		options: CallOptions,
	): Promise<Result<SwapResult, KeyValueError>> {
		const body = encodeSwapTransaction(key, expectedRevision, operation);
		const answer = await this.call(
			{ kind, path: '/v3/kv/txn', body, schema: txnResponse, isWrite: true },
			options,
		);
		return answer.map(decodeSwapResult);
	}

	private pickOrigin(offset: number): string {
		const { origins } = this.options;
		return origins[(this.currentOrigin + offset) % origins.length] ?? '';
	}

	/** Tries the origins in turn until one responds, or until a failed write may have taken effect. */
	private async call<T extends ResponseWithRevision>(
		call: EtcdCall<T>,
		options: CallOptions,
	): Promise<Result<T, KeyValueError>> {
		let last: KeyValueError = { kind: 'unavailable', effect: 'none', message: 'no origin is configured' };
		const startIndex = this.currentOrigin;
		const knownRevision = this.highestRevision;
		const count = this.options.origins.length;
		for (let offset = 0; offset < count; offset += 1) {
			if (!this.rateLimiter.tryAcquire(call.kind, performance.now())) {
				return Err({
					kind: 'budget',
					effect: 'none',
					message: 'the rate limit for key-value calls is exceeded',
				});
			}
			const index = (startIndex + offset) % count;
			const answer = await this.callOrigin(index, call, options);
			if (answer.ok) {
				this.currentOrigin = index;
				this.recordRevision(answer.val, call.isWrite ? knownRevision : 0);
				return answer;
			}
			last = answer.val;
			if (last.effect === 'unknown' || last.kind === 'rejected') {
				this.currentOrigin = last.kind === 'rejected' ? index : (index + 1) % count;
				return Err(last);
			}
		}
		return Err(last);
	}

	private callOrigin<T>(
		index: number,
		call: EtcdCall<T>,
		options: CallOptions,
	): Promise<Result<T, KeyValueError>> {
		const timeoutMs = options.timeoutMs ?? this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
		const origin = this.options.origins[index] ?? '';
		return callEtcdGateway(this.agent, origin, { ...call, timeoutMs, signal: options.signal });
	}

	/**
	 * Detects a decreased revision. Responses to concurrent calls may arrive in any order, so the revision is
	 * compared with `knownRevision`, the highest one received before this call was sent.
	 */
	private recordRevision(answer: ResponseWithRevision, knownRevision: number): void {
		const { revision } = 'header' in answer ? answer.header : answer.result.header;
		if (revision > 0 && revision < knownRevision) {
			this.highestRevision = revision;
			this.regressionEmitter.fire({ highestRevision: knownRevision, revision });
			return;
		}
		this.highestRevision = Math.max(this.highestRevision, revision);
	}
}

interface ResponseHeader {
	readonly header: { readonly revision: number };
}

type ResponseWithRevision = ResponseHeader | { readonly result: ResponseHeader };
