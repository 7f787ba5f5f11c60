/** Interface to the platform's key-value service: compare-and-swap, leases and watches. */
import type { Disposable } from '../base/disposable.js';
import type { Result } from '../base/result.js';

/** Maximum size of a value in the service, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** One stored key. The store's revision increases by one with every write to any key. */
export interface KeyValueEntry {
	readonly key: string;
	readonly value: string;
	/** Store revision of the last write to this key. */
	readonly revision: number;
	/** ID in hexadecimal of the lease to which the key is bound, or undefined if there is none. */
	readonly lease?: string;
}

/** Effect of a failed call: `none`, or `unknown` if a write may have taken effect. */
export type CallEffect = 'none' | 'unknown';

export type KeyValueError =
	| { readonly kind: 'unavailable'; readonly effect: CallEffect; readonly message: string }
	| { readonly kind: 'timeout'; readonly effect: CallEffect; readonly message: string }
	/** Rejected by this process's own rate limit for calls: nothing was sent. */
	| { readonly kind: 'budget'; readonly effect: 'none'; readonly message: string }
	| { readonly kind: 'rejected'; readonly effect: 'none'; readonly message: string };

/** Result of a compare-and-swap to which the service responded. */
export type SwapResult =
	| { readonly kind: 'swapped'; readonly revision: number }
	/** The key was not at the expected revision; `current` is its entry. */
	| { readonly kind: 'conflict'; readonly current: KeyValueEntry | undefined };

export interface Lease {
	/** Lease ID in hexadecimal, as assigned by the service. */
	readonly id: string;
	readonly ttlMs: number;
	/** Monotonic time (`performance.now()`, ms) taken *before* the grant or renewal was sent. */
	readonly grantedAtMs: number;
}

export interface CallOptions {
	/** Time-out of the call, in ms. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
}

export interface ReadOptions extends CallOptions {
	/** Fetches the entry without its value, which is then empty; only the revision is of use. */
	readonly withoutValue?: boolean;
}

export interface SwapOptions extends CallOptions {
	/** Binds the key to this lease. */
	readonly lease?: string;
}

export type WatchEvent =
	| { readonly kind: 'put'; readonly entry: KeyValueEntry }
	| { readonly kind: 'delete'; readonly key: string; readonly revision: number }
	/** The watch missed events or lost its connection: the watcher must read the keys again. */
	| { readonly kind: 'gap'; readonly message: string };

/** Operations of the key-value service. Each invocation counts as one call. */
export interface KeyValueStore {
	read(key: string, options?: ReadOptions): Promise<Result<KeyValueEntry | undefined, KeyValueError>>;
	/** Reads up to `limit` keys under `prefix`, in key order, from `startAfter` on. */
	list(
		prefix: string,
		options?: CallOptions & { readonly limit?: number; readonly startAfter?: string },
	): Promise<Result<readonly KeyValueEntry[], KeyValueError>>;
	/** Writes `value` if the key is at `expectedRevision`; 0 means that the key must be absent. */
	swap(
		key: string,
		expectedRevision: number,
		value: string,
		options?: SwapOptions,
	): Promise<Result<SwapResult, KeyValueError>>;
	/** Deletes the key if it is at `expectedRevision`. */
	remove(
		key: string,
		expectedRevision: number,
		options?: CallOptions,
	): Promise<Result<SwapResult, KeyValueError>>;
	grantLease(ttlMs: number, options?: CallOptions): Promise<Result<Lease, KeyValueError>>;
	renewLease(lease: Lease, options?: CallOptions): Promise<Result<Lease, KeyValueError>>;
	revokeLease(leaseId: string, options?: CallOptions): Promise<Result<void, KeyValueError>>;
	/** Watches `prefix`. Reconnects automatically with back-off and emits a `gap` event after every loss. */
	watch(prefix: string, onEvent: (event: WatchEvent) => void): Disposable;
}
