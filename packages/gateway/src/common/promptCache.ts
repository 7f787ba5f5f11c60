/**
 * What one engine probably has cached, by the prompts that were sent to it. The least recently used parts yield
 * when the engine's memory is full.
 */
import type { PromptChain } from './promptChain.js';

/** Part of an engine's memory that holds cached parts; requests in flight take the rest. */
const CACHE_SHARE = 0.7;

export class PromptCache {
	/** Tokens by link, least recently used first. */
	private readonly links = new Map<number, number>();
	private tokens = 0;

	/** Notes that a prompt is read there; returns whether a part of it was not known before. */
	public note(chain: PromptChain, capacityTokens: number): boolean {
		let isNew = false;
		for (const { hash, tokens } of chain) {
			const known = this.links.get(hash);
			if (known === undefined) {
				isNew = true;
				this.tokens += tokens;
			} else {
				this.links.delete(hash);
			}
			this.links.set(hash, known ?? tokens);
		}
		this.evict(CACHE_SHARE * capacityTokens);
		return isNew;
	}

	/** Returns how many tokens at the start of the prompt need not be read again. */
	public countCached(chain: PromptChain): number {
		let cached = 0;
		for (const { hash, tokens } of chain) {
			if (!this.links.has(hash)) {
				return cached;
			}
			cached += tokens;
		}
		return cached;
	}

	private evict(limit: number): void {
		for (const [hash, tokens] of this.links) {
			if (this.tokens <= limit) {
				return;
			}
			this.links.delete(hash);
			this.tokens -= tokens;
		}
	}
}
