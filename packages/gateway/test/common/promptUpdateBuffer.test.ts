import { expect } from 'chai';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { PromptUpdateBuffer } from '../../src/common/promptUpdateBuffer.js';

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
});
