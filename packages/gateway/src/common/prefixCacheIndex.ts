/**
 * Estimates the contents of one engine's prefix cache from the prompts that were sent to it. The least
 * recently used parts are evicted when the estimated size exceeds the engine's capacity, or there are too many.
 */
import type { CachedLink, PromptChain } from './promptChain.js';
import { listSharedLinks } from './promptChain.js';

/** Share of an engine's KV cache that holds cached prefixes; requests in flight occupy the rest. */
const PREFIX_CACHE_SHARE = 0.7;
/** Limit of the parts of one engine, whatever their size: callers may state parts of few tokens, or of none. */
const MAX_LINKS = 4096;

export class PrefixCacheIndex {
	/** Token counts by link hash, least recently used first. */
	private readonly tokensByHash = new Map<number, number>();
	/** Hashes of the links that other prompts probably share. */
	private readonly sharedHashes = new Set<number>();
	private tokens = 0;
	private sharedTokenCount = 0;

	/** Tokens of the parts that other prompts probably share. */
	public get sharedTokens(): number {
		return this.sharedTokenCount;
	}

	/** Adds a prompt that is sent to the engine. Returns whether a part that others may share is new. */
	public recordPrompt(chain: PromptChain, capacityTokens: number): boolean {
		const sharedCount = listSharedLinks(chain).length;
		let isNewShared = false;
		for (const [index, link] of chain.entries()) {
			this.remove(link.partHash);
			isNewShared = this.add(link, index < sharedCount) || isNewShared;
		}
		this.evict(PREFIX_CACHE_SHARE * capacityTokens);
		return isNewShared;
	}

	/** Adds shared parts that the engine has cached. Returns the tokens of those that are new. */
	public addSharedLinks(links: readonly CachedLink[], capacityTokens: number): number {
		let addedTokens = 0;
		for (const link of links) {
			addedTokens += this.add(link, true) ? link.tokens : 0;
		}
		this.evict(PREFIX_CACHE_SHARE * capacityTokens);
		return addedTokens;
	}

	/** Lists the parts that other prompts probably share, least recently used first. */
	public listShared(): readonly CachedLink[] {
		const links: CachedLink[] = [];
		for (const [hash, tokens] of this.tokensByHash) {
			if (this.sharedHashes.has(hash)) {
				links.push({ hash, tokens });
			}
		}
		return links;
	}

	/** Returns the number of tokens at the start of the prompt that need no prefill. */
	public countCachedTokens(chain: PromptChain): number {
		let cached = 0;
		for (const { hash, partHash, tokens } of chain) {
			if (!this.tokensByHash.has(hash) && !this.tokensByHash.has(partHash)) {
				return cached;
			}
			cached += tokens;
		}
		return cached;
	}

	/** Adds a link as the most recently used. Returns whether it is new among the shared links. */
	private add({ hash, tokens }: CachedLink, isShared: boolean): boolean {
		const knownTokens = this.tokensByHash.get(hash);
		if (knownTokens === undefined) {
			this.tokens += tokens;
		} else {
			this.tokensByHash.delete(hash);
		}
		this.tokensByHash.set(hash, knownTokens ?? tokens);
		if (!isShared || this.sharedHashes.has(hash)) {
			return false;
		}
		this.sharedHashes.add(hash);
		this.sharedTokenCount += knownTokens ?? tokens;
		return true;
	}

	private remove(hash: number): void {
		const tokens = this.tokensByHash.get(hash);
		if (tokens === undefined) {
			return;
		}
		this.tokensByHash.delete(hash);
		this.tokens -= tokens;
		if (this.sharedHashes.delete(hash)) {
			this.sharedTokenCount -= tokens;
		}
	}

	private evict(limit: number): void {
		for (const hash of this.tokensByHash.keys()) {
			if (this.tokens <= limit && this.tokensByHash.size <= MAX_LINKS) {
				return;
			}
			this.remove(hash);
		}
	}
}
