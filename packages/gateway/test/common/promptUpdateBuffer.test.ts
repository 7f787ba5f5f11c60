import { expect } from 'chai';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { PromptUpdateBuffer } from '../../src/common/promptUpdateBuffer.js';

const HALF_DATAGRAM_BYTES = 30_000;

describe('PromptUpdateBuffer', () => {
	const chain = buildPromptChain([
		{ id: 'a', tokens: 1200 },
		{ id: 'b', tokens: 400 },
	]);

	function countRounds(peers: number): number {
		const buffer = new PromptUpdateBuffer();
		buffer.add('engine', chain, peers, 0);
		let rounds = 0;
		// The last round in which an update is sent begins a little late.
		for (let nowMs = 10; buffer.list(nowMs).length > 0; nowMs += 310) {
			rounds += 1;
		}
		return rounds;
	}

	it('keeps an update for two messages to each peer, however many peers there are', () => {
		expect(countRounds(3)).to.be.at.least(2);
		expect(countRounds(24)).to.be.at.least(2);
		// A round reaches 24 peers, so that 4 and 14 rounds reach each of them once.
		expect(countRounds(78)).to.be.at.least(8);
		expect(countRounds(322)).to.be.at.least(28);
	});

	// Guards against an instance that all peers take for dead, since its state does not fit into a datagram.
	it('lists no more than half a datagram of updates, the latest ones, however many parts the prompts have', () => {
		const buffer = new PromptUpdateBuffer();
		const parts = Array.from({ length: 1000 }, (_, part) => ({ id: String(part), tokens: 999_999_999 }));
		for (let index = 0; index < 10; index++) {
			buffer.add(`large-${index}`, buildPromptChain(parts), 3, index);
		}
		buffer.add('latest', chain, 3, 10);
		const updates = buffer.list(11);
		expect(JSON.stringify(updates).length).to.be.below(HALF_DATAGRAM_BYTES);
		expect(updates.map(({ target }) => target)).to.deep.equal(['large-9', 'latest']);
	});

	// Guards against one caller who hides the latest prompts of all others from the peers.
	it('omits an update that is too long by itself, and keeps the others', () => {
		const buffer = new PromptUpdateBuffer();
		buffer.add('earlier', chain, 3, 0);
		const parts = Array.from({ length: 2000 }, (_, part) => ({ id: String(part), tokens: 1 }));
		buffer.add('too-long', buildPromptChain(parts), 3, 1);
		expect(buffer.list(2).map(({ target }) => target)).to.deep.equal(['earlier']);
	});
});
