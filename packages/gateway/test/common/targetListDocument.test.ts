import { expect } from 'chai';
import { computeDigest, decodeTargetList, encodeTargetList } from '../../src/common/targetListDocument.js';
import { makeRecord } from './fixtures.js';

describe('the list of targets between instances', () => {
	const targets = [makeRecord('a'), makeRecord('b', { isLeaving: true })];

	it('comes back as it was given', () => {
		const given = { list: { revision: 7, targets }, ageMs: 120 };
		expect(decodeTargetList(encodeTargetList(given))).to.deep.equal(given);
	});

	it('is not taken when a part of it cannot be used', () => {
		const withoutZone = { ...makeRecord('a'), zone: undefined };
		for (const text of [
			'',
			'{"list":',
			'null',
			'[]',
			'{"ageMs":1}',
			JSON.stringify({ ageMs: 1, list: { revision: 7, targets: [withoutZone] } }),
			JSON.stringify({ ageMs: '1', list: { revision: 7, targets } }),
		]) {
			expect(decodeTargetList(text), text).to.equal(undefined);
		}
	});

	it('has a digest that does not depend on the order', () => {
		expect(computeDigest(targets)).to.equal(computeDigest([...targets].reverse()));
		expect(computeDigest(targets)).not.to.equal(computeDigest(targets.slice(1)));
	});
});
