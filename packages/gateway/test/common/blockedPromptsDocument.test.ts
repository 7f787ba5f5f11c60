import { expect } from 'chai';
import { decodeBlockedPrompts, encodeBlockedPrompts } from '../../src/common/blockedPromptsDocument.js';

describe('document of blocked prompt parts', () => {
	it('returns the deaths with their ages at the time of reading', () => {
		const text = encodeBlockedPrompts([['part', 't@1', 1200, 1100]], 50_000);
		expect(decodeBlockedPrompts(text, 53_000)).to.deep.equal([['part', 't@1', 4200, 4100]]);
	});

	it('does not make deaths younger when the clocks differ', () => {
		const text = encodeBlockedPrompts([['part', 't@1', 1200, 1100]], 50_000);
		expect(decodeBlockedPrompts(text, 48_000)).to.deep.equal([['part', 't@1', 1200, 1100]]);
	});

	it('returns nothing for a text that is malformed', () => {
		for (const text of ['', 'null', '[]', '{"writtenAtMs":1}', '{"writtenAtMs":1,"deaths":[["part"]]}']) {
			expect(decodeBlockedPrompts(text, 1), text).to.equal(undefined);
		}
	});
});
