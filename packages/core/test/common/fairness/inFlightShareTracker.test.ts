import { expect } from 'chai';
import { InFlightShareTracker } from '@papayawell/core';

describe('InFlightShareTracker', () => {
	function makeShares(large: number, small: number, weight = 1): InFlightShareTracker {
		const shares = new InFlightShareTracker(0.1);
		for (let index = 0; index < large; index++) {
			shares.noteSent('large', weight);
		}
		for (let index = 0; index < small; index++) {
			shares.noteSent('small', 1);
		}
		return shares;
	}

	const cases = [
		{
			name: 'a single customer may use the whole capacity',
			large: 50,
			small: 0,
			weight: 1,
			expected: [1, 1],
		},
		{
			name: 'a customer above its fair share leaves headroom',
			large: 50,
			small: 2,
			weight: 1,
			expected: [0.9, 1],
		},
		{
			name: 'a customer within the fair share of its weight may use the whole capacity',
			large: 50,
			small: 20,
			weight: 20,
			expected: [1, 0.9],
		},
	];
	for (const { name, large, small, weight, expected } of cases) {
		it(name, () => {
			const shares = makeShares(large, small, weight);
			const actual = [shares.computeCapacityShare('large', weight), shares.computeCapacityShare('small', 1)];
			expect(actual).to.deep.equal(expected);
		});
	}

	it('stops counting finished requests', () => {
		const shares = makeShares(3, 1);
		shares.noteFinished('small');
		expect(shares.computeCapacityShare('large', 1)).to.equal(1);
	});

	it('counts the use at other routers until it is replaced', () => {
		const shares = makeShares(2, 2);
		shares.setOthers(new Map([['large', 50]]));
		expect(shares.computeCapacityShare('large', 1)).to.equal(0.9);
		expect(shares.computeCapacityShare('small', 1)).to.equal(1);
		shares.setOthers(new Map([['small', 50]]));
		expect(shares.computeCapacityShare('large', 1)).to.equal(1);
		expect(shares.computeCapacityShare('small', 1)).to.equal(0.9);
		expect(shares.listOwn()).to.deep.equal([
			['large', 2],
			['small', 2],
		]);
	});
});
