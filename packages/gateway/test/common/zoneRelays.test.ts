import { expect } from 'chai';
import type { GossipPeer } from '../../src/common/zoneRelays.js';
import { ROUND_RELAYS, URGENT_RELAYS, ZoneRelays } from '../../src/common/zoneRelays.js';

function makePeers(zone: string, count: number, changes: Partial<GossipPeer> = {}): GossipPeer[] {
	return Array.from({ length: count }, (_, index) => ({
		controlAddress: `${zone}${index}`,
		zone,
		relaysStates: true,
		isServing: true,
		ageMs: 100,
		...changes,
	}));
}

describe('ZoneRelays', () => {
	it('sends to all peers of the own zone and to one relay of each other zone, another one each round', () => {
		const relays = new ZoneRelays('a', 0);
		const peers = [...makePeers('a', 3), ...makePeers('b', 4), ...makePeers('c', 4)];
		const used = new Set<string>();
		for (let round = 0; round < 4; round++) {
			const plan = relays.plan(peers, ROUND_RELAYS);
			expect(plan.direct).to.deep.equal(['a0', 'a1', 'a2']);
			expect(plan.relays.map(([zone]) => zone)).to.deep.equal(['b', 'c']);
			plan.relays.forEach((address) => used.add(address));
		}
		expect(used.size).to.equal(8);
	});

	it('a change goes through two relays, so that it arrives at once even if one was just killed', () => {
		const plan = new ZoneRelays('a', 0.5).plan(makePeers('b', 5), URGENT_RELAYS);
		expect(new Set(plan.relays).size).to.equal(2);
	});

	it('a lost round is made up for: while a peer is silent, states go through two relays', () => {
		const peers = [...makePeers('b', 5), ...makePeers('a', 1, { ageMs: 500 })];
		expect(new Set(new ZoneRelays('a', 0).plan(peers, ROUND_RELAYS).relays).size).to.equal(2);
	});

	it('a killed relay is replaced: peers that are silent or drain are not used', () => {
		const relays = new ZoneRelays('a', 0);
		const [killed, draining, ...others] = makePeers('b', 6);
		const peers = [
			...(killed === undefined ? [] : [{ ...killed, ageMs: 800 }]),
			...(draining === undefined ? [] : [{ ...draining, isServing: false }]),
			...others,
		];
		for (let round = 0; round < 8; round++) {
			expect(relays.plan(peers, ROUND_RELAYS).relays).not.to.include.oneOf(['b0', 'b1']);
		}
	});

	it('a zone without enough relays is sent to directly, all of it', () => {
		const peers = [...makePeers('b', 1), ...makePeers('c', 3, { isServing: false })];
		const plan = new ZoneRelays('a', 0).plan(peers, ROUND_RELAYS);
		expect(plan).to.deep.equal({ direct: ['b0', 'c0', 'c1', 'c2'], older: [], relays: [] });
	});

	it('rolling update: instances of an older version are sent to as before', () => {
		const peers = [
			...makePeers('b', 3, { relaysStates: false }),
			...makePeers('a', 1, { relaysStates: false }),
		];
		const plan = new ZoneRelays('a', 0).plan(peers, ROUND_RELAYS);
		expect(plan).to.deep.equal({ direct: [], older: ['b0', 'b1', 'b2', 'a0'], relays: [] });
	});
});
