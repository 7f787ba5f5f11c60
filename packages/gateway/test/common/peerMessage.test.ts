import { expect } from 'chai';
import type { PeerMessage } from '../../src/common/peerMessage.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/common/peerMessage.js';

describe('peer messages', () => {
	const messages: readonly PeerMessage[] = [
		{ kind: 'origins', origins: [['a', 'engines', 'v1', 5]] },
		{ kind: 'query', query: 3, attemptId: 'a', service: 'engines' },
		{ kind: 'reply', query: 3, origin: null, opinion: { kind: 'sole', version: 'v1' } },
		{ kind: 'rejection', target: 'i-1', startedAtMs: 7, rejectionsPerSecond: 2.5 },
		{ kind: 'rejection', target: 'i-1', startedAtMs: 7, rejectionsPerSecond: 2.5, held: 12 },
		{ kind: 'heartbeat', name: 'a', incarnation: '1', isServing: true },
		{ kind: 'cold', target: 'i-1', startedAtMs: 7, leftMs: 2500 },
		{ kind: 'unreachable', target: 'i-1', startedAtMs: 7 },
		{ kind: 'placement', target: 'i-1', startedAtMs: 7, prefillTokens: 8620, links: [1, 2500, 2, 6120] },
		{ kind: 'reply', query: 3, origin: ['a', 'engines', 'v1', 5], opinion: { kind: 'several' } },
	];

	for (const message of messages) {
		it(`are the same after a transfer: ${JSON.stringify(message)}`, () => {
			expect(decodePeerMessage(encodePeerMessage(message))).to.deep.equal(message);
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
		'{"kind":"rejection","target":"i-1","startedAtMs":1.5,"rejectionsPerSecond":2}',
		'{"kind":"rejection","target":"i-1","startedAtMs":1}',
		'{"kind":"rejection","target":"i-1","startedAtMs":1,"rejectionsPerSecond":2,"held":-1}',
		'{"kind":"heartbeat","name":"a","incarnation":"1"}',
		'{"kind":"cold","target":"i-1","startedAtMs":1,"leftMs":-1}',
		'{"kind":"cold","target":"i-1","startedAtMs":1}',
		'{"kind":"unreachable","target":1,"startedAtMs":1}',
		'{"kind":"placement","target":"i-1","startedAtMs":1,"prefillTokens":-1,"links":[]}',
		'{"kind":"placement","target":"i-1","startedAtMs":1,"prefillTokens":1,"links":[1,"2"]}',
		'{"kind":"other"}',
	]) {
		it(`are rejected if they are malformed: ${text}`, () => {
			expect(decodePeerMessage(Buffer.from(text))).to.equal(undefined);
		});
	}
});
