import { expect } from 'chai';
import {
	countHeartbeatGroups,
	GOSSIP_INTERVAL_MS,
	selectRecipients,
} from '../../src/common/gossipInterval.js';
import type { PeerState } from '../../src/common/peerState.js';
import { PeerTable } from '../../src/common/peerTable.js';
import { makePeerState } from './fixtures.js';

function makeState(name: string, isServing = true): PeerState {
	return makePeerState(name, { isServing });
}

describe('PeerTable', () => {
	it('lists for callers only instances that serve and whose messages are recent', () => {
		const table = new PeerTable('b');
		table.update(makeState('a'), 0);
		table.update(makeState('c', false), 0);
		const names = (nowMs: number): string[] => table.listServing(nowMs).map(({ instance }) => instance.name);
		expect(names(1000)).to.deep.equal(['a']);
		expect(names(1600)).to.deep.equal([]);
	});

	it('ranks the readers of the store by name, without those past the liveness timeout', () => {
		const table = new PeerTable('b');
		table.update(makeState('a'), 0);
		table.update(makeState('c'), 0);
		expect(table.findRankAmongServing(100)).to.equal(1);
		expect(table.findRankAmongServing(1600)).to.equal(0);
	});

	it('fleet of 100: lists instances with a message every 1.5 s, and not those that died', () => {
		const table = new PeerTable('z');
		for (let index = 0; index < 100; index++) {
			table.update(makeState(`a${index}`), index < 50 ? 0 : 2500);
		}
		expect(table.listServing(3000)).to.have.lengthOf(100);
		expect(table.listServing(4000)).to.have.lengthOf(50);
	});

	it('large fleet: the first six are registrars, and the next ones once messages of some of these stop', () => {
		const table = new PeerTable('z');
		for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) {
			table.update(makeState(name), name === 'f' ? 1000 : 0);
		}
		expect(table.isRegistrar(1000)).to.equal(false);
		expect(table.isRegistrar(2000)).to.equal(true);
	});

	/**
	 * Models what one instance receives: each peer gossips to all instances in turn, one datagram in 20 is lost, and half
	 * of the peers are killed. Returns how long killed ones were listed, and the smallest share of living ones listed.
	 */
	function measureListing(instances: number): { readonly listedMs: number; readonly livingShare: number } {
		const table = new PeerTable('self');
		const addresses = ['self', ...Array.from({ length: instances - 2 }, (_, index) => `other-${index}`)];
		const sendsHeartbeats = countHeartbeatGroups(instances - 1) > 0;
		const peers = Array.from({ length: instances - 1 }, (_, index) => {
			const state = { ...makeState(`p-${index}`), sendsHeartbeats, known: addresses };
			table.update(state, 0);
			return { state, start: index, phase: (index * 37) % GOSSIP_INTERVAL_MS };
		});
		const isKilled = ({ instance: { name } }: PeerState): boolean => Number(name.slice(2)) % 2 === 0;
		const killedAtMs = 20_000;
		let [lastListedMs, livingShare, datagrams] = [0, 1, 0];
		for (let nowMs = 0; nowMs < killedAtMs + 10_000; nowMs += 10) {
			for (const peer of peers.filter(({ phase }) => nowMs % GOSSIP_INTERVAL_MS === phase - (phase % 10))) {
				const { states, heartbeats } = selectRecipients(addresses, peer.start);
				peer.start = (peer.start + states.length) % addresses.length;
				const isDelivered = (nowMs < killedAtMs || !isKilled(peer.state)) && ++datagrams % 20 !== 0;
				if (isDelivered && states.includes('self')) {
					table.update(peer.state, nowMs);
				} else if (isDelivered && heartbeats.includes('self')) {
					table.recordHeartbeat({ kind: 'heartbeat', ...peer.state.instance, isServing: true }, nowMs);
				}
			}
			if (nowMs % 100 === 0) {
				table.expire(nowMs);
				const listed = table.listServing(nowMs);
				const living = listed.filter((state) => !isKilled(state)).length;
				livingShare = Math.min(livingShare, living / peers.filter(({ state }) => !isKilled(state)).length);
				lastListedMs = listed.some(isKilled) ? nowMs : lastListedMs;
			}
		}
		return { listedMs: lastListedMs - killedAtMs, livingShare };
	}

	for (const instances of [4, 32, 79, 323]) {
		// Callers are sent to a dead instance: with 323 instances it was listed for 10.5 s, where 7 s are allowed.
		it(`fleet of ${instances}: killed instances leave the directory within 4 s, and living ones stay`, () => {
			const { listedMs, livingShare } = measureListing(instances);
			expect(listedMs).to.be.within(0, 4000);
			expect(livingShare).to.be.greaterThan(0.9);
		}).timeout(60_000);
	}

	it('a heartbeat of an unknown start is no sign of life, and one that no longer serves is not listed', () => {
		const table = new PeerTable('b');
		table.update(makeState('a'), 0);
		table.recordHeartbeat({ kind: 'heartbeat', name: 'a', incarnation: '2', isServing: true }, 1400);
		expect(table.listServing(1600)).to.have.lengthOf(0);
		table.recordHeartbeat({ kind: 'heartbeat', name: 'a', incarnation: '1', isServing: false }, 1600);
		expect(table.listServing(1600)).to.have.lengthOf(0);
	});
});
