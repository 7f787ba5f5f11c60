/** The load of a cold start: all caches are empty, and many instances place the same long prefixes at once. */
import { expect } from 'chai';
import type { FleetModelOptions, FleetModelResult } from './fleetModel.js';
import { runFleetModel } from './fleetModel.js';

const COLD_START: FleetModelOptions = {
	instances: 77,
	engines: 42,
	slots: 64,
	memoryTokens: 310_286,
	// Engines that decode as well prefill more slowly than their 56.6 tokens in a ms.
	prefillTokensPerMs: 35,
	sharedPrefixes: 140,
	requestsPerSecond: 134,
	objectiveMs: 515,
	durationMs: 4000,
	tickMs: 5,
	seed: 1,
	usesLoadReports: true,
};

const SEEDS = [1, 2, 3, 4, 5];

function countReadAgain({ rootsReadAgain, chatsReadAgain }: FleetModelResult): number {
	return rootsReadAgain + chatsReadAgain;
}

function sumOf(results: readonly FleetModelResult[], name: keyof FleetModelResult): number {
	return results.reduce((sum, result) => sum + result[name], 0);
}

function describeTransfer(hasCacheTransfer: boolean): string {
	return hasCacheTransfer ? 'with cache transfer' : 'without cache transfer';
}

describe('cold start of 77 instances with 140 long prefixes over 4 roots', () => {
	for (const hasCacheTransfer of [true, false]) {
		for (const seed of SEEDS.slice(0, 2)) {
			const options = { ...COLD_START, hasCacheTransfer, seed };
			const name = `${describeTransfer(hasCacheTransfer)}, seed ${seed}`;

			it(`the longest prefill queue is near that of one chooser with complete information (${name})`, () => {
				const result = runFleetModel(options);
				const complete = runFleetModel({ ...options, instances: 1 });
				expect(result.longestPrefillMs).to.be.below(1.3 * complete.longestPrefillMs);
				expect(countReadAgain(result)).to.be.at.most(1.6 * countReadAgain(complete));
				expect(result.lateShare).to.equal(0);
			});
		}

		it(`all announcements lost, mean of five seeds: no worse than without load reports (${describeTransfer(hasCacheTransfer)})`, () => {
			const lossy = { ...COLD_START, hasCacheTransfer, losesAnnouncements: true };
			const results = SEEDS.map((seed) => runFleetModel({ ...lossy, seed }));
			const before = SEEDS.map((seed) => runFleetModel({ ...lossy, seed, usesLoadReports: false }));
			for (const name of ['longestPrefillMs', 'lateShare'] as const) {
				expect(sumOf(results, name), name).to.be.at.most(sumOf(before, name));
			}
			expect(sumOf(results, 'readTokens')).to.be.at.most(1.02 * sumOf(before, 'readTokens'));
		});
	}
});
