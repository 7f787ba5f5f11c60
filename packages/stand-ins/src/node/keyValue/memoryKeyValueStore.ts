/**
 * In-process key-value store with fault injection, for tests with fake timers: leases expire by
 * `performance.now()`. It has no HTTP interface; see `KeyValueStandIn` for that.
 */
import type {
	Disposable,
	KeyValueEntry,
	KeyValueError,
	KeyValueStore,
	Lease,
	Result,
	SwapResult,
	SwapOptions,
	WatchEvent,
} from '@papayawell/core';
import { Err, Ok, toDisposable } from '@papayawell/core';

/** Result of one call: it succeeds, is lost before or after taking effect, or is not sent. */
export type MemoryFault = 'ok' | 'lostBefore' | 'lostAfter' | 'unavailable';

export class MemoryKeyValueStore implements KeyValueStore {
	public readonly entries = new Map<string, KeyValueEntry>();
	/** Number of calls so far, including watches but not swaps that a fault keeps from taking effect. */
	public calls = 0;
	public swaps = 0;
	/** Faults of the next swaps of `faultKey`, one per swap. */
	public readonly swapFaults: MemoryFault[] = [];
	public faultKey = 'p/configuration';
	public isDown = false;
	/** Suppresses the put events of swaps; a test calls `deliver` instead. */
	public isWatchDeliveryPaused = false;
	/** Faults of the next calls of `grantLease`, of which only `lostAfter` has an effect. */
	public readonly leaseFaults: MemoryFault[] = [];
	private readonly leaseExpiryMs = new Map<string, number>();
	private readonly watchers = new Map<(event: WatchEvent) => void, string>();
	private revision = 0;

	public get watchCount(): number {
		return this.watchers.size;
	}

	public read(key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>> {
		return this.executeCall(() => this.entries.get(key));
	}

	public list(
		prefix: string,
		options: { readonly limit?: number; readonly startAfter?: string } = {},
	): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
		return this.executeCall(() =>
			[...this.entries.values()]
				.filter(({ key }) => key.startsWith(prefix) && key > (options.startAfter ?? ''))
				.sort((a, b) => (a.key < b.key ? -1 : 1))
				.slice(0, options.limit),
		);
	}

	public async swap(
		key: string,
		expectedRevision: number,
		value: string,
		options: SwapOptions = {},
	): Promise<Result<SwapResult, KeyValueError>> {
		this.swaps++;
		const fault = key === this.faultKey ? (this.swapFaults.shift() ?? 'ok') : 'ok';
		if (fault === 'unavailable' || fault === 'lostBefore') {
			return makeFailure(fault === 'lostBefore' ? 'unknown' : 'none');
		}
		const answer = await this.executeCall(() => this.put(key, expectedRevision, value, options.lease));
		return fault === 'lostAfter' ? makeFailure('unknown') : answer;
	}

	public remove(key: string, expectedRevision: number): Promise<Result<SwapResult, KeyValueError>> {
		return this.executeCall(() => {
			const current = this.entries.get(key);
			if (current?.revision !== expectedRevision) {
				return { kind: 'conflict', current };
			}
			this.entries.delete(key);
			this.deliver(key, { kind: 'delete', key, revision: ++this.revision });
			return { kind: 'swapped', revision: this.revision };
		});
	}

	public async grantLease(ttlMs: number): Promise<Result<Lease, KeyValueError>> {
		const grantedAtMs = performance.now();
		const answer = await this.executeCall(() => {
			const id = (++this.revision).toString(16);
			this.leaseExpiryMs.set(id, grantedAtMs + ttlMs);
			return { id, ttlMs, grantedAtMs };
		});
		return this.leaseFaults.shift() === 'lostAfter' ? makeFailure('unknown') : answer;
	}

	public renewLease(lease: Lease): Promise<Result<Lease, KeyValueError>> {
		const grantedAtMs = performance.now();
		this.expireLeases();
		if (!this.leaseExpiryMs.has(lease.id)) {
			return Promise.resolve(Err({ kind: 'rejected', effect: 'none', message: 'the lease has ended' }));
		}
		return this.executeCall(() => {
			this.leaseExpiryMs.set(lease.id, grantedAtMs + lease.ttlMs);
			return { ...lease, grantedAtMs };
		});
	}

	public revokeLease(leaseId: string): Promise<Result<void, KeyValueError>> {
		return this.executeCall(() => {
			this.removeLease(leaseId);
		});
	}

	public watch(prefix: string, onEvent: (event: WatchEvent) => void): Disposable {
		this.calls++;
		this.watchers.set(onEvent, prefix);
		return toDisposable(() => this.watchers.delete(onEvent));
	}

	/** Notifies every watcher of `key` of an event. */
	public deliver(key: string, event: WatchEvent): void {
		for (const [onEvent, prefix] of this.watchers) {
			if (key.startsWith(prefix)) {
				onEvent(event);
			}
		}
	}

	private put(key: string, expectedRevision: number, value: string, lease?: string): SwapResult {
		const current = this.entries.get(key);
		if ((current?.revision ?? 0) !== expectedRevision) {
			return { kind: 'conflict', current };
		}
		const entry = { key, value, revision: ++this.revision, ...(lease === undefined ? {} : { lease }) };
		this.entries.set(key, entry);
		if (!this.isWatchDeliveryPaused) {
			this.deliver(key, { kind: 'put', entry });
		}
		return { kind: 'swapped', revision: entry.revision };
	}

	private expireLeases(): void {
		for (const [id, endMs] of this.leaseExpiryMs) {
			if (performance.now() >= endMs) {
				this.removeLease(id);
			}
		}
	}

	private removeLease(id: string): void {
		this.leaseExpiryMs.delete(id);
		for (const entry of [...this.entries.values()].filter(({ lease }) => lease === id)) {
			this.entries.delete(entry.key);
			this.deliver(entry.key, { kind: 'delete', key: entry.key, revision: ++this.revision });
		}
	}

	private executeCall<T>(run: () => T): Promise<Result<T, KeyValueError>> {
		this.calls++;
		this.expireLeases();
		return Promise.resolve(this.isDown ? makeFailure('none') : Ok(run()));
	}
}

function makeFailure(effect: 'none' | 'unknown'): Result<never, KeyValueError> {
	return Err({ kind: 'unavailable', effect, message: 'down' });
}
