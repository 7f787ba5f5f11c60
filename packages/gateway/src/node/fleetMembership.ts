/** Membership of this instance in the fleet: discovers the other instances and exchanges state with them by gossip. */
import type { Disposable } from '@papayawell/core';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { sampleAddresses, splitAddress } from '../common/addresses.js';
import type { EventLog } from '../common/eventLog.js';
import { countHeartbeatGroups, GOSSIP_INTERVAL_MS } from '../common/gossipInterval.js';
import type { MetadataStore } from '../common/metadataStore.js';
import type { HeartbeatMessage } from '../common/peerMessage.js';
import { encodePeerMessage } from '../common/peerMessage.js';
import type { FleetInstance, GatewayState, PeerState } from '../common/peerState.js';
import type { RelayedRequest } from '../common/relayHeaders.js';
import { PeerTable } from '../common/peerTable.js';
import { PeerTransport } from './peerTransport.js';

/** How often this instance's entry in the store is renewed; its lease expires after 10 s. */
const REGISTRATION_INTERVAL_MS = 4000;
/** Delay of the first registration, in which an instance that starts learns its rank. */
const REGISTRATION_DELAY_MS = 1000;
/** How often the entries of the other instances are read from the store. */
const DISCOVERY_INTERVAL_MS = 20_000;
/** Discovery interval while no peer is known. */
const NO_PEERS_DISCOVERY_INTERVAL_MS = 1000;
/** Maximum number of control addresses in one datagram. */
const MAX_GOSSIPED_ADDRESSES = 40;
/** One round in this many includes addresses; they change seldom and are most of the bytes of a datagram. */
const ADDRESS_GOSSIP_ROUNDS = 8;
/** The first rounds all include addresses: the whole fleet may have just started and know only the seeds. */
const INITIAL_ADDRESS_GOSSIP_ROUNDS = 8;
/** How long state is sent to an address that never answers. */
const CANDIDATE_TTL_MS = 30_000;
/** Minimum time between two logged errors. */
const ERROR_LOG_INTERVAL_MS = 1000;

export interface FleetMembershipParts {
	readonly self: FleetInstance;
	/** Control addresses that are contacted first. */
	readonly seeds: readonly string[];
	readonly store: MetadataStore;
	readonly log: EventLog;
	/** Returns the state to advertise now, without the addresses of peers. */
	readonly describeSelf: () => GatewayState;
	/** Describes what this instance knows of targets that left, for an instance that starts. */
	readonly describeDepartedTargets: () => Pick<PeerState, 'leaving' | 'removed'>;
	/** Called when the peers that are known from the seeds, and from the store if it answers, were sent a datagram. */
	readonly onDidContactPeers: () => void;
	readonly onPeerState: (state: PeerState, previous: PeerState | undefined) => void;
	/** Called when a peer is heard of for the first time since its start. */
	readonly onPeerStart: (instance: FleetInstance) => void;
	/** Called with a message that a peer sent to this instance alone. */
	readonly onMessage: (message: Buffer, controlAddress: string) => void;
	/** Called with a request that a known peer relays to this instance. */
	readonly onRelayedRequest: (
		message: IncomingMessage,
		response: ServerResponse,
		relayed: RelayedRequest,
	) => void;
	readonly documents: Readonly<Record<string, () => string | undefined>>;
}

export class FleetMembership implements Disposable {
	public readonly peers: PeerTable;
	private readonly transport: PeerTransport;
	private readonly abortController = new AbortController();
	/** Control addresses from seeds, the store and peers, each with its expiry. */
	private readonly candidates = new Map<string, number>();
	/** Control addresses of instances of other fleets, so that each is logged once. */
	private readonly foreignAddresses = new Set<string>();
	private rounds = 0;
	private nextRoundMs = 0;
	private nextRegistrationMs = 0;
	private nextDiscoveryMs = 0;
	private lastErrorMs = -Infinity;

	constructor(private readonly parts: FleetMembershipParts) {
		const { self, seeds } = parts;
		this.peers = new PeerTable(self.name);
		for (const seed of seeds) {
			this.candidates.set(seed, Infinity);
		}
		this.transport = new PeerTransport({
			address: self.controlAddress,
			onState: (state) => {
				this.handleState(state);
			},
			onMessage: (message, controlAddress) => {
				parts.onMessage(message, controlAddress);
			},
			onRelayedRequest: (message, response, relayed) => {
				const isKnown = this.isKnownPeer(relayed, message.socket.remoteAddress);
				if (isKnown) {
					parts.onRelayedRequest(message, response, relayed);
				}
				return isKnown;
			},
			documents: parts.documents,
			onError: (detail) => {
				this.logError('peerLinkError', detail);
			},
		});
	}

	public listen(): Promise<void> {
		return this.transport.listen();
	}

	/** Called periodically: sends gossip, renews the registration and discovers other instances. */
	public tick(nowMs: number): void {
		for (const state of this.peers.expire(nowMs)) {
			this.parts.log.write('state', 'peerLost', { peer: state.instance.name });
		}
		if (nowMs >= this.nextRoundMs) {
			this.announce(nowMs);
		}
		if (nowMs >= this.nextRegistrationMs) {
			const isStarting = this.nextRegistrationMs === 0;
			this.nextRegistrationMs = nowMs + (isStarting ? REGISTRATION_DELAY_MS : REGISTRATION_INTERVAL_MS);
			if (!isStarting && this.peers.isRegistrar(nowMs)) {
				void this.renewRegistration();
			}
		}
		if (nowMs >= this.nextDiscoveryMs) {
			this.nextDiscoveryMs =
				nowMs + (this.peers.listAll().length === 0 ? NO_PEERS_DISCOVERY_INTERVAL_MS : DISCOVERY_INTERVAL_MS);
			void this.fetchInstances();
		}
	}

	/** Sends this instance's state to its peers at once. */
	public announce(nowMs: number): void {
		this.nextRoundMs = nowMs + GOSSIP_INTERVAL_MS;
		const known = this.listPeerAddresses();
		const includesAddresses =
			this.rounds < INITIAL_ADDRESS_GOSSIP_ROUNDS || this.rounds % ADDRESS_GOSSIP_ROUNDS === 0;
		const state = this.buildState(includesAddresses ? known : []);
		this.rounds += 1;
		const addresses = new Set(known);
		for (const [address, expiresAtMs] of this.candidates) {
			if (nowMs > expiresAtMs) {
				this.candidates.delete(address);
			} else {
				addresses.add(address);
			}
		}
		addresses.delete(this.parts.self.controlAddress);
		const due = this.transport.send(state, [...addresses], this.listCompressedAddresses());
		this.sendHeartbeats(state, new Set(due));
	}

	/** Handles a sign of life of a peer between its states. */
	public handleHeartbeat(heartbeat: HeartbeatMessage): void {
		if (this.peers.recordHeartbeat(heartbeat, performance.now())) {
			const { name, incarnation, isServing } = heartbeat;
			this.parts.log.write('state', 'peerChanged', { peer: name, incarnation, isServing });
		}
	}

	public sendMessage(message: Buffer, controlAddress: string): void {
		this.transport.sendMessage(message, controlAddress);
	}

	public fetch(controlAddress: string, path: string): Promise<string | undefined> {
		return this.transport.fetch(controlAddress, path);
	}

	public dispose(): void {
		this.abortController.abort();
		this.transport.dispose();
	}

	/** Whether the name, the start and the address are those of one peer. */
	private isKnownPeer({ instance, incarnation }: RelayedRequest, address: string | undefined): boolean {
		const peer = this.peers.find(instance)?.instance;
		return peer?.incarnation === incarnation && splitAddress(peer.controlAddress).host === address;
	}

	/** Only instances that send heartbeats themselves read them. */
	private sendHeartbeats({ instance, isServing }: PeerState, due: ReadonlySet<string>): void {
		if (due.size === 0) {
			return;
		}
		const { name, incarnation } = instance;
		const message = encodePeerMessage({ kind: 'heartbeat', name, incarnation, isServing });
		for (const { instance: peer, sendsHeartbeats } of this.peers.listAll()) {
			if (sendsHeartbeats === true && due.has(peer.controlAddress)) {
				this.transport.sendMessage(message, peer.controlAddress);
			}
		}
	}

	private listCompressedAddresses(): ReadonlySet<string> {
		const peers = this.peers.listAll().filter(({ acceptsCompressed }) => acceptsCompressed === true);
		return new Set(peers.map(({ instance }) => instance.controlAddress));
	}

	private listPeerAddresses(): readonly string[] {
		return this.peers.listAll().map(({ instance }) => instance.controlAddress);
	}

	/** @param known control addresses to gossip */
	private buildState(known: readonly string[]): PeerState {
		return {
			...this.parts.describeSelf(),
			acceptsCompressed: true,
			...(countHeartbeatGroups(this.peers.listAll().length) > 0 ? { sendsHeartbeats: true } : {}),
			instance: this.parts.self,
			known: sampleAddresses(known, MAX_GOSSIPED_ADDRESSES, Math.random()),
		};
	}

	private handleState(state: PeerState): void {
		const { fleet, name, controlAddress } = state.instance;
		if (fleet !== this.parts.self.fleet) {
			this.dropForeignInstance(state.instance);
			return;
		}
		if (name === this.parts.self.name) {
			return;
		}
		const nowMs = performance.now();
		const previous = this.peers.update(state, nowMs);
		this.candidates.set(controlAddress, nowMs + CANDIDATE_TTL_MS);
		for (const address of state.known) {
			if (!this.candidates.has(address)) {
				this.candidates.set(address, nowMs + CANDIDATE_TTL_MS);
			}
		}
		const isStarted = previous?.instance.incarnation !== state.instance.incarnation;
		if (isStarted) {
			// An instance that just started waits for the versions of configuration, targets and prompts.
			const answer = {
				...this.buildState(this.listPeerAddresses()),
				...this.parts.describeDepartedTargets(),
			};
			this.transport.send(answer, [controlAddress]);
			this.parts.onPeerStart(state.instance);
		}
		if (isStarted || previous.isServing !== state.isServing) {
			this.parts.log.write('state', 'peerChanged', {
				peer: name,
				incarnation: state.instance.incarnation,
				isServing: state.isServing,
				configurationVersion: state.configurationVersion,
			});
		}
		this.parts.onPeerState(state, previous);
	}

	/** An address may have been reassigned to another fleet, whose state does not apply here. */
	private dropForeignInstance({ fleet, name, controlAddress }: FleetInstance): void {
		this.candidates.delete(controlAddress);
		if (!this.foreignAddresses.has(controlAddress)) {
			this.foreignAddresses.add(controlAddress);
			this.parts.log.write('state', 'foreignPeer', { peer: name, fleet, controlAddress });
		}
	}

	private async renewRegistration(): Promise<void> {
		const { store, self } = this.parts;
		try {
			await store.renewRegistration(self.name, self.controlAddress, this.abortController.signal);
		} catch (error) {
			this.logError('registrationFailed', String(error));
		}
	}

	private async fetchInstances(): Promise<void> {
		try {
			const addresses = await this.parts.store.listInstances(this.abortController.signal);
			const nowMs = performance.now();
			const isNew = addresses.some((address) => !this.candidates.has(address));
			for (const address of addresses) {
				this.candidates.set(address, nowMs + CANDIDATE_TTL_MS);
			}
			if (isNew && this.peers.listAll().length === 0) {
				this.announce(nowMs);
			}
		} catch (error) {
			this.logError('discoveryFailed', String(error));
		}
		this.parts.onDidContactPeers();
	}

	private logError(event: string, detail: string): void {
		const nowMs = performance.now();
		if (nowMs - this.lastErrorMs > ERROR_LOG_INTERVAL_MS && !this.abortController.signal.aborted) {
			this.lastErrorMs = nowMs;
			this.parts.log.write('state', event, { detail });
		}
	}
}
