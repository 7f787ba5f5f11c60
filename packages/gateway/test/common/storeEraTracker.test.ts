import { expect } from 'chai';
import type { StoreRestore } from '../../src/common/storeEraTracker.js';
import { StoreEraTracker } from '../../src/common/storeEraTracker.js';

describe('StoreEraTracker', () => {
	function track(): { readonly eras: StoreEraTracker; readonly restores: StoreRestore[] } {
		const eras = new StoreEraTracker();
		const restores: StoreRestore[] = [];
		eras.onDidRestore((restore) => restores.push(restore));
		return { eras, restores };
	}

	it('the first era that is seen is no restore', () => {
		const { eras, restores } = track();
		expect(eras.observe({ era: 4, revision: 10 })).to.equal(true);
		expect(restores).to.deep.equal([]);
		expect(eras.era).to.equal(4);
	});

	it('fires once for each restore, with the newest position known before', () => {
		const { eras, restores } = track();
		for (const [era, revision] of [
			[1, 10],
			[1, 12],
			[1, 11],
			[2, 5],
			[2, 6],
			[4, 3],
		] as const) {
			eras.observe({ era, revision });
		}
		expect(restores).to.deep.equal([
			{ previous: { era: 1, revision: 12 }, era: 2 },
			{ previous: { era: 2, revision: 6 }, era: 4 },
		]);
	});

	it('a position of an older era says nothing', () => {
		const { eras, restores } = track();
		eras.observe({ era: 2, revision: 5 });
		expect(eras.observe({ era: 1, revision: 900 })).to.equal(false);
		expect([eras.era, restores]).to.deep.equal([2, []]);
	});
});
