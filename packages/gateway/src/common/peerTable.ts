/** Tracks the other instances of the fleet by their gossip messages. */
import { computeHeartbeatInterval, computePeerInterval } from './gossipInterval.js';
import type { HeartbeatMessage } from './peerMessage.js';
import type { PeerState } from './peerState.js';

/** Messages arrive several times per second; a peer without one for this long is not offered to callers. */
const LIVENESS_TIMEOUT_MS = 1500;
/** The liveness timeout in message intervals, for large fleets, where messages are less frequent. */
const LIVENESS_TIMEOUT_INTERVALS = 2.5;
/** Time without a message after which the state of a peer is discarded. */
const EXPIRY_MS = 4000;
/** The expiry in message intervals, for large fleets. */
const EXPIRY_INTERVALS = 5;
/** Instances that keep an entry in the store; from any of them an instance discovers the whole fleet. */
const MAX_REGISTRARS = 6;

interface Peer {
	state: PeerState;
	receivedAtMs: number;
}

export class PeerTable {
	private readonly peers = new Map<string, Peer>();

	constructor(private readonly ownName: string) {}

	/**
	 * Stores the state from a message. Returns the previous state of that peer.
	 * @param ageMs time for which the message was under way beyond what is usual
	 */
	public update(state: PeerState, nowMs: number, ageMs = 0): PeerState | undefined {
		const { name } = state.instance;
		if (name === this.ownName) {
			return undefined;
		}
		const known = this.peers.get(name);
		this.peers.set(name, { state, receivedAtMs: nowMs - ageMs });
		return known?.state;
	}

	/**
	 * Records a sign of life of a peer. A heartbeat of a start that is not known says nothing: its state is yet to come.
	 * @returns whether the peer started or stopped to serve since its last message
	 */
	public recordHeartbeat({ name, incarnation, isServing }: HeartbeatMessage, nowMs: number): boolean {
		const peer = this.peers.get(name);
		if (peer?.state.instance.incarnation !== incarnation) {
			return false;
		}
		const isChanged = peer.state.isServing !== isServing;
		peer.receivedAtMs = nowMs;
		peer.state = isChanged ? { ...peer.state, isServing } : peer.state;
		return isChanged;
	}

	/** Removes the peers whose messages have stopped. Returns their last states. */
	public expire(nowMs: number): readonly PeerState[] {
		const expired: PeerState[] = [];
		for (const [name, { state, receivedAtMs }] of this.peers) {
			if (nowMs - receivedAtMs > Math.max(EXPIRY_MS, EXPIRY_INTERVALS * this.computeInterval(state))) {
				this.peers.delete(name);
				expired.push(state);
			}
		}
		return expired;
	}

	public listAll(): readonly PeerState[] {
		return [...this.peers.values()].map(({ state }) => state);
	}

	/** Lists all peers with the ages of their states in ms. */
	public listWithAges(nowMs: number): readonly { readonly state: PeerState; readonly ageMs: number }[] {
		return [...this.peers.values()].map(({ state, receivedAtMs }) => ({
			state,
			ageMs: nowMs - receivedAtMs,
		}));
	}

	/** Lists the peers to which callers may be directed. */
	public listServing(nowMs: number): readonly PeerState[] {
		return [...this.peers.values()]
			.filter((peer) => peer.state.isServing && this.isLive(peer, nowMs))
			.map(({ state }) => state);
	}

	/** Lists the peers that serve and reach targets themselves. */
	public listServingWithPath(nowMs: number): readonly PeerState[] {
		return this.listServing(nowMs).filter(({ hasTargetPath }) => hasTargetPath !== false);
	}

	/** Finds the state of the peer with the given name; undefined if it is not known. */
	public find(name: string): PeerState | undefined {
		return this.peers.get(name)?.state;
	}

	/** Whether this instance keeps an entry in the store, by which starting instances discover the fleet. */
	public isRegistrar(nowMs: number): boolean {
		return this.findRankAmongServing(nowMs) < MAX_REGISTRARS;
	}

	/**
	 * Rank of this instance by name among the live instances that serve. The first reads the store for the
	 * others.
	 */
	public findRankAmongServing(nowMs: number): number {
		return this.countLiveBefore(nowMs, ({ isServing }) => isServing);
	}

	/** Rank of this instance by name among all live instances. */
	public findRankAmongLive(nowMs: number): number {
		return this.countLiveBefore(nowMs, () => true);
	}

	private isLive({ state, receivedAtMs }: Peer, nowMs: number): boolean {
		const timeoutMs = Math.max(LIVENESS_TIMEOUT_MS, LIVENESS_TIMEOUT_INTERVALS * this.computeInterval(state));
		return nowMs - receivedAtMs <= timeoutMs;
	}

	/** Expected time between two messages of a peer, in ms. */
	private computeInterval({ sendsHeartbeats }: PeerState): number {
		return sendsHeartbeats === true
			? computeHeartbeatInterval(this.peers.size)
			: computePeerInterval(this.peers.size);
	}

	private countLiveBefore(nowMs: number, isMatch: (state: PeerState) => boolean): number {
		let count = 0;
		for (const [name, peer] of this.peers) {
			if (name < this.ownName && isMatch(peer.state) && this.isLive(peer, nowMs)) {
				count += 1;
			}
		}
		return count;
	}
}
