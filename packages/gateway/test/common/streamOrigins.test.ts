import { expect } from 'chai';
import {
	decodeStreamOriginMessage,
	encodeStreamOriginMessage,
} from '../../src/common/streamOriginMessage.js';
import type { StreamOriginMessage } from '../../src/common/streamOriginMessage.js';
import { ORIGIN_RETENTION_MS, StreamOrigins } from '../../src/common/streamOrigins.js';

describe('StreamOrigins', () => {
	it('keeps the first origin of a stream, whatever is said later', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 0], 0);
		origins.add(['a', 'engines', 'v2', 0], 1);
		expect(origins.find('a')?.version).to.equal('v1');
	});

	it('forgets origins that callers can no longer name', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 1000], 0);
		origins.add(['b', 'engines', 'v1', 0], ORIGIN_RETENTION_MS - 500);
		expect([origins.find('a'), origins.find('b')?.version]).to.deep.equal([undefined, 'v1']);
	});

	it('lists the newest first, with their ages', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 0], 0);
		origins.add(['b', 'engines', 'v1', 0], 500);
		origins.add(['c', 'engines', 'v2', 0], 700);
		expect(origins.listRecent(500, 1000)).to.deep.equal([
			['c', 'engines', 'v2', 300],
			['b', 'engines', 'v1', 500],
		]);
	});
});

describe('stream origin messages', () => {
	const messages: readonly StreamOriginMessage[] = [
		{ kind: 'origins', origins: [['a', 'engines', 'v1', 5]] },
		{ kind: 'query', query: 3, attemptId: 'a', service: 'engines' },
		{ kind: 'reply', query: 3, origin: null, opinion: { kind: 'sole', version: 'v1' } },
		{ kind: 'reply', query: 3, origin: ['a', 'engines', 'v1', 5], opinion: { kind: 'several' } },
	];

	for (const message of messages) {
		it(`are the same after a transfer: ${JSON.stringify(message)}`, () => {
			expect(decodeStreamOriginMessage(encodeStreamOriginMessage(message))).to.deep.equal(message);
		});
	}

	for (const text of [
		'',
		'null',
		'{"kind":"origins"}',
		'{"kind":"origins","origins":[["a","s","v1",-1]]}',
		'{"kind":"origins","origins":[["a","s",1,1]]}',
		'{"kind":"query","query":"3","attemptId":"a","service":"s"}',
		'{"kind":"reply","query":3,"origin":null,"opinion":{"kind":"sole"}}',
		'{"kind":"other"}',
	]) {
		it(`are rejected if they are malformed: ${text}`, () => {
			expect(decodeStreamOriginMessage(Buffer.from(text))).to.equal(undefined);
		});
	}
});
