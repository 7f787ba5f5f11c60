/**
 * Model of a fleet that places prompts on engines, without a network: the real placement and the real knowledge of
 * caches at each instance, and gossip in rounds of the real interval and fan-out. Chats return to any instance, as
 * callers choose one at random.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import type { TargetLoad } from '../../src/common/peerState.js';
import { buildPromptChain, countTokens } from '../../src/common/promptChain.js';
import { PlacementAnnouncer } from '../../src/common/placementAnnouncer.js';
import type { Placement } from '../../src/common/placement.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { PromptCacheSync } from '../../src/node/promptCacheSync.js';
import { makeRecord } from '../common/fixtures.js';
import type { PromptSource } from './chatSource.js';
import { ChatSource, SharedPrefixSource, pick } from './chatSource.js';
import type { PartRead } from './modelEngine.js';
import { ModelEngine } from './modelEngine.js';

export interface FleetModelOptions {
	readonly instances: number;
	readonly engines: number;
	readonly slots: number;
	/** Memory of an engine in tokens. */
	readonly memoryTokens: number;
	/** Requests of the whole fleet. */
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly seed: number;
	/** Number of long shared prefixes; undefined for chats that return. */
	readonly sharedPrefixes?: number;
	readonly prefillTokensPerMs?: number;
	/** Availability zones of instances and engines; one by default. */
	readonly zones?: number;
	readonly savesZoneTraffic?: boolean;
	/** Whether engines report how slow they are. */
	readonly usesLoadReports?: boolean;
	/** Whether announcements of placements arrive. */
	readonly losesAnnouncements?: boolean;
	/** Whether engines fetch cached prompts from one another; true by default. */
	readonly hasCacheTransfer?: boolean;
	readonly objectiveMs?: number;
	/** Step of the model's time; shorter than the time in which a datagram arrives, if that matters. */
	readonly tickMs?: number;
}

export interface FleetModelResult {
	/** Tokens that engines prefilled, of all parts. */
	readonly readTokens: number;
	/** Tokens of first parts that an engine prefilled although another had read them. */
	readonly rootsReadAgain: number;
	/** Tokens of later shared parts that an engine prefilled although another had read them. */
	readonly chatsReadAgain: number;
	/** Highest number of requests on one engine, relative to the bound of 2 x mean + 3. */
	readonly highestLoadShare: number;
	/** Share of the requests whose first token is later than the latency objective. */
	readonly lateShare: number;
	/** Share of the requests that are sent to an engine of another zone. */
	readonly crossZoneShare: number;
	/** Longest time for which an engine had prompts to prefill, in ms. */
	readonly longestPrefillMs: number;
}

const DEFAULT_TICK_MS = 100;
/** Interval at which the instances apply the loads of their peers. */
const LOADS_INTERVAL_MS = 100;
/** Tokens of the part that only one request has. */
const OWN_TOKENS = 400;
const MIN_DECODE_MS = 200;
const DECODE_SPREAD_MS = 1300;
const OBJECTIVE_MS = 1000;
const NETWORK_MS = 2;

interface Instance {
	readonly zone: string;
	readonly table: TargetTable;
	readonly prompts: PromptCacheSync;
	readonly announcer: PlacementAnnouncer;
	readonly peerLoads: Map<number, readonly TargetLoad[]>;
	nextRecipient: number;
}

export function runFleetModel(options: FleetModelOptions): FleetModelResult {
	return new FleetModel(options).run();
}

class FleetModel {
	private readonly random: RandomGenerator;
	private readonly source: PromptSource;
	private readonly instances: readonly Instance[];
	private readonly engines: ReadonlyMap<string, ModelEngine>;
	/** Parts that some engine has read. */
	private readonly readKeys = new Set<string>();
	/** Pending work by the tick in which it is due. */
	private readonly agenda = new Map<number, (() => void)[]>();
	private readonly tickMs: number;
	private nowMs = 0;
	private requests = 0;
	private running = 0;
	private readTokens = 0;
	private rootsReadAgain = 0;
	private chatsReadAgain = 0;
	private highestLoadShare = 0;
	private lateRequests = 0;
	private crossZoneRequests = 0;
	private longestPrefillMs = 0;

	constructor(private readonly options: FleetModelOptions) {
		const { engines, instances, memoryTokens, requestsPerSecond, seed, slots } = options;
		this.tickMs = options.tickMs ?? DEFAULT_TICK_MS;
		this.random = xoroshiro128plus(seed);
		const { sharedPrefixes, prefillTokensPerMs, zones = 1 } = options;
		this.source =
			sharedPrefixes === undefined
				? new ChatSource(this.random, requestsPerSecond)
				: new SharedPrefixSource(this.random, sharedPrefixes);
		const records = Array.from({ length: engines }, (_, index) =>
			makeRecord(`engine-${index}`, { slots, zone: `z${index % zones}` }),
		);
		this.engines = new Map(records.map(({ id }) => [id, new ModelEngine(memoryTokens, prefillTokensPerMs)]));
		this.instances = Array.from({ length: instances }, (_, index) => {
			const zone = `z${index % zones}`;
			const table = new TargetTable(zone, undefined, options.savesZoneTraffic);
			table.applyChange({ added: records, changed: [], removed: [] });
			for (const target of table.all) {
				target.statedLoad.service.isInUse = options.usesLoadReports ?? false;
			}
			const prompts = this.makePrompts(table);
			const announcer = this.makeAnnouncer(table, prompts);
			return { zone, table, prompts, announcer, peerLoads: new Map(), nextRecipient: 0 };
		});
	}

	public run(): FleetModelResult {
		const { durationMs, requestsPerSecond } = this.options;
		for (const [index, instance] of this.instances.entries()) {
			this.schedule(uniformFloat64(this.random) * GOSSIP_INTERVAL_MS, () => {
				this.sendGossip(instance, index);
			});
		}
		let due = 0;
		for (let tick = 0; tick * this.tickMs < durationMs; tick++) {
			this.nowMs = tick * this.tickMs;
			for (const work of this.agenda.get(tick) ?? []) {
				work();
			}
			this.agenda.delete(tick);
			if (this.nowMs % LOADS_INTERVAL_MS === 0) {
				for (const { table, peerLoads } of this.instances) {
					table.setPeerLoads([...peerLoads.values()]);
				}
			}
			for (due += (requestsPerSecond * this.tickMs) / 1000; due >= 1; due--) {
				this.serve();
			}
			this.observeLoads();
		}
		const { readTokens, rootsReadAgain, chatsReadAgain, highestLoadShare } = this;
		const lateShare = this.lateRequests / this.requests;
		return {
			readTokens,
			rootsReadAgain,
			chatsReadAgain,
			highestLoadShare,
			lateShare,
			crossZoneShare: this.crossZoneRequests / this.requests,
			longestPrefillMs: this.longestPrefillMs,
		};
	}

	private makePrompts(table: TargetTable): PromptCacheSync {
		return new PromptCacheSync({
			targets: table,
			log: { write: () => undefined },
			getCacheCapacity: () => this.options.memoryTokens,
			codec: { cacheListPath: '', decodeCacheList: () => [] },
			fetchFromPeer: () => Promise.resolve(undefined),
			fetchDocument: () => Promise.resolve(undefined),
			onDidChangeKnowledge: () => undefined,
			readOwnRank: () => 0,
			countPeers: () => this.options.instances - 1,
		});
	}

	private makeAnnouncer(table: TargetTable, prompts: PromptCacheSync): PlacementAnnouncer {
		return new PlacementAnnouncer({
			targets: table,
			broadcast: (message) => {
				const others = this.instances.filter((other) => other.table !== table);
				for (const { announcer } of this.options.losesAnnouncements === true ? [] : others) {
					this.schedule(NETWORK_MS, () => {
						announcer.adopt(message, this.nowMs);
					});
				}
			},
			adoptPrompt: (message) => {
				prompts.adoptPrompts([message]);
			},
		});
	}

	/** Lets one instance place the next request, and its engine read and answer it. */
	private serve(): void {
		const parts = [...this.source.next(), { id: `f${this.requests}`, tokens: OWN_TOKENS }];
		const prompt = buildPromptChain(parts);
		const instance = pick(this.instances, uniformInt(this.random, 0, this.instances.length - 1));
		const { target, cacheSource, cachedTokens } = this.place(instance, prompt);
		const engine = this.findEngine(target.record.id);
		const source = cacheSource === undefined ? undefined : this.findEngine(cacheSource.record.id);
		const unreadTokens = this.countReads(engine.readPrompt(parts, source));
		const prefillTokens = countTokens(prompt) - cachedTokens;
		this.requests += 1;
		this.running += 1;
		engine.running += 1;
		target.recordRequestSent(this.nowMs, this.options.durationMs);
		target.ownPrefillTokens += prefillTokens;
		instance.announcer.announce(target, prompt, cacheSource, this.nowMs);
		instance.prompts.recordPlacement(target, prompt, this.nowMs);
		const firstTokenMs = engine.schedulePrefill(unreadTokens, this.nowMs) - this.nowMs;
		this.longestPrefillMs = Math.max(this.longestPrefillMs, firstTokenMs);
		this.lateRequests += firstTokenMs > (this.options.objectiveMs ?? OBJECTIVE_MS) ? 1 : 0;
		this.crossZoneRequests += target.record.zone === instance.zone ? 0 : 1;
		this.schedule(firstTokenMs, () => {
			target.ownPrefillTokens -= prefillTokens;
		});
		const decodeMs = MIN_DECODE_MS + DECODE_SPREAD_MS * uniformFloat64(this.random);
		this.schedule(firstTokenMs + decodeMs, () => {
			target.recordRequestEnded(this.nowMs);
			engine.running -= 1;
			this.running -= 1;
		});
	}

	private place({ table }: Instance, prompt: ReturnType<typeof buildPromptChain>): Placement {
		const placement = table.choose(
			{
				service: 'engines',
				prompt,
				objectiveMs: this.options.objectiveMs ?? OBJECTIVE_MS,
				hasCacheTransfer: this.options.hasCacheTransfer ?? true,
				excluded: new Set(),
				allowed: undefined,
				version: undefined,
			},
			this.nowMs,
		);
		if (placement === undefined) {
			throw new RangeError('The model has no engine.');
		}
		return placement;
	}

	/** Counts what an engine prefilled; returns its tokens. */
	private countReads(reads: readonly PartRead[]): number {
		let tokensRead = 0;
		for (const [index, { key, tokens, source }] of reads.entries()) {
			if (source === 'prefill') {
				const againTokens = this.readKeys.has(key) ? tokens : 0;
				this.rootsReadAgain += index === 0 ? againTokens : 0;
				this.chatsReadAgain += index === 0 ? 0 : againTokens;
				tokensRead += tokens;
			}
			this.readKeys.add(key);
		}
		this.readTokens += tokensRead;
		return tokensRead;
	}

	private findEngine(id: string): ModelEngine {
		const engine = this.engines.get(id);
		if (engine === undefined) {
			throw new RangeError(`The model has no engine ${id}.`);
		}
		return engine;
	}

	private sendGossip(instance: Instance, index: number): void {
		const loads: TargetLoad[] = [];
		for (const { record, ownRequests, ownPrefillTokens } of instance.table.all) {
			if (ownRequests > 0) {
				loads.push([record.id, ownRequests, ownPrefillTokens]);
			}
		}
		const prompts = instance.prompts.listRecentPrompts(this.nowMs);
		const peers = this.instances.length - 1;
		const recipients = Math.min(peers, GOSSIP_FAN_OUT);
		for (let step = 0; step < recipients; step++) {
			const offset = 1 + ((instance.nextRecipient + step) % peers);
			const peer = pick(this.instances, (index + offset) % this.instances.length);
			this.schedule(NETWORK_MS, () => {
				peer.peerLoads.set(index, loads);
				peer.prompts.adoptPrompts(prompts);
			});
		}
		instance.nextRecipient = (instance.nextRecipient + recipients) % peers;
		this.schedule(GOSSIP_INTERVAL_MS, () => {
			this.sendGossip(instance, index);
		});
	}

	private observeLoads(): void {
		const mean = this.running / this.engines.size;
		for (const { running } of this.engines.values()) {
			this.highestLoadShare = Math.max(this.highestLoadShare, running / (2 * mean + 3));
		}
	}

	private schedule(delayMs: number, work: () => void): void {
		const tick = Math.floor(this.nowMs / this.tickMs) + Math.max(1, Math.round(delayMs / this.tickMs));
		const works = this.agenda.get(tick) ?? [];
		works.push(work);
		this.agenda.set(tick, works);
	}
}
