/**
 * Keeps the target list up to date. One instance reads the store for the whole fleet: each instance reads only if
 * its list has not been confirmed, by its own read or by a peer, for a time that grows with its rank.
 */
import type { Disposable } from '@papayawell/core';
import type { TargetStart } from '../common/targetStarts.js';
import type { EventLog } from '../common/eventLog.js';
import type { MetadataStore } from '../common/metadataStore.js';
import { describeError, StoreError } from '../common/metadataStore.js';
import { comparePositions } from '../common/storePosition.js';
import type { StorePosition } from '../common/storePosition.js';
import type { ReadColdness } from '../common/targetListDocument.js';
import { decodeTargetList } from '../common/targetListDocument.js';
import type { TargetRecord } from '../common/targetRecord.js';
import type {
	ListedColdness,
	ListedTargets,
	ListSource,
	TargetView,
	TargetListChange,
} from '../common/targetView.js';
import { isEmptyChange } from '../common/targetView.js';

/** Age at which the first instance reads the list again. A third of the shortest time that a target drains, 2 s. */
const REFRESH_AGE_MS = 650;
/** Additional age per rank, so that instances of lower rank read first. */
const RANK_DELAY_MS = 200;
const MAX_DELAYED_RANK = 4;
/**
 * Back-off after a failed read; doubles up to the maximum. The grace period of missing targets begins with the first read
 * after an outage, so a longer one would keep targets that leave later.
 */
const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 800;
/** Maximum back-off before the first list, while no request can be served. */
const MAX_STARTUP_BACKOFF_MS = 200;

/** What changed the targets: a list, the end of a grace period, or the announcement of a target that it leaves. */
export type TargetChangeSource = ListSource | 'expiry' | 'response' | 'gossip';

/** The list of targets that a peer has. */
export interface PeerList extends StorePosition {
	readonly digest: number;
	/** Time since the store confirmed the list, in ms. */
	readonly ageMs: number;
}

export interface TargetListSyncParts {
	readonly store: MetadataStore;
	readonly view: TargetView;
	readonly log: EventLog;
	readonly readOwnRank: () => number;
	readonly onDidChange: (change: TargetListChange, source: TargetChangeSource) => void;
	/**
	 * Called after a list was applied, with what its entries state of cold targets.
	 * @param ageMs time since the entries were read from the store
	 */
	readonly onColdnessListed: (coldness: readonly ListedColdness[], ageMs: number) => void;
	/** Fetches the target list of a peer; undefined if the peer does not answer. */
	readonly fetchFromPeer: (controlAddress: string) => Promise<string | undefined>;
}

export class TargetListSync implements Disposable {
	private readonly abortController = new AbortController();
	private isReading = false;
	private isFetching = false;
	private backoffMs = 0;
	private backoffUntilMs = 0;
	private isStoreUnreachable = false;
	/** What the entries of the newest list state of cold targets, as this instance or a peer read them. */
	private readColdness:
		{ readonly entries: readonly ListedColdness[]; readonly readAtMs: number } | undefined;

	constructor(private readonly parts: TargetListSyncParts) {}

	/** Called periodically: reads the store if the list is too old, and expires entries that are no longer listed. */
	public tick(nowMs: number): void {
		const { view, readOwnRank } = this.parts;
		this.publishChange(view.expire(nowMs), 'expiry');
		if (this.isReading || nowMs < this.backoffUntilMs) {
			return;
		}
		const dueAgeMs = REFRESH_AGE_MS + RANK_DELAY_MS * Math.min(MAX_DELAYED_RANK, readOwnRank());
		if (view.computeAge(nowMs) >= dueAgeMs) {
			this.isReading = true;
			void this.read().finally(() => {
				this.isReading = false;
			});
		}
	}

	/**
	 * Handles the state of a peer's list: an equal list confirms this one, a different and newer one is fetched. A list
	 * that was read before the store was restored neither confirms nor replaces one that was read after it.
	 */
	public handlePeerList(controlAddress: string, peer: PeerList, nowMs: number): void {
		const { view } = this.parts;
		const { list } = view;
		if (peer.revision === 0 || (list !== undefined && peer.era < list.era)) {
			return;
		}
		if (peer.era === list?.era && peer.digest === view.digest) {
			view.recordConfirmation(nowMs - peer.ageMs);
			return;
		}
		const isNewer =
			list === undefined ||
			peer.era > list.era ||
			(comparePositions(peer, list) > 0 && peer.ageMs < view.computeAge(nowMs));
		if (isNewer && !this.isFetching) {
			this.isFetching = true;
			void this.fetch(controlAddress).finally(() => {
				this.isFetching = false;
			});
		}
	}

	/** Adopts the announcements of targets that they leave, which a peer has received. */
	public adoptLeaving(leaving: readonly TargetStart[], nowMs: number): void {
		for (const target of leaving) {
			this.publishChange(this.parts.view.recordLeaving(target, nowMs), 'gossip');
		}
	}

	/** Adopts the starts whose entries a peer knows to be removed. */
	public adoptRemoved(removed: readonly TargetStart[], nowMs: number): void {
		if (removed.length > 0) {
			this.publishChange(this.parts.view.recordRemoved(removed, nowMs), 'gossip');
		}
	}

	/** Records the announcement of a target, in one of its responses, that it leaves. */
	public recordLeaving({ id, startedAtMs }: TargetRecord): void {
		this.publishChange(this.parts.view.recordLeaving([id, startedAtMs], performance.now()), 'response');
	}

	/** Describes what the entries state of cold targets, for a peer that fetches the list. */
	public describeColdness(nowMs: number): ReadColdness | undefined {
		const { readColdness } = this;
		return readColdness === undefined
			? undefined
			: { entries: readColdness.entries, ageMs: Math.round(nowMs - readColdness.readAtMs) };
	}

	public dispose(): void {
		this.abortController.abort();
	}

	private async fetch(controlAddress: string): Promise<void> {
		const text = await this.parts.fetchFromPeer(controlAddress);
		if (text === undefined) {
			return;
		}
		const fetched = decodeTargetList(text);
		if (fetched === undefined) {
			this.parts.log.write('state', 'unreadableTargetList', { controlAddress, bytes: text.length });
			return;
		}
		this.apply(fetched.list, 'peer', performance.now() - fetched.ageMs);
		if (fetched.coldness !== undefined) {
			this.applyColdness(fetched.coldness.entries, performance.now() - fetched.coldness.ageMs);
		}
	}

	private async read(): Promise<void> {
		const { store } = this.parts;
		const startedAtMs = performance.now();
		try {
			const { coldness, ...list } = await store.listTargets(this.abortController.signal);
			this.backoffMs = 0;
			this.updateStoreStatus(undefined);
			this.apply(list, 'store', startedAtMs);
			this.applyColdness(coldness ?? [], startedAtMs);
		} catch (error) {
			if (error instanceof StoreError && error.kind === 'restored') {
				// The store answers; the next tick reads the list of the new era.
				return;
			}
			this.parts.view.recordFailedRead(performance.now());
			const maxBackoffMs = this.parts.view.list === undefined ? MAX_STARTUP_BACKOFF_MS : MAX_BACKOFF_MS;
			this.backoffMs = Math.min(maxBackoffMs, Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2));
			this.backoffUntilMs = performance.now() + this.backoffMs;
			this.updateStoreStatus(error);
		}
	}

	private applyColdness(entries: readonly ListedColdness[], readAtMs: number): void {
		if (entries.length > 0 && readAtMs > (this.readColdness?.readAtMs ?? -Infinity)) {
			this.readColdness = { entries, readAtMs };
			this.parts.onColdnessListed(entries, performance.now() - readAtMs);
		}
	}

	private apply(list: ListedTargets, source: ListSource, confirmedAtMs: number): void {
		this.publishChange(this.parts.view.apply(list, source, confirmedAtMs, performance.now()), source);
	}

	private publishChange(change: TargetListChange, source: TargetChangeSource): void {
		if (isEmptyChange(change)) {
			return;
		}
		const { log, view, onDidChange } = this.parts;
		log.write('state', 'targetsChanged', {
			source,
			era: view.list?.era,
			revision: view.list?.revision,
			added: change.added.map(({ id }) => id).join(' '),
			leaving: change.changed
				.filter(({ isLeaving }) => isLeaving)
				.map(({ id }) => id)
				.join(' '),
			removed: change.removed.map(({ id }) => id).join(' '),
			targets: view.records.length,
		});
		onDidChange(change, source);
	}

	private updateStoreStatus(error: unknown): void {
		const isLost = error !== undefined;
		if (isLost !== this.isStoreUnreachable) {
			this.isStoreUnreachable = isLost;
			this.parts.log.write('state', isLost ? 'storeLost' : 'storeRegained', {
				user: 'targets',
				targetsAgeMs:
					this.parts.view.list === undefined
						? undefined
						: Math.round(this.parts.view.computeAge(performance.now())),
				detail: describeError(error),
			});
		}
	}
}
