/** Interval and fan-out of the gossip between the instances of a fleet. */

/** Time between two gossip rounds. */
export const GOSSIP_INTERVAL_MS = 300;
/** Peers that receive one round; in larger fleets successive rounds cover the peers in turn. */
export const GOSSIP_FAN_OUT = 24;

/**
 * Longest time between two signs of life of a peer. In fleets of more than 121 instances a state alone would come more
 * seldom, and the directory would name an instance that was killed for longer than the platform allows (7 s).
 */
const MAX_HEARTBEAT_INTERVAL_MS = 1500;

export interface GossipRecipients {
	/** Addresses to which the state is sent. */
	readonly states: readonly string[];
	/** Addresses to which only a heartbeat is sent. */
	readonly heartbeats: readonly string[];
}

/** Returns the expected time between two states from the same peer, in ms. */
export function computePeerInterval(peers: number): number {
	return GOSSIP_INTERVAL_MS * Math.max(1, Math.ceil(peers / GOSSIP_FAN_OUT));
}

/** Number of groups, of the size of the fan-out, to which a heartbeat is sent in each round. */
export function countHeartbeatGroups(peers: number): number {
	return Math.ceil(computePeerInterval(peers) / MAX_HEARTBEAT_INTERVAL_MS) - 1;
}

/** Returns the expected time between two states or heartbeats from the same peer, in ms. */
export function computeHeartbeatInterval(peers: number): number {
	return computePeerInterval(peers) / (countHeartbeatGroups(peers) + 1);
}

/**
 * Selects the recipients of one round. The groups that receive heartbeats are spread evenly between two turns of the
 * states.
 * @param start index of the first address that receives the state
 */
export function selectRecipients(addresses: readonly string[], start: number): GossipRecipients {
	if (addresses.length <= GOSSIP_FAN_OUT) {
		return { states: addresses, heartbeats: [] };
	}
	const groups = countHeartbeatGroups(addresses.length);
	const heartbeats = Array.from({ length: groups }, (_, index) =>
		pickGroup(addresses, start + Math.round(((index + 1) * addresses.length) / (groups + 1))),
	);
	return { states: pickGroup(addresses, start), heartbeats: heartbeats.flat() };
}

function pickGroup(addresses: readonly string[], start: number): readonly string[] {
	const first = start % addresses.length;
	return [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, GOSSIP_FAN_OUT);
}
