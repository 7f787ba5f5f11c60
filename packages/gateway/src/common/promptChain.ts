/** The parts of a prompt as a chain: what a target can reuse of a part depends on all parts before it. */
import { hashPair, hashTextTo32 } from '@papayawell/core';
import type { PromptPart } from './gatewayRequest.js';

export interface ChainLink {
	/** Names this part after those before it. */
	readonly hash: number;
	readonly tokens: number;
}

export type PromptChain = readonly ChainLink[];

export function buildPromptChain(prompt: readonly PromptPart[]): PromptChain {
	let hash = 0;
	return prompt.map(({ id, tokens }) => {
		hash = hashPair(hash, hashTextTo32(id));
		return { hash, tokens };
	});
}

export function countTokens(chain: PromptChain): number {
	return chain.reduce((sum, { tokens }) => sum + tokens, 0);
}
