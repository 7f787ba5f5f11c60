import { expect } from 'chai';
import { parseStatedRate } from '../../src/common/statedRate.js';

describe('parseStatedRate', () => {
	for (const [text, requestsPerSecond] of [
		['2', 2],
		['16', 16],
		[' 0.25 ', 0.25],
		[' 2.5 ', 2.5],
	] as const) {
		it(`reads "${text}" as a decimal number of requests a second`, () => {
			expect(parseStatedRate(text)).to.deep.equal({ kind: 'rate', requestsPerSecond });
		});
	}

	it('tells that none is stated', () => {
		expect(parseStatedRate(undefined)).to.deep.equal({ kind: 'none' });
	});

	for (const text of ['', '-1', 'few', 'many', '1e9', 'Infinity', '1,5', '9'.repeat(30)]) {
		it(`rejects "${text}"`, () => {
			expect(parseStatedRate(text)).to.deep.equal({ kind: 'invalid', text });
		});
	}
});
