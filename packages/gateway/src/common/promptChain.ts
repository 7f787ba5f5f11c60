/** The parts of a prompt as a chain: what a target can reuse of a part depends on all parts before it. */
import { hashPair, hashTextTo32 } from '@papayawell/core';
import type { PromptPart } from './gatewayRequest.js';

/** The last part of a prompt is mostly asked for once; from this size on, telling other instances of it pays. */
const LONG_LAST_PART_TOKENS = 1000;

/** One part of a prompt that an engine has cached. */
export interface CachedLink {
	/** Names the part after those before it, or the part alone if only that is known. */
	readonly hash: number;
	readonly tokens: number;
}

export interface ChainLink extends CachedLink {
	/** Names the part whatever is before it. */
	readonly partHash: number;
}

export type PromptChain = readonly ChainLink[];

export function buildPromptChain(prompt: readonly PromptPart[]): PromptChain {
	let hash = 0;
	return prompt.map(({ id, tokens }) => {
		const partHash = hashPart(id);
		hash = hashPair(hash, partHash);
		return { hash, partHash, tokens };
	});
}

/** Lists the links that other prompts are likely to begin with too: all but a short last one. */
export function listSharedLinks(chain: PromptChain): PromptChain {
	const last = chain.at(-1);
	return last === undefined || last.tokens >= LONG_LAST_PART_TOKENS ? chain : chain.slice(0, -1);
}

export function hashPart(id: string): number {
	return hashTextTo32(id);
}

export function countTokens(chain: PromptChain): number {
	return chain.reduce((sum, { tokens }) => sum + tokens, 0);
}
