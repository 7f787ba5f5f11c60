import { expect } from 'chai';
import {
	buildRegionLookup,
	computeAllowedRegions,
	listInstanceRegions,
} from '../../src/common/homeRegions.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { makeRecord } from './fixtures.js';

const findRegion = buildRegionLookup(new Map([['b', 'r2']]), 'a', 'r1');

describe('home regions', () => {
	for (const [route, customer, allowed] of [
		[undefined, [], undefined],
		[['r1', 'r2'], [], ['r1', 'r2']],
		[[], ['r2'], ['r2']],
		[['r1', 'r2'], ['r2', 'r3'], ['r2']],
		[['r1'], ['r2'], []],
	] as const) {
		it(`a route of ${JSON.stringify(route)} and a customer of ${JSON.stringify(customer)}: both apply`, () => {
			const regions = computeAllowedRegions(route, customer);
			expect(regions && [...regions]).to.deep.equal(allowed);
		});
	}

	it('the directory names home regions of all routes of a host, and the region of the caller', () => {
		const list = (homes: string[][], caller?: string): unknown => listInstanceRegions(homes, caller);
		expect(list([], 'r1')).to.equal(undefined);
		expect(list([['r1', 'r2'], ['r2']], 'r3')).to.deep.equal(new Set(['r2', 'r3']));
	});

	it('neither a target elsewhere, nor one of an unknown region, is chosen or asked for cached prompts', () => {
		const table = new TargetTable('a', findRegion);
		const added = [makeRecord('x'), makeRecord('y', { zone: 'b' }), makeRecord('z', { zone: 'c' })];
		table.applyChange({ added, changed: [], removed: [] });
		const prompt = [{ hash: 1, partHash: 1, tokens: 3000 }];
		table.find('x')?.prefixCache.recordPrompt(prompt, 100_000);
		const common = { service: 'engines', prompt, objectiveMs: 1000, hasCacheTransfer: true };
		const request = { ...common, excluded: new Set<string>(), allowed: undefined, version: undefined };
		const choose = (...regions: string[]): unknown[] => {
			const placement = table.choose({ ...request, regions: new Set(regions) }, 0);
			return [placement?.target.record.id, placement?.cacheSource];
		};
		expect(table.choose(request, 0)?.target.record.id).to.equal('x');
		expect(choose('r2')).to.deep.equal(['y', undefined]);
		table.find('y')?.recordBackOff(500);
		expect(choose('r2', 'r3')).to.deep.equal([undefined, undefined]);
		expect(table.computePause('engines', undefined, 0, new Set(['r2']))).to.equal(500);
	});
});
