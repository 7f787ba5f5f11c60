/**
 * Model of the gossip of a fleet in several zones, without a network: the real plans, tables of peers and ages of
 * states, and datagrams that take a while or get lost.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import type { PeerState } from '../../src/common/peerState.js';
import { PeerTable } from '../../src/common/peerTable.js';
import { StateAges } from '../../src/common/stateAges.js';
import { ROUND_RELAYS, ZoneRelays, computeRelayedInterval } from '../../src/common/zoneRelays.js';
import { makePeerState } from '../common/fixtures.js';

export interface ZoneGossipOptions {
	readonly instances: number;
	readonly zones: number;
	readonly usesRelays: boolean;
	readonly lossShare: number;
	readonly durationMs: number;
	/** When every other instance of the first zone is killed; infinity for never. */
	readonly killAtMs: number;
}

export interface ZoneGossipResult {
	/** Datagrams between zones that an instance sends in a second. */
	readonly crossingPerSecond: number;
	/** Datagrams that an instance receives in a second. */
	readonly receivedPerSecond: number;
	/** Mean age of the states of live peers in ms. */
	readonly meanAgeMs: number;
	/** Pairs of live instances of which one did not list the other, summed over all samples. */
	readonly missingPairs: number;
	/** Longest time after the kill for which a killed instance was listed, in ms. */
	readonly lastListedMs: number;
}

const TICK_MS = 20;
const SAMPLE_MS = 100;
const NETWORK_MS = 5;
const WARM_UP_MS = 3000;

interface Instance {
	readonly index: number;
	readonly zone: string;
	readonly name: string;
	readonly peers: PeerTable;
	readonly ages: StateAges;
	readonly relays: ZoneRelays;
	isAlive: boolean;
	nextRoundMs: number;
	nextRecipient: number;
}

export function runZoneGossip(options: ZoneGossipOptions): ZoneGossipResult {
	return new ZoneGossip(options).run();
}

class ZoneGossip {
	private readonly random: RandomGenerator = xoroshiro128plus(7);
	private readonly instances: readonly Instance[];
	private readonly byAddress: ReadonlyMap<string, Instance>;
	private readonly agenda = new Map<number, (() => void)[]>();
	private nowMs = 0;
	private crossing = 0;
	private received = 0;
	private ageSumMs = 0;
	private ages = 0;
	private missingPairs = 0;
	private lastListedMs = 0;

	constructor(private readonly options: ZoneGossipOptions) {
		this.instances = Array.from({ length: options.instances }, (_, index) => {
			const zone = `z${index % options.zones}`;
			const name = `i${index}`;
			const relays = new ZoneRelays(zone, uniformFloat64(this.random));
			const nextRoundMs = uniformFloat64(this.random) * GOSSIP_INTERVAL_MS;
			const peers = new PeerTable(name);
			return {
				index,
				zone,
				name,
				peers,
				ages: new StateAges(),
				relays,
				isAlive: true,
				nextRoundMs,
				nextRecipient: index,
			};
		});
		this.byAddress = new Map(this.instances.map((instance) => [instance.name, instance]));
		for (const instance of this.instances) {
			for (const other of this.instances) {
				instance.peers.update(this.describe(other), 0);
			}
		}
	}

	public run(): ZoneGossipResult {
		const { durationMs, killAtMs, instances } = this.options;
		for (; this.nowMs < durationMs; this.nowMs += TICK_MS) {
			for (const work of this.agenda.get(this.nowMs) ?? []) {
				work();
			}
			this.agenda.delete(this.nowMs);
			if (this.nowMs >= killAtMs) {
				for (const instance of this.instances.filter(({ index }) => index % (2 * this.options.zones) === 0)) {
					instance.isAlive = false;
				}
			}
			for (const instance of this.instances) {
				if (instance.isAlive && this.nowMs >= instance.nextRoundMs) {
					this.sendRound(instance);
				}
			}
			if (this.nowMs >= WARM_UP_MS && this.nowMs % SAMPLE_MS === 0) {
				this.sample();
			}
		}
		const instanceSeconds = (instances * durationMs) / 1000;
		return {
			crossingPerSecond: this.crossing / instanceSeconds,
			receivedPerSecond: this.received / instanceSeconds,
			meanAgeMs: this.ageSumMs / this.ages,
			missingPairs: this.missingPairs,
			lastListedMs: this.lastListedMs,
		};
	}

	private describe({ name, zone }: Instance): PeerState {
		const state = makePeerState(name);
		const instance = { ...state.instance, zone, controlAddress: name };
		return { ...state, instance, relaysStates: this.options.usesRelays, sentAtMs: this.nowMs + 1 };
	}

	private sendRound(instance: Instance): void {
		instance.peers.expire(this.nowMs);
		const known = instance.peers.listWithAges(this.nowMs).map(({ state, ageMs }) => ({
			controlAddress: state.instance.controlAddress,
			zone: state.instance.zone,
			relaysStates: true,
			isServing: true,
			ageMs,
		}));
		const state = this.describe(instance);
		if (!this.options.usesRelays) {
			instance.nextRoundMs = this.nowMs + GOSSIP_INTERVAL_MS;
			for (let step = 0; step < Math.min(GOSSIP_FAN_OUT, known.length); step++) {
				const peer = known[instance.nextRecipient++ % known.length];
				this.send(instance, peer?.controlAddress ?? '', state, false);
			}
			return;
		}
		instance.nextRoundMs = this.nowMs + computeRelayedInterval(known.length);
		const { direct, relays } = instance.relays.plan(known, ROUND_RELAYS);
		for (const address of direct) {
			this.send(instance, address, state, false);
		}
		for (const address of relays) {
			this.send(instance, address, state, true);
		}
	}

	private send(from: Instance, address: string, state: PeerState, isToRelay: boolean): void {
		const to = this.byAddress.get(address);
		if (to === undefined) {
			return;
		}
		this.crossing += from.zone === to.zone ? 0 : 1;
		if (uniformFloat64(this.random) < this.options.lossShare) {
			return;
		}
		const dueMs = Math.ceil((this.nowMs + NETWORK_MS) / TICK_MS) * TICK_MS;
		const works = this.agenda.get(dueMs) ?? [];
		works.push(() => {
			this.receive(to, state, isToRelay);
		});
		this.agenda.set(dueMs, works);
	}

	private receive(to: Instance, state: PeerState, isToRelay: boolean): void {
		this.received += 1;
		const ageMs = to.isAlive ? to.ages.record(state, this.nowMs) : undefined;
		if (ageMs === undefined) {
			return;
		}
		to.peers.update(state, this.nowMs, ageMs);
		if (isToRelay) {
			for (const { instance } of to.peers.listAll()) {
				if (instance.zone === to.zone && instance.name !== state.instance.name) {
					this.send(to, instance.controlAddress, state, false);
				}
			}
		}
	}

	private sample(): void {
		for (const { peers } of this.instances.filter(({ isAlive }) => isAlive)) {
			const listed = new Set(peers.listServing(this.nowMs).map(({ instance }) => instance.name));
			for (const { name, isAlive } of this.instances) {
				if (!isAlive && listed.has(name)) {
					this.lastListedMs = this.nowMs - this.options.killAtMs;
				}
			}
			const live = this.instances.filter(({ isAlive }) => isAlive);
			this.missingPairs += live.filter(({ name }) => !listed.has(name)).length - 1;
			for (const { state, ageMs } of peers.listWithAges(this.nowMs)) {
				if (this.byAddress.get(state.instance.name)?.isAlive === true) {
					this.ageSumMs += ageMs;
					this.ages += 1;
				}
			}
		}
	}
}
