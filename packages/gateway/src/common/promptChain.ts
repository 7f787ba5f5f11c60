/**
 * Represents a prompt as a chain of prefix hashes, since a cached part is reusable only after the same
 * prefix.
 */
import { hashPair, hashTextTo32 } from '@papayawell/core';
import type { PromptPart } from './gatewayRequest.js';

/**
 * The last part of a prompt is seldom reused. Only from this size on is it worth reporting to other
 * instances.
 */
const LONG_LAST_PART_TOKENS = 1000;

/** Longer ids are hashed when they serve as keys, because callers choose them. */
const MAX_KEY_LENGTH = 32;

/** One part of a prompt that an engine has cached. */
export interface CachedLink {
	/** Hash of the prefix that ends with this part, or of the part alone if its prefix is unknown. */
	readonly hash: number;
	readonly tokens: number;
}

export interface ChainLink extends CachedLink {
	/** Hash of the part alone, independent of its prefix. */
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

/** Lists the links that other prompts probably share: all but a short last one. */
export function listSharedLinks(chain: PromptChain): PromptChain {
	const last = chain.at(-1);
	return last === undefined || last.tokens >= LONG_LAST_PART_TOKENS ? chain : chain.slice(0, -1);
}

/** Lists keys of the parts that other prompts may share: all but the last one. */
export function listSharedPartKeys(prompt: readonly PromptPart[]): readonly string[] {
	return prompt.slice(0, -1).map(({ id }) => (id.length <= MAX_KEY_LENGTH ? id : hashPart(id).toString(16)));
}

export function hashPart(id: string): number {
	return hashTextTo32(id);
}

export function countTokens(parts: readonly { readonly tokens: number }[]): number {
	return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
