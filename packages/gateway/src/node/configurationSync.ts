/** Keeps the configuration up to date: watches the store, and fetches newer versions from peers if it is late. */
import type { Disposable } from '@papayawell/core';
import type { ActiveConfiguration } from '../common/activeConfiguration.js';
import type { EvacuationUpdate } from '../common/evacuatedZones.js';
import type { EventLog } from '../common/eventLog.js';
import type { ConfigurationReadResult, MetadataStore } from '../common/metadataStore.js';
import { describeError, StoreError } from '../common/metadataStore.js';
import type { StorePosition } from '../common/storePosition.js';

/** Back-off after a failed call; doubles up to the maximum. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 500;
/** Maximum back-off before the first configuration, while no request can be served. */
const MAX_STARTUP_BACKOFF_MS = 200;
/** Random share of a back-off, so that instances do not call at the same time. */
const BACKOFF_JITTER = 0.5;
/** Poll interval while the store holds no configuration and states no revision to watch from. */
const EMPTY_STORE_POLL_INTERVAL_MS = 150;
/** Time in which the store may deliver a newer version before it is fetched from a peer. */
const PEER_FETCH_DELAY_MS = 100;

/** Watch time-out of the first instances. Short, since a watch whose connection has gone silent is never answered. */
const SHORT_WATCH_TIMEOUT_MS = 1000;
/** Watch time-out of the others, to save calls: the first instances gossip a change to them in the meantime. */
const LONG_WATCH_TIMEOUT_MS = 20_000;
const SHORT_WATCH_RANKS = 4;
/** Watch time-out after a failed call: tells at once whether the store answers, and what it has. */
const TRIAL_WATCH_TIMEOUT_MS = 0;

export interface ConfigurationSyncParts {
	readonly store: MetadataStore;
	readonly activeConfiguration: ActiveConfiguration;
	readonly log: EventLog;
	/** Rank of this instance among those that serve. */
	readonly readOwnRank: () => number;
	/** Called with what the store reports of evacuated zones, before the configuration of the same call is adopted. */
	readonly onEvacuationsRead?: (update: EvacuationUpdate, position: StorePosition) => void;
	/** Fetches the text of the configuration in force at a peer; undefined if the peer does not answer. */
	readonly fetchFromPeer: (controlAddress: string) => Promise<string | undefined>;
}

export class ConfigurationSync implements Disposable {
	private readonly abortController = new AbortController();
	private isFetching = false;
	private hasStoreFailed = false;
	/** Ends the long watch that waits; undefined while none does. */
	private longWatch: AbortController | undefined;

	constructor(private readonly parts: ConfigurationSyncParts) {}

	public start(): void {
		void this.run();
	}

	/** Called periodically: replaces a long watch, which may not be answered, once the others rely on this instance. */
	public tick(): void {
		if (this.isAmongFirst()) {
			this.longWatch?.abort();
		}
	}

	/** Handles the version that a peer has in force: fetches it if it is newer. */
	public handlePeerVersion(controlAddress: string, version: number): void {
		if (version > this.parts.activeConfiguration.version && !this.isFetching) {
			this.isFetching = true;
			void this.fetchFromPeer(controlAddress, version).finally(() => {
				this.isFetching = false;
			});
		}
	}

	/** Whether the last call to the store failed. */
	public get isStoreUnreachable(): boolean {
		return this.hasStoreFailed;
	}

	public dispose(): void {
		this.abortController.abort();
		this.longWatch?.abort();
	}

	private async fetchFromPeer(controlAddress: string, version: number): Promise<void> {
		const { activeConfiguration } = this.parts;
		if (activeConfiguration.version > 0) {
			await sleep(PEER_FETCH_DELAY_MS);
		}
		if (activeConfiguration.version >= version) {
			return;
		}
		const encoded = await this.parts.fetchFromPeer(controlAddress);
		const read = encoded === undefined ? undefined : this.parts.store.decodeConfiguration(encoded);
		if (read !== undefined) {
			activeConfiguration.tryAdopt(read, 'peer');
		}
	}

	private async run(): Promise<void> {
		const { signal } = this.abortController;
		let position: StorePosition | undefined;
		let backoffMs = INITIAL_BACKOFF_MS;
		while (!signal.aborted) {
			try {
				position = await this.readNext(position, signal);
				backoffMs = INITIAL_BACKOFF_MS;
				this.updateStoreStatus(undefined);
			} catch (error) {
				position = isPositionLost(error) ? undefined : position;
				this.updateStoreStatus(error);
				await sleep(backoffMs * (1 - BACKOFF_JITTER * Math.random()));
				const maxBackoffMs =
					this.parts.activeConfiguration.version === 0 ? MAX_STARTUP_BACKOFF_MS : MAX_BACKOFF_MS;
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
			}
		}
	}

	/** Reads the configuration, or watches for one after `position`; returns the position to continue from. */
	private async readNext(
		position: StorePosition | undefined,
		signal: AbortSignal,
	): Promise<StorePosition | undefined> {
		const { store, activeConfiguration } = this.parts;
		const result =
			position === undefined ? await store.readConfiguration(signal) : await this.watch(position, signal);
		if (result === undefined) {
			return position;
		}
		if (result.evacuations !== undefined) {
			this.parts.onEvacuationsRead?.(result.evacuations, result.position);
		}
		if (result.decoded !== undefined) {
			activeConfiguration.tryAdopt(result.decoded, 'store');
		}
		if (result.position.revision === 0) {
			// Without a revision of the store there is nothing to watch from.
			await sleep(EMPTY_STORE_POLL_INTERVAL_MS);
			return undefined;
		}
		return result.position;
	}

	/** Returns undefined if the watch is to be replaced by a shorter one. */
	private async watch(
		position: StorePosition,
		signal: AbortSignal,
	): Promise<ConfigurationReadResult | undefined> {
		const { store } = this.parts;
		if (this.hasStoreFailed) {
			return store.watchConfiguration(position, TRIAL_WATCH_TIMEOUT_MS, signal);
		}
		if (this.isAmongFirst()) {
			return store.watchConfiguration(position, SHORT_WATCH_TIMEOUT_MS, signal);
		}
		const longWatch = new AbortController();
		this.longWatch = longWatch;
		try {
			return await store.watchConfiguration(position, LONG_WATCH_TIMEOUT_MS, longWatch.signal);
		} catch (error) {
			if (longWatch.signal.aborted) {
				return undefined;
			}
			throw error;
		} finally {
			this.longWatch = undefined;
		}
	}

	private isAmongFirst(): boolean {
		return this.parts.readOwnRank() < SHORT_WATCH_RANKS;
	}

	private updateStoreStatus(error: unknown): void {
		const isLost = error !== undefined && !isPositionLost(error);
		if (isLost !== this.hasStoreFailed) {
			this.hasStoreFailed = isLost;
			this.parts.log.write('state', isLost ? 'storeLost' : 'storeRegained', {
				user: 'configuration',
				version: this.parts.activeConfiguration.version,
				detail: describeError(error),
			});
		}
	}
}

function sleep(durationMs: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Whether the store answers, but can't continue from the position, so that a full read is required. */
function isPositionLost(error: unknown): boolean {
	return error instanceof StoreError && (error.kind === 'compacted' || error.kind === 'restored');
}
