/** Cache-aware placement under typical load patterns. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { CacheChoice } from '../../src/common/cacheAwarePlacement.js';
import { chooseByCachedPrefix } from '../../src/common/cacheAwarePlacement.js';
import type { PromptChain } from '../../src/common/promptChain.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import type { TargetState } from '../../src/common/targetState.js';
import { makeEngines } from './fixtures.js';

const KV_CACHE_TOKENS = 280_000;

function makePrompt(root: string, conversation: string, own: string): PromptChain {
	return buildPromptChain([
		{ id: root, tokens: 2500 },
		{ id: conversation, tokens: 6000 },
		{ id: own, tokens: 500 },
	]);
}

function place(engines: readonly TargetState[], chain: PromptChain, objectiveMs = 1000): CacheChoice {
	const mean = engines.reduce((sum, { load }) => sum + load, 0) / engines.length;
	const choice = chooseByCachedPrefix(engines, { prompt: chain, objectiveMs }, engines, mean, 0);
	if (choice === undefined) {
		throw new Error('no engine was chosen');
	}
	choice.target.prefixCache.recordPrompt(chain, KV_CACHE_TOKENS);
	return choice;
}

describe('chooseByCachedPrefix', () => {
	it('returning chats: sends a prompt to the engine that has its shared prefix cached', () => {
		const engines = makeEngines([1, 1, 1, 1]);
		const first = place(engines, makePrompt('a1', 'b1', '1')).target;
		for (let request = 2; request < 10; request++) {
			expect(place(engines, makePrompt('a1', 'b1', String(request))).target).to.equal(first);
		}
	});

	it('many prompts with the same root: places them on a third of the engines, and not on one', () => {
		const engines = makeEngines([0, 0, 0, 0, 0, 0, 0, 0]);
		const used = new Set<string>();
		for (let conversation = 0; conversation < 20; conversation++) {
			used.add(place(engines, makePrompt('a1', `b${conversation}`, String(conversation))).target.record.id);
		}
		expect(used.size).to.equal(3);
	});

	it('cold start: does not queue more prefill on an engine than half of the latency objective', () => {
		const engines = makeEngines([0, 0, 0, 0]);
		for (let conversation = 0; conversation < 4; conversation++) {
			const { target, cacheSource } = place(
				engines,
				makePrompt('a1', `b${conversation}`, String(conversation)),
			);
			target.ownPrefillTokens += cacheSource === undefined ? 9000 : 6500;
		}
		for (const engine of engines) {
			expect(engine.prefillTokens).to.be.at.most(12_500);
		}
	});

	it('a prompt that another instance has just placed: goes to the same engine before this instance hears of it', () => {
		const prompt = makePrompt('a1', 'b1', '1');
		const seenByOne = makeEngines([4, 4, 4, 4, 4, 4, 4, 4]);
		const index = seenByOne.indexOf(place(seenByOne, prompt).target);
		// The other instance sees more load on that engine: above the limit of new prompts, within that of cached ones.
		const seenByTwo = makeEngines(
			[4, 4, 4, 4, 4, 4, 4, 4].map((load, engine) => (engine === index ? 7 : load)),
		);
		expect(seenByTwo.indexOf(place(seenByTwo, makePrompt('a1', 'b1', '2')).target)).to.equal(index);
	});

	it('cold start with long prompts: instances that know of no load do not all choose the same engine', () => {
		const used = new Set<number>();
		for (let conversation = 0; conversation < 20; conversation++) {
			const engines = makeEngines([0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
			const prompt = buildPromptChain([
				{ id: 'a1', tokens: 2500 },
				{ id: `b${conversation}`, tokens: 14_000 },
				{ id: `c${conversation}`, tokens: 500 },
			]);
			used.add(engines.indexOf(place(engines, prompt).target));
		}
		// A third of the engines serve prompts with the same root.
		expect(used.size).to.equal(5);
	});

	it('long prompt: does not wait for an engine that has much more to prefill than the others', () => {
		const engines = makeEngines([0, 0, 0, 0]);
		const prompt = makePrompt('a1', 'b1', '1');
		const home = place(makeEngines([0, 0, 0, 0]), prompt, 300).target.record.id;
		const busy = engines.find(({ record }) => record.id === home);
		expect(busy).not.to.equal(undefined);
		if (busy !== undefined) {
			busy.ownPrefillTokens = 20_000;
		}
		expect(place(engines, prompt, 300).target.record.id).not.to.equal(home);
	});

	it('hot prefix: overflows to an engine that fetches the cached prompt instead of prefilling it', () => {
		const engines = makeEngines([0, 0, 0, 0]);
		const hot = makePrompt('a1', 'b1', '1');
		const holder = place(engines, hot).target;
		holder.ownRequests = 20;
		const choice = place(engines, makePrompt('a1', 'b1', '2'));
		expect(choice.target).not.to.equal(holder);
		expect(choice.isOverflow).to.equal(true);
		expect(choice.cacheSource).to.equal(holder);
	});

	it('short prompts: are not placed on an engine with a load above the mean', () => {
		const engines = makeEngines([8, 4, 4, 4]);
		const short = buildPromptChain([
			{ id: 'c1', tokens: 100 },
			{ id: 'd1', tokens: 300 },
			{ id: '1', tokens: 100 },
		]);
		engines[0]?.prefixCache.recordPrompt(short, KV_CACHE_TOKENS);
		expect(place(engines, short).target).not.to.equal(engines[0]);
	});

	it('chooses the same engine on two instances with equal information', () => {
		const chain = makePrompt('a9', 'b9', '1');
		const one = place(makeEngines([0, 0, 0, 0, 0]), chain).target.record.id;
		const other = place(makeEngines([0, 0, 0, 0, 0]), chain).target.record.id;
		expect(one).to.equal(other);
	});

	it('any load: chooses no engine above the load bound while another is below it', () => {
		fc.assert(
			fc.property(fc.array(fc.nat(40), { minLength: 2, maxLength: 12 }), fc.nat(11), (loads, holder) => {
				const engines = makeEngines(loads);
				const chain = makePrompt('a1', 'b1', '1');
				engines[holder % engines.length]?.prefixCache.recordPrompt(chain, KV_CACHE_TOKENS);
				const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
				expect(place(engines, chain).target.load + 1).to.be.at.most(2 * mean + 3);
			}),
		);
	});

	/** Reports the loads of all engines; the first one works at the given percentage of the usual time. */
	function reportLoads(engines: readonly TargetState[], slowdown: number | undefined): void {
		const [service] = engines.map(({ statedLoad }) => statedLoad.service);
		for (const [index, { statedLoad, ownRequests }] of engines.entries()) {
			statedLoad.service = service ?? statedLoad.service;
			const stated = index === 0 || slowdown === undefined ? slowdown : 1;
			statedLoad.record(
				{ requests: ownRequests, slowdown: stated, reportedAtMs: 0, isOwn: true },
				ownRequests,
			);
		}
	}

	// Guards against prompts that wait on an engine whose machine is slow, because it has their prefix cached.
	it('engines slowed down by their machines: passes over the cached prefix if another is faster all the same', () => {
		const chosen = [undefined, 1, 1.5, 250 / 100].map((slowdown) => {
			const engines = makeEngines([3, 1, 1, 1]);
			const chain = makePrompt('a1', 'b1', '1');
			engines[0]?.prefixCache.recordPrompt(chain, KV_CACHE_TOKENS);
			reportLoads(engines, slowdown);
			return engines.indexOf(place(engines, makePrompt('a1', 'b1', '2')).target) === 0;
		});
		expect(chosen).to.deep.equal([true, true, true, false]);
	});

	it('all engines are equally slow: chats still return to the cached prefix', () => {
		const engines = makeEngines([3, 3, 3, 3]);
		const first = place(engines, makePrompt('a1', 'b1', '1')).target;
		for (const { statedLoad, ownRequests } of engines) {
			statedLoad.record({ requests: 3, slowdown: 4, reportedAtMs: 0, isOwn: true }, ownRequests);
		}
		expect(place(engines, makePrompt('a1', 'b1', '2'), 4000).target).to.equal(first);
	});
});
