import { expect } from 'chai';
import { computeDigest } from '../../src/common/targetListDigest.js';
import { makeRecord } from './fixtures.js';

describe('target list digest', () => {
	it('does not depend on the order of the records', () => {
		const targets = [makeRecord('a'), makeRecord('b', { isLeaving: true })];
		expect(computeDigest(targets)).to.equal(computeDigest([...targets].reverse()));
		expect(computeDigest(targets)).not.to.equal(computeDigest(targets.slice(1)));
	});
});
