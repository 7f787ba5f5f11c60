import { expect } from 'chai';
import { computeColdBudget, computeColdShare } from '../../src/common/coldTargetShare.js';
import { createLimitUser } from '../../src/common/requestLimitShare.js';

const BOUNDS = { excess: 1.5, extra: 5 };

function sumShares(budget: number, target: number, count: number, unknown = 0): number {
	const users = Array.from({ length: count }, (_, index) => createLimitUser(`edge-${index}`));
	return users.reduce((sum, self) => {
		const others = users.filter((user) => user !== self);
		return sum + computeColdShare(budget, target, self, others, unknown);
	}, 0);
}

describe('the division of what a cold target handles', () => {
	it('twice the budget stays within the bounds, and the budget within the rate of the target', () => {
		expect(computeColdBudget(13, BOUNDS)).to.equal(12);
		expect(computeColdBudget(2, BOUNDS)).to.equal(2);
		expect(computeColdBudget(0.5, BOUNDS)).to.equal(1);
		expect(computeColdBudget(1, { excess: 1, extra: 0 })).to.equal(0);
	});

	it('gives out the whole budget and no more, in fleets of any size', () => {
		for (const instances of [1, 2, 5, 11, 12, 13, 32, 79]) {
			for (let target = 0; target < 20; target++) {
				expect(sumShares(12, target * 7919, instances)).to.equal(12);
			}
		}
	});

	// Guards against an instance that starts and takes the part of those that it has not heard of yet.
	it('gives out no more to those that know of others by number only', () => {
		for (const unknown of [1, 5, 30]) {
			expect(sumShares(12, 3, 8, unknown)).to.be.at.most(12);
			expect(sumShares(12, 3, 8, 12)).to.equal(0);
		}
	});
});
