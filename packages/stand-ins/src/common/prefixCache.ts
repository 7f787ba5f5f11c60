/** Prompt prefix cache of token blocks with LRU eviction. The hash of a block covers all blocks before it. */
import { hashText } from '@papayawell/core';

/** Size of a cache block in tokens. */
export const BLOCK_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** Result of storing a text. */
export interface CacheChange {
	readonly storedTokens: number;
	/** Cache keys whose blocks were evicted to make space. */
	readonly evictedKeys: ReadonlySet<string>;
}

export class PrefixCache {
	/** Cache key that last stored each block hash, least recently used first. */
	private readonly cacheKeyByBlock = new Map<bigint, string>();

	constructor(private readonly capacityTokens: number) {}

	/** Returns the number of leading tokens of `prompt` that are cached, and marks their blocks as recently used. */
	public match(prompt: string): number {
		let cachedTokens = 0;
		for (const hash of hashBlocks(prompt)) {
			const key = this.cacheKeyByBlock.get(hash);
			if (key === undefined) {
				break;
			}
			this.markUsed(hash, key);
			cachedTokens += BLOCK_TOKENS;
		}
		return cachedTokens;
	}

	/** Stores every complete block of `text` under `cacheKey`. */
	public store(text: string, cacheKey: string): CacheChange {
		let storedTokens = 0;
		for (const hash of hashBlocks(text)) {
			this.markUsed(hash, cacheKey);
			storedTokens += BLOCK_TOKENS;
		}
		return { storedTokens, evictedKeys: this.evict() };
	}

	public clear(): void {
		this.cacheKeyByBlock.clear();
	}

	private markUsed(hash: bigint, key: string): void {
		this.cacheKeyByBlock.delete(hash);
		this.cacheKeyByBlock.set(hash, key);
	}

	private evict(): Set<string> {
		const evicted = new Set<string>();
		for (const [hash, key] of this.cacheKeyByBlock) {
			if (this.cacheKeyByBlock.size * BLOCK_TOKENS <= this.capacityTokens) {
				break;
			}
			this.cacheKeyByBlock.delete(hash);
			evicted.add(key);
		}
		return evicted;
	}
}

function* hashBlocks(text: string): Generator<bigint> {
	let hash = 0n;
	for (let start = 0; start + CHARACTERS_PER_BLOCK <= text.length; start += CHARACTERS_PER_BLOCK) {
		hash = hashText(text.slice(start, start + CHARACTERS_PER_BLOCK), hash);
		yield hash;
	}
}
