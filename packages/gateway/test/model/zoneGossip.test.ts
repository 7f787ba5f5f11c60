/** Gossip between zones through relays, modelled without a network: datagrams that cross, ages of states, and failures. */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS, computePeerInterval } from '../../src/common/gossipInterval.js';
import type { PeerState } from '../../src/common/peerState.js';
import { PeerTable } from '../../src/common/peerTable.js';
import { StateAges } from '../../src/common/stateAges.js';
import { ROUND_RELAYS, ZoneRelays, computeRelayedInterval } from '../../src/common/zoneRelays.js';
import { makePeerState } from '../common/fixtures.js';

const TICK_MS = 5;
const SAMPLE_MS = 100;
const WARM_UP_MS = 3000;

class Instance {
	public readonly peers: PeerTable;
	public readonly ages = new StateAges();
	public readonly relays: ZoneRelays;
	public isAlive = true;
	public nextRoundMs = 0;

	constructor(
		public readonly name: string,
		public readonly zone: string,
		seed: number,
	) {
		this.peers = new PeerTable(name);
		this.relays = new ZoneRelays(zone, seed);
	}

	public describe(nowMs: number): PeerState {
		const state = makePeerState(this.name, { relaysStates: true, sentAtMs: nowMs + 1 });
		return { ...state, instance: { ...state.instance, zone: this.zone, controlAddress: this.name } };
	}
}

class Fleet {
	public crossing = 0;
	/** Pairs of live instances of which one did not list the other, summed over all samples. */
	public missingPairs = 0;
	/** Last time at which a killed instance was listed. */
	public lastListedMs = 0;
	public readonly agesMs: number[] = [];
	public readonly instances: readonly Instance[];
	private readonly random = xoroshiro128plus(7);
	private readonly byName: ReadonlyMap<string, Instance>;
	private readonly inTransit: (() => void)[] = [];
	private nowMs = 0;

	constructor(
		instances: number,
		zones: number,
		private readonly lossShare = 0,
	) {
		this.instances = Array.from(
			{ length: instances },
			(_, index) => new Instance(`i${index}`, `z${index % zones}`, uniformFloat64(this.random)),
		);
		this.byName = new Map(this.instances.map((instance) => [instance.name, instance]));
		for (const instance of this.instances) {
			instance.nextRoundMs = uniformFloat64(this.random) * GOSSIP_INTERVAL_MS;
			this.instances.forEach((other) => instance.peers.update(other.describe(0), 0));
		}
	}

	public run(untilMs: number): void {
		for (; this.nowMs < untilMs; this.nowMs += TICK_MS) {
			this.inTransit.splice(0).forEach((deliver) => {
				deliver();
			});
			const live = this.instances.filter(({ isAlive }) => isAlive);
			live
				.filter(({ nextRoundMs }) => this.nowMs >= nextRoundMs)
				.forEach((instance) => {
					this.sendRound(instance);
				});
			if (this.nowMs >= WARM_UP_MS && this.nowMs % SAMPLE_MS === 0) {
				live.forEach((instance) => {
					this.sample(instance, live.length);
				});
			}
		}
	}

	private sendRound(instance: Instance): void {
		instance.peers.expire(this.nowMs);
		const known = instance.peers.listWithAges(this.nowMs).map(({ state, ageMs }) => {
			const { controlAddress, zone } = state.instance;
			return { controlAddress, zone, relaysStates: true, isServing: true, ageMs };
		});
		instance.nextRoundMs = this.nowMs + computeRelayedInterval(known.length);
		const { direct, relays } = instance.relays.plan(known, ROUND_RELAYS);
		const state = instance.describe(this.nowMs);
		direct.forEach((name) => {
			this.send(instance, name, state, false);
		});
		relays.forEach((name) => {
			this.send(instance, name, state, true);
		});
	}

	private send(from: Instance, name: string, state: PeerState, isToRelay: boolean): void {
		const to = this.byName.get(name);
		this.crossing += from.zone === to?.zone ? 0 : 1;
		if (to?.isAlive === true && uniformFloat64(this.random) >= this.lossShare) {
			this.inTransit.push(() => {
				this.receive(to, state, isToRelay);
			});
		}
	}

	private receive(to: Instance, state: PeerState, isToRelay: boolean): void {
		const ageMs = to.ages.record(state, this.nowMs);
		if (ageMs === undefined) {
			return;
		}
		to.peers.update(state, this.nowMs, ageMs);
		const inZone = to.peers.listAll().filter(({ instance }) => isToRelay && instance.zone === to.zone);
		inZone.forEach(({ instance }) => {
			this.send(to, instance.name, state, false);
		});
	}

	private sample({ peers }: Instance, live: number): void {
		const isAlive = ({ instance }: PeerState): boolean => this.byName.get(instance.name)?.isAlive === true;
		const listed = peers.listServing(this.nowMs);
		const listedAlive = listed.filter(isAlive).length;
		this.missingPairs += live - 1 - listedAlive;
		this.lastListedMs = listedAlive < listed.length ? this.nowMs : this.lastListedMs;
		const ages = peers.listWithAges(this.nowMs).filter(({ state }) => isAlive(state));
		this.agesMs.push(...ages.map(({ ageMs }) => ageMs));
	}
}

describe('gossip between zones through relays', () => {
	for (const [instances, zones] of [
		[23, 3],
		[32, 3],
		[77, 4],
		[323, 4],
	] as const) {
		it(`${instances} instances: a seventh of the datagrams of direct gossip cross zones at most, and states are as young`, function () {
			this.timeout(60_000);
			const durationMs = instances > 100 ? 4500 : 9000;
			const fleet = new Fleet(instances, zones);
			fleet.run(durationMs);
			const directPerRound = Math.min(GOSSIP_FAN_OUT, instances - 1) * (1 - 1 / zones);
			const direct = (instances * directPerRound * durationMs) / GOSSIP_INTERVAL_MS;
			expect(fleet.crossing).to.be.below(direct / 7);
			const meanAgeMs = fleet.agesMs.reduce((sum, ageMs) => sum + ageMs, 0) / fleet.agesMs.length;
			// Two hops of one step each, and the step in which a round begins.
			expect(meanAgeMs).to.be.below(computePeerInterval(instances - 1) / 2 + 3 * TICK_MS);
			expect(fleet.missingPairs).to.equal(0);
		});
	}

	it('lossy links: no live instance is taken for dead if 5 in 100 datagrams are lost', () => {
		const fleet = new Fleet(32, 3, 0.05);
		fleet.run(15_000);
		expect(fleet.missingPairs).to.equal(0);
	});

	for (const [instances, zones, timeoutMs] of [
		[32, 3, 1500],
		[77, 4, 3000],
	] as const) {
		it(`half a zone of ${instances} instances is killed: not listed after the liveness timeout, and no other is missed`, () => {
			const fleet = new Fleet(instances, zones);
			fleet.run(5000);
			for (const [index, instance] of fleet.instances.entries()) {
				instance.isAlive = index % (2 * zones) !== 0;
			}
			fleet.run(12_000);
			expect(fleet.lastListedMs).to.be.within(5000, 5000 + timeoutMs + 2 * TICK_MS);
			expect(fleet.missingPairs).to.equal(0);
		});
	}
});
