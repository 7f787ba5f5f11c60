import { expect } from 'chai';
import { TargetStarts } from '../../src/common/targetStarts.js';

describe('TargetStarts', () => {
	it('remembers the latest start of a target', () => {
		const starts = new TargetStarts();
		expect(starts.add('a', 5)).to.equal(true);
		expect(starts.add('a', 4)).to.equal(false);
		expect(starts.has('a', 5)).to.equal(true);
		expect(starts.add('a', 6)).to.equal(true);
		expect(starts.has('a', 5)).to.equal(false);
	});

	it('forgets the oldest of thousands of starts first', () => {
		const starts = new TargetStarts();
		for (let index = 0; index <= 4000; index++) {
			starts.add(`t-${index}`, 1);
		}
		expect(starts.has('t-0', 1)).to.equal(false);
		expect(starts.has('t-1', 1)).to.equal(true);
		expect(starts.listNewest(2)).to.deep.equal([
			['t-3999', 1],
			['t-4000', 1],
		]);
	});
});
