import { expect } from 'chai';
import { buildRegionLookup, computeAllowedRegions } from '../../src/common/homeRegions.js';
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

	describe('TargetTable, with evacuated zones and regions', () => {
		const prompt = [{ hash: 1, partHash: 1, tokens: 3000 }];
		const common = { service: 'engines', prompt, objectiveMs: 1000, hasCacheTransfer: true };
		const request = { ...common, excluded: new Set<string>(), allowed: undefined, version: undefined };
		let table: TargetTable;

		beforeEach(() => {
			table = new TargetTable('a', findRegion);
			const added = [
				makeRecord('x', { version: 'v2' }),
				makeRecord('y', { zone: 'b' }),
				makeRecord('z', { zone: 'c' }),
			];
			table.applyChange({ added, changed: [], removed: [] });
			table.find('x')?.prefixCache.recordPrompt(prompt, 100_000);
		});

		for (const [title, zones, regions] of [
			['in an evacuated zone', ['a', 'c'], undefined],
			['outside the home regions', [], new Set(['r2'])],
		] as const) {
			it(`a target ${title} is neither chosen, also as a last resort, nor asked for cached prompts`, () => {
				expect(table.choose(request, 0)?.target.record.id).to.equal('x');
				table.setEvacuatedZones(new Set(zones));
				const placement = table.choose({ ...request, regions }, 0);
				expect([placement?.target.record.id, placement?.cacheSource]).to.deep.equal(['y', undefined]);
				table.find('y')?.recordBackOff(500);
				expect(table.choose({ ...request, regions }, 0)).to.equal(undefined);
			});
		}

		it('a version whose targets are all evacuated is told from one that is gone, and its pause is none', () => {
			table.setEvacuatedZones(new Set(['a']));
			const versions = ['v1', 'v2', 'v3'].map((version) => table.isServiceEvacuated('engines', version));
			expect(versions).to.deep.equal([false, true, false]);
			table.find('x')?.recordBackOff(500);
			expect(table.computePause('engines', 'v2', 0)).to.equal(0);
		});
	});
});
