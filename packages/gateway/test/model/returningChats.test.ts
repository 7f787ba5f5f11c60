/** The load of returning chats: each comes back within seconds, to an instance that did not serve it before. */
import { expect } from 'chai';
import type { FleetModelResult } from './fleetModel.js';
import { runFleetModel } from './fleetModel.js';

/** Shared tokens that may be read again, of all tokens read. */
const MAX_READ_AGAIN_SHARE = 0.08;
/** Share of the prompts that may miss the objective of their first token. */
const MAX_LATE_SHARE = 0.005;

const LARGE_FLEET = {
	instances: 79,
	engines: 109,
	slots: 16,
	memoryTokens: 256_000,
	requestsPerSecond: 400,
};

function computeReadAgainShare({ rootsReadAgain, chatsReadAgain, readTokens }: FleetModelResult): number {
	return (rootsReadAgain + chatsReadAgain) / readTokens;
}

describe('returning chats that reach any instance of the fleet', () => {
	it('few of their tokens are read again in a fleet of 4 instances', () => {
		const result = runFleetModel({
			instances: 4,
			engines: 8,
			slots: 64,
			memoryTokens: 280_000,
			requestsPerSecond: 40,
			durationMs: 15_000,
			seed: 1,
		});
		expect(computeReadAgainShare(result)).to.be.below(MAX_READ_AGAIN_SHARE);
	});

	it('cold start of 79 instances: hardly any prompt is late', () => {
		const result = runFleetModel({ ...LARGE_FLEET, durationMs: 2000, seed: 1 });
		expect(result.lateShare).to.be.below(MAX_LATE_SHARE);
	});

	for (const seed of [1, 2]) {
		it(`few of their tokens are read again in a fleet of 79 instances (seed ${seed})`, () => {
			const result = runFleetModel({ ...LARGE_FLEET, durationMs: 15_000, seed });
			expect(computeReadAgainShare(result)).to.be.below(MAX_READ_AGAIN_SHARE);
		});
	}
});
