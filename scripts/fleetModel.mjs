/** Prints what the model of fleet, gossip and engines reads again, by the size of the fleet. Build first. */
import { runFleetModel } from '../packages/gateway/dist/test/model/fleetModel.js';

const SEEDS = [1, 2];
const FLEETS = [
	{ instances: 4, engines: 8, slots: 64, requestsPerSecond: 40, durationMs: 15_000 },
	{ instances: 31, engines: 60, slots: 24, requestsPerSecond: 216, durationMs: 15_000 },
	{ instances: 79, engines: 109, slots: 16, requestsPerSecond: 400, durationMs: 2000 },
	{ instances: 79, engines: 109, slots: 16, requestsPerSecond: 400, durationMs: 15_000 },
	{ instances: 323, engines: 440, slots: 16, requestsPerSecond: 1584, durationMs: 8000 },
];

function formatPercent(part, whole) {
	return ((100 * part) / whole).toFixed(2);
}

console.log(
	'instances seconds seed | in 100 tokens read: roots again, chats again | highest load | late in 100',
);
for (const fleet of FLEETS) {
	for (const seed of SEEDS) {
		const result = runFleetModel({ ...fleet, memoryTokens: 256_000, seed });
		const { readTokens, rootsReadAgain, chatsReadAgain, highestLoadShare, lateShare } = result;
		console.log(
			[fleet.instances, fleet.durationMs / 1000, seed, '|'].join(' '),
			formatPercent(rootsReadAgain, readTokens),
			formatPercent(chatsReadAgain, readTokens),
			`| ${highestLoadShare.toFixed(2)} | ${formatPercent(lateShare, 1)}`,
		);
	}
}
