/**
 * Synchronizes the instances' knowledge of the engines' prefix caches. New entries are gossiped; an instance that
 * knows much less than a peer, as after a start, fetches a snapshot from it. If no peer knows the caches, as after the
 * loss of all instances, one instance queries the engines.
 */
import type { EngineCodec } from '../common/engineCodec.js';
import type { EventLog } from '../common/eventLog.js';
import type { PeerState, PromptUpdate } from '../common/peerState.js';
import { PromptKnowledge } from '../common/peerState.js';
import type { PromptChain } from '../common/promptChain.js';
import { hashPart } from '../common/promptChain.js';
import { PromptUpdateBuffer, decodeUpdateLinks } from '../common/promptUpdateBuffer.js';
import type { EngineCacheSnapshot } from '../common/prefixCacheSnapshot.js';
import { decodePrefixCacheSnapshot, encodePrefixCacheSnapshot } from '../common/prefixCacheSnapshot.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';

/** A snapshot is fetched if the peer knows this many times the local number of tokens, and the gain below on top. */
const MIN_SNAPSHOT_RATIO = 1.25;
/** About 0.5 s of prefill on one engine, which a snapshot of a few KB saves. */
const MIN_SNAPSHOT_GAIN_TOKENS = 15_000;
/** Minimum time between two snapshots; a difference below the ratio above is not worth more transfers. */
const SNAPSHOT_INTERVAL_MS = 3000;
/** Snapshot interval after one that added little, as from a peer that does not know yet that engines are gone. */
const LOW_GAIN_SNAPSHOT_INTERVAL_MS = 15_000;
/** Delay of the next snapshot after a failed fetch. */
const SNAPSHOT_RETRY_MS = 500;

/** Time in which a starting instance learns of peers that know more: they answer its first datagram at once. */
const PEER_DISCOVERY_MS = 50;
/** Additional delay per rank, in which instances of lower rank can gossip that they query the engines. */
const RANK_DELAY_MS = 150;
const MAX_DELAYED_RANK = 20;
/** How long to wait for a peer that queries the engines; several hundred engines answer within a second. */
const PEER_QUERY_TIMEOUT_MS = 2000;
/** Maximum number of concurrent queries to engines. */
const MAX_CONCURRENT_QUERIES = 8;
/** An engine lists its cache within a few ms, or later if it is busy. */
const ENGINE_QUERY_TIMEOUT_MS = 500;
/** Smaller parts of a cache list are mostly the last parts of prompts, which are not reused. */
const MIN_LISTED_PART_TOKENS = 256;

export interface PromptCacheSyncParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	/** Returns the capacity of an engine's prefix cache in tokens. */
	readonly getCacheCapacity: (target: TargetState) => number;
	readonly codec: EngineCodec;
	/** Fetches the snapshot of a peer; undefined if the peer does not answer. */
	readonly fetchFromPeer: (controlAddress: string) => Promise<string | undefined>;
	/** Fetches a document from a target; undefined, after a call of `onFailure`, if the fetch fails. */
	readonly fetchDocument: (
		target: TargetState,
		path: string,
		timeoutMs: number,
		onFailure: (detail: string) => void,
	) => Promise<string | undefined>;
	/** Called when this instance starts to query the engines, or knows their caches, so that peers learn it at once. */
	readonly onDidChangeKnowledge: () => void;
	/** Rank of this instance among all instances. */
	readonly readOwnRank: () => number;
	readonly countPeers: () => number;
	/** Returns the time between two states to the same peer in ms, by the number of peers; by default that without relays. */
	readonly computeGossipInterval?: (peers: number) => number;
}

/** Knowledge of the prefix caches that a peer advertises. */
export type PeerPromptState = Pick<PeerState, 'instance' | 'promptTokens' | 'promptKnowledge'>;

export class PromptCacheSync {
	private readonly recentPrompts: PromptUpdateBuffer;
	private nextFetchMs = 0;
	private isFetching = false;
	/** When configuration and targets were first known. Nothing can be adopted before. */
	private readyAtMs: number | undefined;
	/** The last peer with full knowledge that was seen before this instance was ready. */
	private informedPeer: PeerPromptState | undefined;
	private ownKnowledge: PromptKnowledge = PromptKnowledge.Own;
	/** Until then this instance waits for a peer that queries the engines. */
	private peerQueryDeadlineMs = -Infinity;

	constructor(private readonly parts: PromptCacheSyncParts) {
		this.recentPrompts = new PromptUpdateBuffer(parts.computeGossipInterval);
	}

	/** Knowledge of this instance about the prompt parts that engines had cached before it started. */
	public get knowledge(): PromptKnowledge {
		return this.ownKnowledge;
	}

	/** Called periodically once configuration and targets are known: queries the engines if no peer knows their caches. */
	public tick(nowMs: number): void {
		if (this.ownKnowledge !== PromptKnowledge.Own || this.isFetching) {
			return;
		}
		if (this.readyAtMs === undefined) {
			this.readyAtMs = nowMs;
			if (this.informedPeer !== undefined) {
				this.handlePeerState(this.informedPeer, nowMs);
			}
		}
		const rank = Math.min(MAX_DELAYED_RANK, this.parts.readOwnRank());
		const dueAtMs = this.readyAtMs + PEER_DISCOVERY_MS + rank * RANK_DELAY_MS;
		if (nowMs >= Math.max(dueAtMs, this.peerQueryDeadlineMs)) {
			this.setKnowledge(PromptKnowledge.Querying);
			void this.fetchCacheLists();
		}
	}

	/** Tokens of all shared parts that engines are known to have cached. */
	public countCachedTokens(): number {
		let tokens = 0;
		for (const { prefixCache } of this.parts.targets.all) {
			tokens += prefixCache.sharedTokens;
		}
		return tokens;
	}

	/** Records that this instance sent a prompt to a target. */
	public recordPlacement(target: TargetState, prompt: PromptChain, nowMs: number): void {
		if (target.prefixCache.recordPrompt(prompt, this.parts.getCacheCapacity(target))) {
			this.recentPrompts.add(target.record.id, prompt, this.parts.countPeers(), nowMs);
		}
	}

	public listRecentPrompts(nowMs: number): readonly PromptUpdate[] {
		return this.recentPrompts.list(nowMs);
	}

	/** Adopts the prompts that a peer has placed recently. */
	public adoptPrompts(prompts: readonly PromptUpdate[]): void {
		for (const prompt of prompts) {
			const target = this.parts.targets.find(prompt.target);
			target?.prefixCache.addSharedLinks(decodeUpdateLinks(prompt), this.parts.getCacheCapacity(target));
		}
	}

	public encodeSnapshot(): string {
		return encodePrefixCacheSnapshot(this.parts.targets.all);
	}

	/** Handles the advertised knowledge of a peer: fetches its snapshot if it knows much more than this instance. */
	public handlePeerState(peer: PeerPromptState, nowMs: number): void {
		const { instance, promptKnowledge, promptTokens } = peer;
		const hasFullKnowledge = promptKnowledge === PromptKnowledge.Full;
		if (promptKnowledge === PromptKnowledge.Querying) {
			this.peerQueryDeadlineMs = nowMs + PEER_QUERY_TIMEOUT_MS;
		}
		if (this.readyAtMs === undefined) {
			this.informedPeer = hasFullKnowledge ? peer : this.informedPeer;
			return;
		}
		// Without full knowledge of its own, an instance waits for a peer that has it: the others know as little.
		const isWorthFetching =
			this.ownKnowledge === PromptKnowledge.Own
				? hasFullKnowledge
				: promptTokens > this.computeSnapshotThreshold();
		if (!isWorthFetching || this.isFetching || nowMs < this.nextFetchMs) {
			return;
		}
		this.isFetching = true;
		void this.fetch(instance.name, instance.controlAddress, hasFullKnowledge);
	}

	private computeSnapshotThreshold(): number {
		return this.countCachedTokens() * MIN_SNAPSHOT_RATIO + MIN_SNAPSHOT_GAIN_TOKENS;
	}

	private async fetch(name: string, controlAddress: string, hasFullKnowledge: boolean): Promise<void> {
		const text = await this.parts.fetchFromPeer(controlAddress);
		this.isFetching = false;
		const snapshot = text === undefined ? undefined : decodePrefixCacheSnapshot(text);
		const addedTokens = snapshot?.reduce((sum, parts) => sum + this.adoptCachedParts(parts), 0);
		this.nextFetchMs = performance.now() + chooseSnapshotDelay(addedTokens);
		if (snapshot !== undefined && hasFullKnowledge && this.ownKnowledge === PromptKnowledge.Own) {
			this.setKnowledge(PromptKnowledge.Full);
		}
		this.parts.log.write('state', snapshot === undefined ? 'promptsNotFetched' : 'promptsFetched', {
			peer: name,
			engines: snapshot?.length,
			addedTokens,
		});
	}

	private async fetchCacheLists(): Promise<void> {
		const engines = [...this.parts.targets.all].filter((target) => this.parts.getCacheCapacity(target) > 0);
		const remainingEngines = engines.values();
		let addedTokens = 0;
		const fetchRemainingLists = async (): Promise<void> => {
			for (const engine of remainingEngines) {
				const tokens = await this.fetchCacheList(engine);
				addedTokens += tokens;
			}
		};
		await Promise.all(Array.from({ length: MAX_CONCURRENT_QUERIES }, fetchRemainingLists));
		this.parts.log.write('state', 'promptsListed', { engines: engines.length, addedTokens });
		this.setKnowledge(PromptKnowledge.Full);
	}

	private setKnowledge(knowledge: PromptKnowledge): void {
		this.ownKnowledge = knowledge;
		this.parts.onDidChangeKnowledge();
	}

	private async fetchCacheList(engine: TargetState): Promise<number> {
		const { codec, fetchDocument, log, getCacheCapacity, targets } = this.parts;
		const reportFailure = (detail: string): void => {
			log.write('state', 'promptsNotListed', { target: engine.record.id, detail });
		};
		if (targets.isEvacuated(engine)) {
			reportFailure('the zone of the target is evacuated');
			return 0;
		}
		const text = await fetchDocument(engine, codec.cacheListPath, ENGINE_QUERY_TIMEOUT_MS, reportFailure);
		if (text === undefined) {
			return 0;
		}
		const parts = codec.decodeCacheList(text);
		if (parts === undefined) {
			reportFailure('the cache list cannot be decoded');
			return 0;
		}
		const links = parts
			.filter(({ tokens }) => tokens >= MIN_LISTED_PART_TOKENS)
			.map(({ id, tokens }) => ({ hash: hashPart(id), tokens }));
		return engine.prefixCache.addSharedLinks(links, getCacheCapacity(engine));
	}

	private adoptCachedParts({ target, startedAtMs, links }: EngineCacheSnapshot): number {
		const state = this.parts.targets.find(target);
		if (state?.record.startedAtMs !== startedAtMs) {
			return 0;
		}
		return state.prefixCache.addSharedLinks(links, this.parts.getCacheCapacity(state));
	}
}

/** @param addedTokens tokens that the last snapshot added; undefined if the fetch failed */
function chooseSnapshotDelay(addedTokens: number | undefined): number {
	if (addedTokens === undefined) {
		return SNAPSHOT_RETRY_MS;
	}
	return addedTokens < MIN_SNAPSHOT_GAIN_TOKENS ? LOW_GAIN_SNAPSHOT_INTERVAL_MS : SNAPSHOT_INTERVAL_MS;
}
