import { expect } from 'chai';
import { decodeTargetList, encodeTargetList } from '../../src/common/targetListDocument.js';
import { makeRecord } from './fixtures.js';

describe('target list document', () => {
	const targets = [makeRecord('a'), makeRecord('b', { isLeaving: true })];

	it('is equal after encoding and decoding', () => {
		const original = { list: { era: 2, revision: 7, targets }, ageMs: 120 };
		const coldness = { entries: [{ id: 'a', startedAtMs: 1, leftMs: 900, revision: 6 }], ageMs: 80 };
		for (const document of [original, { ...original, coldness }]) {
			expect(decodeTargetList(encodeTargetList(document))).to.deep.equal(document);
		}
	});

	it('is not decoded when any part of it is invalid', () => {
		const withoutZone = { ...makeRecord('a'), zone: undefined };
		for (const text of [
			'',
			'{"list":',
			'null',
			'[]',
			'{"ageMs":1}',
			JSON.stringify({ ageMs: 1, list: { era: 2, revision: 7, targets: [withoutZone] } }),
			JSON.stringify({ ageMs: '1', list: { era: 2, revision: 7, targets } }),
			JSON.stringify({ ageMs: 1, list: { revision: 7, targets } }),
			JSON.stringify({
				ageMs: 1,
				list: { era: 2, revision: 7, targets },
				coldness: { entries: [{}], ageMs: 1 },
			}),
		]) {
			expect(decodeTargetList(text), text).to.equal(undefined);
		}
	});
});
