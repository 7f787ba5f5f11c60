/**
 * Model of a fleet that places prompts on engines, without a network: the real placement and the real knowledge of
 * caches at each instance, gossip in rounds of the real interval and fan-out, and engines with a least recently used
 * cache. Chats return to any instance, as callers choose one at random.
 */
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import type { TargetLoad } from '../../src/common/peerState.js';
import { PromptCacheSync } from '../../src/node/promptCacheSync.js';
import { buildPromptChain, countTokens } from '../../src/common/promptChain.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { makeRecord } from '../common/fixtures.js';

export interface FleetModelOptions {
	readonly instances: number;
	readonly engines: number;
	readonly slots: number;
	readonly cacheTokens: number;
	/** Requests of the whole fleet. */
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
}

export interface FleetModelResult {
	/** Tokens that engines read, of all parts. */
	readonly readTokens: number;
	/** Tokens of first parts that an engine read although another had read them. */
	readonly rootsReadAgain: number;
	/** Tokens of later shared parts that an engine read although another had read them. */
	readonly chatsReadAgain: number;
	/** Tokens fetched from another engine. */
	readonly fetchedTokens: number;
	/** Highest number of requests on one engine, relative to the bound of 2 x mean + 3. */
	readonly highestLoadShare: number;
	/** Mean time until the first token, in ms. */
	readonly meanFirstTokenMs: number;
	/** Share of the requests whose first token is later than the latency objective. */
	readonly lateShare: number;
}

const TICK_MS = 100;
const PREFILL_TOKENS_PER_MS = 30;
const ROOTS = 58;
const MEAN_ROOT_TOKENS = 1200;
const MEAN_CHAT_TOKENS = 3200;
const MIN_CHAT_TOKENS = 100;
const MAX_CHAT_TOKENS = 18_000;
const OWN_TOKENS = 400;
/** Share of the requests that begin a new chat; the others return to a recent one. */
const NEW_CHAT_SHARE = 0.42;
const RECENT_CHATS_S = 8;
const MIN_DECODE_MS = 200;
const DECODE_SPREAD_MS = 1300;
const OBJECTIVE_MS = 1000;
const NETWORK_MS = 2;

interface Part {
	readonly id: string;
	readonly tokens: number;
}

interface Chat {
	readonly root: Part;
	readonly part: Part;
}

interface Instance {
	readonly table: TargetTable;
	readonly prompts: PromptCacheSync;
	readonly peerLoads: Map<number, readonly TargetLoad[]>;
	nextRecipient: number;
}

interface Engine {
	readonly cache: Map<string, number>;
	cachedTokens: number;
	prefillFreeAtMs: number;
	running: number;
}

export function runFleetModel(options: FleetModelOptions): FleetModelResult {
	return new FleetModel(options).run();
}

class FleetModel {
	private readonly random: () => number;
	private readonly instances: Instance[] = [];
	private readonly engines = new Map<string, Engine>();
	private readonly roots: Part[] = [];
	private readonly recentChats: Chat[] = [];
	private readonly readersByPart = new Map<string, Set<string>>();
	/** Pending work by the tick in which it is due. */
	private readonly agenda = new Map<number, (() => void)[]>();
	private nowMs = 0;
	private chatCount = 0;
	private running = 0;
	private readTokens = 0;
	private rootsReadAgain = 0;
	private chatsReadAgain = 0;
	private fetchedTokens = 0;
	private highestLoadShare = 0;
	private firstTokenMs = 0;
	private late = 0;
	private requests = 0;

	constructor(private readonly options: FleetModelOptions) {
		this.random = createRandom(options.seed);
		const records = Array.from({ length: options.engines }, (_, index) =>
			makeRecord(`engine-${index}`, { slots: options.slots }),
		);
		for (const { id } of records) {
			this.engines.set(id, { cache: new Map(), cachedTokens: 0, prefillFreeAtMs: 0, running: 0 });
		}
		for (let index = 0; index < options.instances; index++) {
			const table = new TargetTable('a');
			table.applyChange({ added: records, changed: [], removed: [] });
			this.instances.push({
				table,
				prompts: this.makePrompts(table),
				peerLoads: new Map(),
				nextRecipient: 0,
			});
		}
		for (let index = 0; index < ROOTS; index++) {
			this.roots.push({
				id: `a${index}`,
				tokens: Math.round(MEAN_ROOT_TOKENS * (0.2 + 1.6 * this.random())),
			});
		}
	}

	public run(): FleetModelResult {
		for (const index of this.instances.keys()) {
			this.schedule(this.random() * GOSSIP_INTERVAL_MS, () => {
				this.sendGossip(index);
			});
		}
		const perTick = (this.options.requestsPerSecond * TICK_MS) / 1000;
		let due = 0;
		for (let tick = 0; tick * TICK_MS < this.options.durationMs; tick++) {
			this.nowMs = tick * TICK_MS;
			for (const work of this.agenda.get(tick) ?? []) {
				work();
			}
			this.agenda.delete(tick);
			for (const { table, peerLoads } of this.instances) {
				table.setPeerLoads([...peerLoads.values()]);
			}
			for (due += perTick; due >= 1; due--) {
				this.serve();
			}
			this.observeLoads();
		}
		const { readTokens, rootsReadAgain, chatsReadAgain, fetchedTokens, highestLoadShare } = this;
		const meanFirstTokenMs = this.firstTokenMs / this.requests;
		const lateShare = this.late / this.requests;
		return {
			readTokens,
			rootsReadAgain,
			chatsReadAgain,
			fetchedTokens,
			highestLoadShare,
			meanFirstTokenMs,
			lateShare,
		};
	}

	private makePrompts(table: TargetTable): PromptCacheSync {
		return new PromptCacheSync({
			targets: table,
			log: { write: () => undefined },
			getCacheCapacity: () => this.options.cacheTokens,
			codec: { cacheListPath: '', decodeCacheList: () => [] },
			fetchFromPeer: () => Promise.resolve(undefined),
			fetchDocument: () => Promise.resolve(undefined),
			onDidChangeKnowledge: () => undefined,
			readOwnRank: () => 0,
			countPeers: () => this.options.instances - 1,
		});
	}

	private serve(): void {
		const chat = this.pickChat();
		const own = { id: `f${this.requests}`, tokens: OWN_TOKENS };
		const parts = [chat.root, chat.part, own];
		const prompt = buildPromptChain(parts);
		const instance = this.pick(this.instances);
		const placement = instance.table.choose(
			{
				service: 'engines',
				prompt,
				objectiveMs: OBJECTIVE_MS,
				hasCacheTransfer: true,
				excluded: new Set(),
				allowed: undefined,
			},
			this.nowMs,
		);
		if (placement === undefined) {
			throw new RangeError('The model has no engine.');
		}
		const { target, cacheSource } = placement;
		const engine = this.engines.get(target.record.id);
		const source = cacheSource === undefined ? undefined : this.engines.get(cacheSource.record.id);
		if (engine === undefined) {
			throw new RangeError(`The model has no engine ${target.record.id}.`);
		}
		const unread = this.readPrompt(target.record.id, engine, source, parts);
		const prefillTokens = countTokens(prompt) - placement.cachedTokens;
		this.requests += 1;
		this.running += 1;
		engine.running += 1;
		target.recordRequestSent(this.nowMs, this.options.durationMs);
		target.ownPrefillTokens += prefillTokens;
		instance.prompts.recordPlacement(target, prompt, this.nowMs);
		const firstTokenAtMs = Math.max(this.nowMs, engine.prefillFreeAtMs) + unread / PREFILL_TOKENS_PER_MS;
		engine.prefillFreeAtMs = firstTokenAtMs;
		this.firstTokenMs += firstTokenAtMs - this.nowMs;
		this.late += firstTokenAtMs - this.nowMs > OBJECTIVE_MS ? 1 : 0;
		this.schedule(firstTokenAtMs - this.nowMs, () => {
			target.ownPrefillTokens -= prefillTokens;
		});
		this.schedule(firstTokenAtMs - this.nowMs + MIN_DECODE_MS + DECODE_SPREAD_MS * this.random(), () => {
			target.recordRequestEnded();
			engine.running -= 1;
			this.running -= 1;
		});
	}

	/** Reads a prompt into the cache of an engine; returns the tokens that it neither had nor fetched. */
	private readPrompt(id: string, engine: Engine, source: Engine | undefined, parts: readonly Part[]): number {
		let unread = 0;
		let isCached = true;
		let isFetched = source !== undefined;
		let key = '';
		for (const [index, { id: part, tokens }] of parts.entries()) {
			key = `${key}/${part}`;
			const readers = this.readersByPart.get(key) ?? new Set();
			isCached &&= engine.cache.has(key);
			isFetched &&= source?.cache.has(key) === true;
			if (!isCached && isFetched) {
				this.fetchedTokens += tokens;
			} else if (!isCached) {
				unread += tokens;
				this.rootsReadAgain += index === 0 && readers.size > 0 ? tokens : 0;
				this.chatsReadAgain += index > 0 && readers.size > 0 ? tokens : 0;
			}
			readers.add(id);
			this.readersByPart.set(key, readers);
			this.addCachedPart(engine, key, tokens);
		}
		this.readTokens += unread;
		return unread;
	}

	private addCachedPart(engine: Engine, key: string, tokens: number): void {
		if (engine.cache.delete(key)) {
			engine.cachedTokens -= tokens;
		}
		engine.cache.set(key, tokens);
		engine.cachedTokens += tokens;
		for (const [oldest, size] of engine.cache) {
			if (engine.cachedTokens <= 0.8 * this.options.cacheTokens) {
				return;
			}
			engine.cache.delete(oldest);
			engine.cachedTokens -= size;
		}
	}

	private sendGossip(index: number): void {
		const instance = this.instances[index];
		if (instance === undefined) {
			return;
		}
		const loads: TargetLoad[] = [];
		for (const { record, ownRequests, ownPrefillTokens } of instance.table.all) {
			if (ownRequests > 0) {
				loads.push([record.id, ownRequests, ownPrefillTokens]);
			}
		}
		const prompts = instance.prompts.listRecentPrompts(this.nowMs);
		const peers = this.options.instances - 1;
		const recipients = Math.min(peers, GOSSIP_FAN_OUT);
		for (let step = 0; step < recipients; step++) {
			const offset = 1 + ((instance.nextRecipient + step) % peers);
			const peer = this.instances[(index + offset) % this.options.instances];
			this.schedule(NETWORK_MS, () => {
				peer?.peerLoads.set(index, loads);
				peer?.prompts.adoptPrompts(prompts);
			});
		}
		instance.nextRecipient = (instance.nextRecipient + recipients) % Math.max(1, peers);
		this.schedule(GOSSIP_INTERVAL_MS, () => {
			this.sendGossip(index);
		});
	}

	private observeLoads(): void {
		const mean = this.running / this.options.engines;
		for (const { running } of this.engines.values()) {
			this.highestLoadShare = Math.max(this.highestLoadShare, running / (2 * mean + 3));
		}
	}

	private pickChat(): Chat {
		const maxRecent = Math.ceil(this.options.requestsPerSecond * NEW_CHAT_SHARE * RECENT_CHATS_S);
		if (this.recentChats.length > 0 && this.random() > NEW_CHAT_SHARE) {
			return this.pick(this.recentChats);
		}
		// Roots differ much in use: the first gets about a quarter of the chats.
		const root = this.roots[Math.floor(ROOTS * this.random() ** 3)] ?? this.pick(this.roots);
		this.chatCount += 1;
		const part = {
			id: `b${this.chatCount}`,
			tokens: this.pickChatTokens(),
		};
		const chat = { root, part };
		this.recentChats.push(chat);
		this.recentChats.splice(0, this.recentChats.length - maxRecent);
		return chat;
	}

	/** Most chats are short, and a few hold a whole dossier. */
	private pickChatTokens(): number {
		const tokens = -Math.log(1 - this.random()) * MEAN_CHAT_TOKENS;
		return Math.round(Math.min(MAX_CHAT_TOKENS, Math.max(MIN_CHAT_TOKENS, tokens)));
	}

	private schedule(delayMs: number, work: () => void): void {
		const tick = Math.floor(this.nowMs / TICK_MS) + Math.max(1, Math.round(delayMs / TICK_MS));
		const works = this.agenda.get(tick) ?? [];
		works.push(work);
		this.agenda.set(tick, works);
	}

	private pick<T>(items: readonly T[]): T {
		const item = items[Math.floor(this.random() * items.length)];
		if (item === undefined) {
			throw new RangeError('Cannot pick from an empty list.');
		}
		return item;
	}
}

/** Creates a generator of uniform numbers in [0, 1). */
function createRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
	};
}
