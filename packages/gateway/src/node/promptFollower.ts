/**
 * Keeps what is known of the engines' caches equal over the instances: tells what is new, and fetches all that a
 * peer knows when it knows much more, as after a start.
 */
import type { EventLog } from '../common/eventLog.js';
import type { PromptNews } from '../common/peerState.js';
import type { PromptChain } from '../common/promptChain.js';
import { PromptNewsList, readNewsLinks } from '../common/promptNews.js';
import type { CachedParts } from '../common/promptSnapshot.js';
import { decodePromptSnapshot, encodePromptSnapshot } from '../common/promptSnapshot.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';

/** A peer knows much more if it knows this many times as many tokens, and some more. */
const MUCH_MORE_FACTOR = 1.25;
/** About 0.5 s of reading of one engine, which a snapshot of some KB saves. */
const MUCH_MORE_TOKENS = 15_000;
/** Time between two snapshots; what differs by less than the factor above is not worth more. */
const SNAPSHOT_GAP_MS = 3000;
/** The same after one that did not come. */
const FAILED_GAP_MS = 500;

export interface PromptFollowerParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	/** Returns an engine's memory for prompts in tokens. */
	readonly getMemory: (target: TargetState) => number;
	/** Fetches the snapshot of a peer; undefined if it does not answer. */
	readonly fetchFromPeer: (controlAddress: string) => Promise<string | undefined>;
}

export class PromptFollower {
	private readonly news = new PromptNewsList();
	private nextFetchMs = 0;

	constructor(private readonly parts: PromptFollowerParts) {}

	/** Tokens of all shared parts that engines are known to have cached. */
	public countKnownTokens(): number {
		let tokens = 0;
		for (const { promptCache } of this.parts.targets.all) {
			tokens += promptCache.sharedTokens;
		}
		return tokens;
	}

	/** Notes that this instance has a target read a prompt. */
	public notePlaced(target: TargetState, prompt: PromptChain, nowMs: number): void {
		if (target.promptCache.note(prompt, this.parts.getMemory(target))) {
			this.news.add(target.record.id, prompt, nowMs);
		}
	}

	public listNews(nowMs: number): readonly PromptNews[] {
		return this.news.list(nowMs);
	}

	/** Takes what a peer says of prompts that it placed. */
	public adoptNews(news: readonly PromptNews[]): void {
		for (const item of news) {
			const target = this.parts.targets.find(item.target);
			target?.promptCache.addShared(readNewsLinks(item), this.parts.getMemory(target));
		}
	}

	public encodeSnapshot(): string {
		return encodePromptSnapshot(this.parts.targets.all);
	}

	/** Notes how much a peer knows; fetches it if that is much more than is known here. */
	public notePeer(name: string, controlAddress: string, peerTokens: number, nowMs: number): void {
		const enough = this.countKnownTokens() * MUCH_MORE_FACTOR + MUCH_MORE_TOKENS;
		if (peerTokens <= enough || nowMs < this.nextFetchMs) {
			return;
		}
		this.nextFetchMs = Infinity;
		void this.fetch(name, controlAddress);
	}

	private async fetch(name: string, controlAddress: string): Promise<void> {
		const text = await this.parts.fetchFromPeer(controlAddress);
		const snapshot = text === undefined ? undefined : decodePromptSnapshot(text);
		const gapMs = snapshot === undefined ? FAILED_GAP_MS : SNAPSHOT_GAP_MS;
		this.nextFetchMs = performance.now() + gapMs;
		const addedTokens = snapshot?.reduce((sum, parts) => sum + this.adopt(parts), 0);
		this.parts.log.write('state', snapshot === undefined ? 'promptsNotFetched' : 'promptsFetched', {
			peer: name,
			engines: snapshot?.length,
			addedTokens,
		});
	}

	private adopt({ target, startedAtMs, links }: CachedParts): number {
		const state = this.parts.targets.find(target);
		if (state?.record.startedAtMs !== startedAtMs) {
			return 0;
		}
		return state.promptCache.addShared(links, this.parts.getMemory(state));
	}
}
