import { expect } from 'chai';
import type { PeerState } from '../../src/common/peerState.js';
import { PromptKnowledge } from '../../src/common/peerState.js';
import { encodeCompressed, decodePeerState, encodePeerState } from '../../src/node/peerStateCodec.js';

/** A state as an instance of a fleet of 79 sends it under load. */
function makeState(updates: number): PeerState {
	const makeHash = (index: number): number => Math.imul(index + 1, 0x9e3779b1) >>> 0;
	const makeId = (index: number): string => `i-${makeHash(index).toString(16).padStart(10, '0')}`;
	return {
		instance: {
			fleet: '',
			name: 'edge-recife-a-14',
			incarnation: '91ee4583fbb7',
			zone: 'recife-a',
			callersAddress: '10.1.0.53:8742',
			controlAddress: '10.1.0.53:8749',
		},
		acceptsCompressed: true,
		isServing: true,
		configurationVersion: 12,
		targetsRevision: 4711,
		storeEra: 1,
		targetsAgeMs: 420,
		targetsDigest: 3_141_592_653,
		leaving: [],
		loads: Array.from({ length: 8 }, (_, index) => [makeId(index), 1 + (index % 3), 300 * index]),
		crashes: [],
		prompts: Array.from({ length: updates }, (_, index) => ({
			target: makeId(index),
			links: [makeHash(2 * index), 629, makeHash(2 * index + 1), 4235],
		})),
		promptTokens: 1_234_567,
		promptKnowledge: PromptKnowledge.Full,
		known: [],
	};
}

describe('peer state codec', () => {
	it('a state is equal after encoding and decoding, compressed or not', () => {
		for (const state of [makeState(0), makeState(12), makeState(150)]) {
			const encoded = encodePeerState(state);
			expect(decodePeerState(encoded)).to.deep.equal(state);
			expect(decodePeerState(encodeCompressed(encoded))).to.deep.equal(state);
		}
	});

	it('large fleet: a compressed state has less than half of the bytes', () => {
		const encoded = encodePeerState(makeState(12));
		expect(encodeCompressed(encoded).length).to.be.below(encoded.length / 2);
	});

	it('small fleet: a small state is sent as JSON', () => {
		const encoded = encodePeerState(makeState(0));
		expect(encodeCompressed(encoded)).to.equal(encoded);
	});

	it('fails on bytes that are no state, also if they would unpack to more than the limit', () => {
		for (const bytes of [
			Buffer.of(),
			Buffer.of(1),
			Buffer.of(1, 2, 3),
			Buffer.from('{"a":'),
			Buffer.of(0xff),
		]) {
			expect(() => decodePeerState(bytes)).to.throw();
		}
		const bomb = encodeCompressed(encodePeerState({ ...makeState(1), known: ['x'.repeat(2_000_000)] }));
		expect(() => decodePeerState(bomb)).to.throw();
	});

	// Guards against a process that ends by itself on a datagram of a peer whose state has a part of another type.
	it('fails on a state whose parts are of another type, so that nothing of it is adopted', () => {
		for (const change of [
			{ storeEra: '2' },
			{ leaving: 5 },
			{ leaving: ['i-1'] },
			{ leaving: [['i-1', '7']] },
			{ removed: { id: 'i-1' } },
			{ removed: [[1, 7]] },
			{ promptDeaths: [['part', 't-1', 1]] },
			{ promptDeaths: [['part', 't-1', 1, -1]] },
			{ promptAnswers: [['part', '1']] },
			{ promptAnswers: [['part', -1]] },
			{ targetLimits: [['i-1', 7, 2, -1]] },
			{ coldTargets: [['i-1', 7, -1, 0]] },
			{ coldTargets: [['i-1', 7, 100, 3]] },
			{ rosterSize: '5' },
			{ targetLimits: [['i-1', 7, '2', 1]] },
			{ targetLimits: [['i-1', 7, -1, 1]] },
			{ loads: undefined },
			{ instance: {} },
			{ instance: { ...makeState(0).instance, controlAddress: '10.1.0.53:0' } },
			{ instance: { ...makeState(0).instance, callersAddress: 5 } },
			{ instance: { ...makeState(0).instance, zone: null } },
			{ targetsAgeMs: [[]] },
			{ loads: [null] },
			{ loads: [['i-1', 1, null]] },
			{ crashes: [null] },
			{ crashes: [{ fingerprint: 'a', target: 'i-1', expiresInMs: null }] },
			{ prompts: [null] },
			{ prompts: [{ target: 'i-1', links: null }] },
			{ prompts: [{ target: 'i-1', links: [1, -1] }] },
			{ promptTokens: null },
			{ known: [5] },
			{ known: ['peer'] },
		]) {
			const bytes = Buffer.from(JSON.stringify({ ...makeState(0), ...change }));
			expect(() => decodePeerState(bytes), JSON.stringify(change)).to.throw('not a valid peer state');
		}
	});

	it('reads the state of an instance of an older version', () => {
		const { storeEra, leaving, acceptsCompressed, ...older } = makeState(0);
		expect([storeEra, leaving, acceptsCompressed]).to.deep.equal([1, [], true]);
		expect(decodePeerState(Buffer.from(JSON.stringify(older)))).to.deep.equal(older);
	});
});
