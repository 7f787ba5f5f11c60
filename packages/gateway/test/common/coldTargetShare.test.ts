import { expect } from 'chai';
import { computeColdBudget, computeColdShare } from '../../src/common/coldTargetShare.js';
import { InstanceRoster } from '../../src/common/instanceRoster.js';
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

describe('InstanceRoster', () => {
	const fleet = Array.from({ length: 9 }, (_, index) => ({ name: `edge-${index}`, instances: 10 }));

	function updateWith(roster: InstanceRoster, count: number, fromMs: number, toMs: number): void {
		for (let nowMs = fromMs; nowMs <= toMs; nowMs += 500) {
			roster.update(fleet.slice(0, count), nowMs);
		}
	}

	it('is no member before it hears a peer, and until all have heard of it', () => {
		const roster = new InstanceRoster();
		updateWith(roster, 0, 0, 60_000);
		expect(roster.isMember).to.equal(false);
		updateWith(roster, 1, 60_500, 62_000);
		expect(roster.isMember).to.equal(false);
		updateWith(roster, 9, 62_500, 63_000);
		expect(roster.isMember).to.equal(true);
	});

	it('counts the instances that only its peers know', () => {
		const roster = new InstanceRoster();
		updateWith(roster, 2, 0, 1000);
		expect([roster.size, roster.unknownInstances]).to.deep.equal([3, 7]);
		updateWith(roster, 9, 1500, 2000);
		expect([roster.size, roster.unknownInstances]).to.deep.equal([10, 0]);
	});

	it('forgets an instance that is gone, but not the others if it hears fewer than half of them', () => {
		const roster = new InstanceRoster();
		updateWith(roster, 9, 0, 1000);
		updateWith(roster, 3, 1500, 120_000);
		expect(roster.size).to.equal(10);
		roster.update(fleet, 120_500);
		for (let nowMs = 121_000; nowMs <= 145_000; nowMs += 500) {
			roster.update(
				fleet.slice(0, 6).map(({ name }) => ({ name, instances: undefined })),
				nowMs,
			);
		}
		expect(roster.size).to.equal(7);
	});
});
