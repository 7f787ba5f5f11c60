import { expect } from 'chai';
import type { PeerState } from '../../src/common/peerState.js';
import { PromptKnowledge } from '../../src/common/peerState.js';
import { decodePeerState, encodePeerState } from '../../src/node/peerStateCodec.js';

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
			for (const isCompressionAllowed of [true, false]) {
				expect(decodePeerState(encodePeerState(state, isCompressionAllowed))).to.deep.equal(state);
			}
		}
	});

	it('large fleet: a compressed state has less than half of the bytes', () => {
		const state = makeState(12);
		const plain = encodePeerState(state, false).length;
		expect(encodePeerState(state, true).length).to.be.below(plain / 2);
	});

	it('small fleet: a small state is sent as JSON', () => {
		expect(encodePeerState(makeState(0), true)).to.deep.equal(encodePeerState(makeState(0), false));
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
		const bomb = encodePeerState({ ...makeState(1), known: ['x'.repeat(2_000_000)] }, true);
		expect(() => decodePeerState(bomb)).to.throw();
	});
});
