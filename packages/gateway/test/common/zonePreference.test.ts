/** Placement of prompts in the own availability zone. */
import { expect } from 'chai';
import { chooseByCachedPrefix } from '../../src/common/cacheAwarePlacement.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { TargetState } from '../../src/common/targetState.js';
import { runFleetModel } from '../model/fleetModel.js';
import { makeRecord } from './fixtures.js';

const KV_CACHE_TOKENS = 280_000;
const LONG = buildPromptChain([
	{ id: 'a1', tokens: 2500 },
	{ id: 'b1', tokens: 6120 },
	{ id: 'c1', tokens: 580 },
]);

/** Makes four engines in each of two zones, the first with the given loads; those at `cached` have the prompt cached. */
function makeEngines(loads: readonly number[], cached: readonly number[]): TargetState[] {
	return Array.from({ length: 8 }, (_, index) => {
		const state = new TargetState(makeRecord(`engine-${index}`, { zone: index < 4 ? 'own' : 'other' }));
		state.ownRequests = loads[index] ?? 4;
		if (cached.includes(index)) {
			state.prefixCache.recordPrompt(LONG, KV_CACHE_TOKENS);
		}
		return state;
	});
}

function choose(engines: readonly TargetState[], preferredZone: string | undefined): string | undefined {
	const meanLoad = engines.reduce((sum, { load }) => sum + load, 0) / engines.length;
	const request = { prompt: LONG, objectiveMs: 1206, preferredZone };
	const target = chooseByCachedPrefix(engines, request, [], meanLoad, 0)?.target;
	return target === undefined ? undefined : target.record.id;
}

describe('zone preference', () => {
	it('of two engines with the prompt cached, the one in the own zone is chosen, if it is hardly busier', () => {
		expect(choose(makeEngines([5], [0, 7]), 'own')).to.equal('engine-0');
		expect(choose(makeEngines([7], [0, 7]), 'own')).to.equal('engine-7');
	});

	it('without the setting the less busy one is chosen, whatever its zone', () => {
		expect(choose(makeEngines([5], [0, 7]), undefined)).to.equal('engine-7');
	});

	it('a prefix that is cached in another zone only is used there, since its copy would cost far more bytes', () => {
		expect(choose(makeEngines([], [7]), 'own')).to.equal('engine-7');
	});

	it('a prefix that is cached nowhere goes to the engine that the other zones choose, too', () => {
		const engines = makeEngines([], []);
		expect(choose(engines, 'own')).to.equal(choose(engines, 'other'));
	});

	it('an engine of the own zone with a prefill queue is passed over', () => {
		const engines = makeEngines([5], [0, 7]);
		for (const engine of engines.slice(0, 4)) {
			engine.ownPrefillTokens = 2000;
		}
		expect(choose(engines, 'own')).to.equal('engine-7');
	});

	for (const { load, sharedPrefixes, requestsPerSecond } of [
		{ load: 'long shared prompts', sharedPrefixes: 140, requestsPerSecond: 95 },
		{ load: 'returning chats', sharedPrefixes: undefined, requestsPerSecond: 100 },
	]) {
		it(`${load} at 32 instances in 3 zones: no more requests cross zones, and no more is prefilled or late`, () => {
			const options = {
				instances: 32,
				engines: 42,
				slots: 64,
				memoryTokens: 365_638,
				zones: 3,
				prefillTokensPerMs: 56.6,
				seed: 1,
				durationMs: 30_000,
				requestsPerSecond,
				...(sharedPrefixes === undefined ? {} : { sharedPrefixes }),
			};
			const before = runFleetModel(options);
			const after = runFleetModel({ ...options, savesZoneTraffic: true });
			expect(after.crossZoneShare).to.be.at.most(before.crossZoneShare);
			expect(after.readTokens).to.be.below(1.01 * before.readTokens);
			expect(after.lateShare).to.be.at.most(before.lateShare);
			expect(after.highestLoadShare).to.be.at.most(before.highestLoadShare);
		});
	}
});
