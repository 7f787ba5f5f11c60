/** Gossip between zones through relays, against direct gossip: bytes, ages of states and detection of killed instances. */
import { expect } from 'chai';
import { runZoneGossip } from './zoneGossip.js';

const QUIET = { lossShare: 0, durationMs: 12_000, killAtMs: Infinity };

describe('gossip between zones through relays', () => {
	for (const { instances, zones } of [
		{ instances: 23, zones: 3 },
		{ instances: 32, zones: 3 },
		{ instances: 77, zones: 4 },
		{ instances: 323, zones: 4 },
	]) {
		it(`${instances} instances in ${zones} zones: a quarter of the datagrams between zones, and younger states`, function () {
			this.timeout(60_000);
			const durationMs = instances > 100 ? 6000 : QUIET.durationMs;
			const direct = runZoneGossip({ ...QUIET, durationMs, instances, zones, usesRelays: false });
			const relayed = runZoneGossip({ ...QUIET, durationMs, instances, zones, usesRelays: true });
			expect(relayed.crossingPerSecond).to.be.at.most(direct.crossingPerSecond / 4);
			expect(relayed.crossingPerSecond).to.be.at.most(12);
			expect(relayed.meanAgeMs).to.be.at.most(direct.meanAgeMs * 1.05 + 10);
		});
	}

	it('lossy links: no live instance is taken for dead', () => {
		const result = runZoneGossip({ ...QUIET, lossShare: 0.05, instances: 32, zones: 3, usesRelays: true });
		expect(result.missingPairs).to.equal(0);
	});

	for (const { instances, zones } of [
		{ instances: 32, zones: 3 },
		{ instances: 77, zones: 4 },
	]) {
		it(`half a zone is killed at ${instances} instances: noticed as soon as with direct gossip, and no other instance is missed`, () => {
			const options = { ...QUIET, killAtMs: 5000, instances, zones };
			const direct = runZoneGossip({ ...options, usesRelays: false });
			const relayed = runZoneGossip({ ...options, usesRelays: true });
			expect(relayed.lastListedMs).to.be.at.most(direct.lastListedMs + 100);
			expect(relayed.missingPairs).to.equal(0);
		});
	}
});
