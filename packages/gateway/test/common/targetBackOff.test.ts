import { expect } from 'chai';
import { parseBackOff } from '../../src/common/targetBackOff.js';

describe('parseBackOff', () => {
	it('reads seconds, possibly with a fraction', () => {
		expect(parseBackOff('2')).to.deep.equal({ kind: 'wait', waitMs: 2000, isCapped: false });
		expect(parseBackOff(' 0.25 ')).to.deep.equal({ kind: 'wait', waitMs: 250, isCapped: false });
		expect(parseBackOff('0')).to.deep.equal({ kind: 'wait', waitMs: 0, isCapped: false });
		expect(parseBackOff(undefined)).to.deep.equal({ kind: 'none' });
	});

	it('caps a time that can only be a mistake', () => {
		expect(parseBackOff('9'.repeat(400))).to.deep.equal({ kind: 'wait', waitMs: 600_000, isCapped: true });
	});

	it('rejects what is not a number of seconds', () => {
		for (const text of ['', '-1', 'soon', '1e9', 'NaN', 'Fri, 04 Dec 2026 09:00:00 GMT', '1,5']) {
			expect(parseBackOff(text), text).to.deep.equal({ kind: 'invalid', text });
		}
	});
});
