/** An engine that prefills one prompt after the other and keeps what it read, the least recently used goes first. */
import type { Part } from './chatSource.js';

const DEFAULT_PREFILL_TOKENS_PER_MS = 30;
/** Share of the memory that holds what requests in flight do not need. */
const CACHE_SHARE = 0.8;

/** What an engine did with one part of a prompt. */
export interface PartRead {
	/** The part with all parts before it. */
	readonly key: string;
	readonly tokens: number;
	readonly source: 'cache' | 'otherEngine' | 'prefill';
}

export class ModelEngine {
	/** Requests that it runs. */
	public running = 0;
	private readonly tokensByKey = new Map<string, number>();
	private cachedTokens = 0;
	private prefillFreeAtMs = 0;

	constructor(
		private readonly memoryTokens: number,
		private readonly prefillTokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS,
	) {}

	public hasCached(key: string): boolean {
		return this.tokensByKey.has(key);
	}

	/** Reads a prompt. What is not cached is fetched from `source` if it has it cached, and prefilled otherwise. */
	public readPrompt(parts: readonly Part[], source: ModelEngine | undefined): readonly PartRead[] {
		let isCached = true;
		let isFetched = source !== undefined;
		let key = '';
		return parts.map(({ id, tokens }) => {
			key = `${key}/${id}`;
			isCached &&= this.hasCached(key);
			isFetched &&= source?.hasCached(key) === true;
			this.storePart(key, tokens);
			return { key, tokens, source: isCached ? 'cache' : isFetched ? 'otherEngine' : 'prefill' };
		});
	}

	/** Queues a prefill; returns the time at which it is done. */
	public schedulePrefill(tokens: number, nowMs: number): number {
		this.prefillFreeAtMs = Math.max(nowMs, this.prefillFreeAtMs) + tokens / this.prefillTokensPerMs;
		return this.prefillFreeAtMs;
	}

	private storePart(key: string, tokens: number): void {
		if (this.tokensByKey.delete(key)) {
			this.cachedTokens -= tokens;
		}
		this.tokensByKey.set(key, tokens);
		this.cachedTokens += tokens;
		for (const [oldest, oldestTokens] of this.tokensByKey) {
			if (this.cachedTokens <= CACHE_SHARE * this.memoryTokens) {
				return;
			}
			this.tokensByKey.delete(oldest);
			this.cachedTokens -= oldestTokens;
		}
	}
}
