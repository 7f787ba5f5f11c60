import { expect } from 'chai';
import { PrefixCacheIndex } from '../../src/common/prefixCacheIndex.js';
import { buildPromptChain } from '../../src/common/promptChain.js';

const CAPACITY_TOKENS = 280_000;
const PROMPTS = 100;
const PARTS_PER_PROMPT = 1000;

describe('PrefixCacheIndex', () => {
	// Guards against a process that ends at its heap limit because prompts of small parts fill the index without bound.
	for (const tokens of [0, 1]) {
		it(`holds few of many distinct parts of ${tokens} tokens, the latest ones`, () => {
			const index = new PrefixCacheIndex();
			const chains = Array.from({ length: PROMPTS }, (_, prompt) =>
				buildPromptChain(
					Array.from({ length: PARTS_PER_PROMPT }, (_, part) => ({ id: `${prompt}-${part}`, tokens })),
				),
			);
			for (const chain of chains) {
				index.recordPrompt(chain, CAPACITY_TOKENS);
			}
			index.addSharedLinks(chains.flat(), CAPACITY_TOKENS);
			expect(index.listShared()).to.have.lengthOf.within(PARTS_PER_PROMPT, (PROMPTS * PARTS_PER_PROMPT) / 10);
			expect(index.countCachedTokens(chains.at(-1) ?? [])).to.equal(tokens * PARTS_PER_PROMPT);
		});
	}
});
