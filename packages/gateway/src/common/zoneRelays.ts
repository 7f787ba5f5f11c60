/**
 * Plans gossip between availability zones: towards each other zone an instance sends its state to one peer, which
 * relays it to the peers of that zone. Bytes between zones are expensive, and so they do not grow with the fleet.
 */
import { computeHeartbeatInterval, GOSSIP_INTERVAL_MS } from './gossipInterval.js';

/** Relays for each zone in a periodic round. The next round uses another relay, so a lost one costs one round. */
export const ROUND_RELAYS = 1;
/** Relays for each zone of a state that is sent because something has changed, so that one may fail. */
export const URGENT_RELAYS = 2;
/** Messages of its peers that an instance receives in one interval: at 77 instances about as many as with direct gossip. */
const RECEIVED_PER_INTERVAL = 32;
/** Silence of a peer, in intervals, from which on states go through more relays, since one may be lost. */
const SUSPICIOUS_SILENCE_INTERVALS = 1.5;
/** A peer that has been silent for longer is no relay while others are left: it may have been killed. */
const MAX_RELAY_SILENCE_INTERVALS = 2.3;

export interface GossipPeer {
	readonly controlAddress: string;
	readonly zone: string;
	/** Whether it relays states, and reads relayed ones. */
	readonly relaysStates: boolean;
	readonly isServing: boolean;
	/** Age of its last state in ms. */
	readonly ageMs: number;
}

export interface GossipPlan {
	/** Peers that relays do not reach. */
	readonly direct: readonly string[];
	/** Peers of an older version, which are sent to as in a fleet without relays. */
	readonly older: readonly string[];
	readonly relays: readonly string[];
}

/**
 * Returns the time between two states of the same instance if relays are used, in ms. It does not exceed that between
 * two signs of life without relays, from which the liveness timeout is derived.
 */
export function computeRelayedInterval(peers: number): number {
	const maxIntervals = Math.floor(computeHeartbeatInterval(peers) / GOSSIP_INTERVAL_MS);
	return GOSSIP_INTERVAL_MS * Math.max(1, Math.min(maxIntervals, Math.ceil(peers / RECEIVED_PER_INTERVAL)));
}

export class ZoneRelays {
	private round: number;

	/** @param seed between 0 and 1, so that instances do not use the same relays at the same time */
	constructor(
		private readonly ownZone: string,
		seed: number,
	) {
		this.round = Math.floor(seed * 1000);
	}

	/** @param minCount number of relays for each zone, more while a peer is silent */
	public plan(peers: readonly GossipPeer[], minCount: number): GossipPlan {
		this.round += 1;
		const intervalMs = computeRelayedInterval(peers.length);
		const maxSilenceMs = MAX_RELAY_SILENCE_INTERVALS * intervalMs;
		const hasSilentPeer = peers.some(({ ageMs }) => ageMs > SUSPICIOUS_SILENCE_INTERVALS * intervalMs);
		const count = hasSilentPeer ? Math.max(minCount, URGENT_RELAYS) : minCount;
		const direct: string[] = [];
		const older: string[] = [];
		const relays: string[] = [];
		const zones = new Map<string, GossipPeer[]>();
		for (const peer of peers) {
			if (!peer.relaysStates) {
				older.push(peer.controlAddress);
			} else if (peer.zone === this.ownZone) {
				direct.push(peer.controlAddress);
			} else {
				zones.set(peer.zone, [...(zones.get(peer.zone) ?? []), peer]);
			}
		}
		for (const members of zones.values()) {
			const relayCandidates = members.filter(({ isServing, ageMs }) => isServing && ageMs <= maxSilenceMs);
			if (relayCandidates.length <= count) {
				direct.push(...members.map(({ controlAddress }) => controlAddress));
			} else {
				relays.push(...this.pickInTurn(relayCandidates, count));
			}
		}
		return { direct, older, relays };
	}

	private pickInTurn(candidates: readonly GossipPeer[], count: number): readonly string[] {
		const addresses = candidates.map(({ controlAddress }) => controlAddress).sort();
		const start = (this.round * count) % addresses.length;
		return [...addresses.slice(start), ...addresses.slice(0, start)].slice(0, count);
	}
}
