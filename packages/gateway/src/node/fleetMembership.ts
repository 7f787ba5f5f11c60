/** Membership of this instance in the fleet: discovers the other instances and exchanges state with them by gossip. */
import type { Disposable } from '@papayawell/core';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isAddress, sampleAddresses, splitAddress } from '../common/addresses.js';
import type { EventLog } from '../common/eventLog.js';
import { computePeerInterval, countHeartbeatGroups, GOSSIP_INTERVAL_MS } from '../common/gossipInterval.js';
import type { NamedInstances } from '../common/instanceRoster.js';
import type { MetadataStore } from '../common/metadataStore.js';
import type { HeartbeatMessage } from '../common/peerMessage.js';
import { encodePeerMessage } from '../common/peerMessage.js';
import type { FleetInstance, GatewayState, PeerState } from '../common/peerState.js';
import type { RelayedRequest } from '../common/relayHeaders.js';
import { PeerTable } from '../common/peerTable.js';
import { StateAges } from '../common/stateAges.js';
import type { GossipPlan } from '../common/zoneRelays.js';
import { ROUND_RELAYS, URGENT_RELAYS, ZoneRelays, computeRelayedInterval } from '../common/zoneRelays.js';
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
/** With relays, one round in this many goes to addresses that do not answer, which would get most of the bytes. */
const UNKNOWN_ADDRESS_ROUNDS = 3;
/** How long state is sent to an address that never answers. */
const CANDIDATE_TTL_MS = 30_000;
/** How long a seed that never answers counts as an instance after the start. */
const SEED_RETENTION_MS = 20_000;
/** How long the instances that the store named count as those that run. */
const DISCOVERY_VALIDITY_MS = 1.5 * DISCOVERY_INTERVAL_MS;
/** A state that was under way for longer is dropped; the peer would have been discarded by then. */
const MAX_STATE_AGE_MS = 4000;
/** Minimum time between two logged errors. */
const ERROR_LOG_INTERVAL_MS = 1000;

export interface FleetMembershipParts {
	readonly self: FleetInstance;
	/** Control addresses that are contacted first. */
	readonly seeds: readonly string[];
	/** Whether states go to other availability zones through relays, since bytes between zones are expensive. */
	readonly usesZoneRelays: () => boolean;
	readonly store: MetadataStore;
	readonly log: EventLog;
	/** Returns the state to advertise now, without the addresses of peers. */
	readonly describeSelf: () => GatewayState;
	/** Describes what this instance knows of targets that left, for an instance that starts. */
	readonly describeDepartedTargets: () => Pick<PeerState, 'leaving' | 'removed'>;
	/** Called when the peers that are known from the seeds, and from the store if it answers, were sent a datagram. */
	readonly onDidContactPeers: () => void;
	/** @param ageMs time for which the state was under way beyond what is usual; its list's age includes it already */
	readonly onPeerState: (state: PeerState, previous: PeerState | undefined, ageMs: number) => void;
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

/** Bytes of datagrams by where they went; unknown are addresses of which nothing has been heard yet. */
export interface SentBytes {
	withinZone: number;
	betweenZones: number;
	unknown: number;
}

export class FleetMembership implements Disposable {
	public readonly peers: PeerTable;
	private readonly transport: PeerTransport;
	private readonly abortController = new AbortController();
	/** Control addresses from seeds, the store and peers, each with its expiry. */
	private readonly candidates = new Map<string, number>();
	/** Control addresses of instances of other fleets, so that each is logged once. */
	private readonly foreignAddresses = new Set<string>();
	private readonly relays: ZoneRelays;
	private readonly stateAges = new StateAges();
	/** Availability zones by control address, for the count of bytes. */
	private readonly zonesByAddress = new Map<string, string>();
	private readonly sentBytes: SentBytes = { withinZone: 0, betweenZones: 0, unknown: 0 };
	private lastSentAtMs = 0;
	private rounds = 0;
	private nextRoundMs = 0;
	private nextRegistrationMs = 0;
	private nextDiscoveryMs = 0;
	private lastErrorMs = -Infinity;
	private readonly startedAtMs = performance.now();
	/** When the store last named the instances. */
	private discoveredAtMs = -Infinity;

	constructor(private readonly parts: FleetMembershipParts) {
		const { self, seeds } = parts;
		this.peers = new PeerTable(self.name);
		this.relays = new ZoneRelays(self.zone, Math.random());
		for (const seed of seeds) {
			this.candidates.set(seed, Infinity);
		}
		this.transport = new PeerTransport({
			address: self.controlAddress,
			onState: (state) => this.handleState(state),
			listRelayRecipients: (state) => this.listRelayRecipients(state),
			onDidSend: (address, bytes) => {
				this.countSentBytes(address, bytes);
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
			this.zonesByAddress.delete(state.instance.controlAddress);
			this.parts.log.write('state', 'peerLost', { peer: state.instance.name });
		}
		if (nowMs >= this.nextRoundMs) {
			this.sendState(nowMs, ROUND_RELAYS);
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
		this.sendState(nowMs, URGENT_RELAYS);
	}

	/** Returns the time between two states of the same peer in ms. */
	public computePeerInterval(peers: number): number {
		return this.parts.usesZoneRelays() ? computeRelayedInterval(peers) : computePeerInterval(peers);
	}

	/**
	 * Describes the other instances that the settings, the store and peers name. A seed that never answers counts until the
	 * store has named the instances that run without it.
	 */
	public describeNamed(nowMs: number): NamedInstances {
		const isComplete = nowMs - this.discoveredAtMs <= DISCOVERY_VALIDITY_MS;
		const includesSeeds = nowMs - this.startedAtMs < SEED_RETENTION_MS || !isComplete;
		let count = 0;
		for (const [address, expiresAtMs] of this.candidates) {
			const isNamed = expiresAtMs === Infinity ? includesSeeds : nowMs <= expiresAtMs;
			count += isNamed && address !== this.parts.self.controlAddress ? 1 : 0;
		}
		return { count, isComplete };
	}

	/** Returns the mean age of the states of the peers in ms. */
	public computeMeanStateAge(nowMs: number): number {
		const peers = this.peers.listWithAges(nowMs);
		return peers.reduce((sum, { ageMs }) => sum + ageMs, 0) / Math.max(1, peers.length);
	}

	/** Returns the bytes of the datagrams that were sent. */
	public readSentBytes(): Readonly<SentBytes> {
		return this.sentBytes;
	}

	/** @param relays number of relays for each other zone */
	private sendState(nowMs: number, relays: number): void {
		const plan = this.planRelays(nowMs, relays);
		const peers = this.peers.listAll().length;
		this.nextRoundMs = nowMs + (plan === undefined ? GOSSIP_INTERVAL_MS : computeRelayedInterval(peers));
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
		if (plan !== undefined) {
			const older = new Set(plan.older);
			const peerAddresses = new Set(known);
			const includesUnknown = this.rounds % UNKNOWN_ADDRESS_ROUNDS === 0;
			for (const address of addresses) {
				const isIncluded = peerAddresses.has(address) ? older.has(address) : includesUnknown;
				if (!isIncluded) {
					addresses.delete(address);
				}
			}
			this.transport.sendWithRelays(state, plan.direct, plan.relays);
		}
		if (addresses.size > 0) {
			const due = this.transport.send(state, [...addresses], this.listCompressedAddresses());
			this.sendHeartbeats(state, new Set(due));
		}
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

	/** Returns undefined if the state goes to all peers directly, as in the first rounds of an instance that starts. */
	private planRelays(nowMs: number, relays: number): GossipPlan | undefined {
		if (!this.parts.usesZoneRelays() || this.rounds < INITIAL_ADDRESS_GOSSIP_ROUNDS) {
			return undefined;
		}
		const peers = this.peers.listWithAges(nowMs).map(({ state, ageMs }) => ({
			controlAddress: state.instance.controlAddress,
			zone: state.instance.zone,
			relaysStates: state.relaysStates === true,
			isServing: state.isServing,
			ageMs,
		}));
		return this.relays.plan(peers, relays);
	}

	private listRelayRecipients({ instance }: PeerState): readonly string[] {
		const { zone } = this.parts.self;
		return this.peers
			.listAll()
			.filter((peer) => peer.relaysStates === true && peer.instance.zone === zone)
			.map((peer) => peer.instance.controlAddress)
			.filter((address) => address !== instance.controlAddress);
	}

	private countSentBytes(address: string, bytes: number): void {
		const zone = this.zonesByAddress.get(address);
		const scope =
			zone === undefined ? 'unknown' : zone === this.parts.self.zone ? 'withinZone' : 'betweenZones';
		this.sentBytes[scope] += bytes;
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
			acceptsPlacements: true,
			...(this.parts.usesZoneRelays() ? { relaysStates: true, sentAtMs: this.nextSendTime() } : {}),
			instance: this.parts.self,
			known: sampleAddresses(known, MAX_GOSSIPED_ADDRESSES, Math.random()),
		};
	}

	/** Returns the present time in whole ms, later than that of the last state. */
	private nextSendTime(): number {
		this.lastSentAtMs = Math.max(Math.round(performance.now()), this.lastSentAtMs + 1);
		return this.lastSentAtMs;
	}

	/** Returns whether the state is of this fleet and newer than the last one of its sender. */
	private handleState(state: PeerState): boolean {
		const { fleet, name, controlAddress } = state.instance;
		if (fleet !== this.parts.self.fleet) {
			this.dropForeignInstance(state.instance);
			return false;
		}
		if (name === this.parts.self.name) {
			return false;
		}
		if (!isAddress(controlAddress)) {
			this.logError('peerLinkError', `the control address of ${name} is invalid`);
			return false;
		}
		const nowMs = performance.now();
		const ageMs = this.stateAges.record(state, nowMs);
		if (ageMs === undefined || ageMs > MAX_STATE_AGE_MS) {
			return false;
		}
		const previous = this.peers.update(state, nowMs, ageMs);
		this.zonesByAddress.set(controlAddress, state.instance.zone);
		this.candidates.set(controlAddress, nowMs + CANDIDATE_TTL_MS);
		for (const address of state.known) {
			if (isAddress(address) && !this.candidates.has(address)) {
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
		this.parts.onPeerState(
			{ ...state, targetsAgeMs: state.targetsAgeMs + Math.round(ageMs) },
			previous,
			ageMs,
		);
		return true;
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
			this.discoveredAtMs = nowMs;
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
