/** Creates and connects the components of a peer network. */
import type { Fact, RouterInstance } from '@papayawell/core';
import type { MemberRecord } from '../common/memberRecord.js';
import { Membership } from '../common/membership.js';
import type { MembershipTiming } from '../common/membershipTiming.js';
import { DEFAULT_MEMBERSHIP_TIMING } from '../common/membershipTiming.js';
import type { ReportIntervals } from '../common/reportIntervals.js';
import { ConfigurationSync } from './configurationSync.js';
import { FlushScheduler } from './flushScheduler.js';
import type { Frame } from './frameCodec.js';
import type { FrameStream } from './frameStream.js';
import { Gossip } from './gossip.js';
import { LinkManager } from './linkManager.js';
import { LinkTable } from './linkTable.js';
import type { Logger } from './logger.js';
import { PeerCalls } from './peerCalls.js';
import type { PeerLink } from './peerLink.js';
import type { SocketMeter } from './socketMeter.js';
import { TrafficAccounting } from './trafficAccounting.js';

export interface PeerNetworkSettings {
	readonly self: RouterInstance;
	readonly fleet: string;
	/** Budget of control traffic on the wire, sent and received together. */
	readonly bytesPerSecond: number;
	/** Seed for jitter and for random choices among peers. */
	readonly seed: number;
	readonly isEncrypted: boolean;
	readonly logger?: Logger;
	readonly timing?: MembershipTiming;
}

/** The sockets of the network, created by `createPeerNetwork`. */
export interface PeerTransport {
	readonly meter: SocketMeter;
	/** Opens a stream to `ip:port`. */
	open(address: string): FrameStream;
	/** Stops listening and dialing. */
	dispose(): void;
}

/** Callbacks from the components to the network that owns them. */
export interface NetworkHooks {
	readonly readIntervals: () => ReportIntervals;
	readonly onDidOpen: (link: PeerLink, record: MemberRecord) => void;
	readonly onDidClose: (link: PeerLink) => void;
	readonly onDidReceive: (link: PeerLink, frame: Frame, bytes: Uint8Array) => void;
	readonly onDidReceiveFact: (fact: Fact) => void;
}

export interface NetworkParts {
	readonly membership: Membership;
	readonly traffic: TrafficAccounting;
	readonly scheduler: FlushScheduler;
	readonly links: LinkTable;
	readonly linkManager: LinkManager;
	readonly gossip: Gossip;
	readonly configuration: ConfigurationSync;
	readonly calls: PeerCalls;
}

const readNowMs = (): number => performance.now();

export function createNetworkParts(
	settings: PeerNetworkSettings,
	transport: PeerTransport,
	hooks: NetworkHooks,
): NetworkParts {
	const { self, seed, timing = DEFAULT_MEMBERSHIP_TIMING, bytesPerSecond, isEncrypted } = settings;
	const logger = settings.logger ?? (() => undefined);
	const membership = new Membership({ self, seed, timing });
	const traffic = new TrafficAccounting(bytesPerSecond, transport.meter, isEncrypted, readNowMs());
	const scheduler = createScheduler(membership, traffic, hooks);
	const links = createLinks(settings, transport, membership, traffic, hooks, logger);
	const scheduleFlush = scheduler.schedule.bind(scheduler);
	const linkManager = new LinkManager(self.instance, membership, links);
	const listLinks = (): readonly PeerLink[] => linkManager.listGossipLinks(readNowMs());
	return {
		membership,
		traffic,
		scheduler,
		links,
		linkManager,
		gossip: new Gossip({
			self: self.instance,
			membership,
			listLinks,
			listReportLinks: linkManager.listReportLinks.bind(linkManager),
			scheduleFlush,
			readNowMs,
			onDidReceiveFact: hooks.onDidReceiveFact,
		}),
		configuration: new ConfigurationSync({
			onDidAdopt: ({ version, document }) => {
				hooks.onDidReceiveFact({ kind: 'configuration', version, document });
			},
			listLinks,
			scheduleFlush,
			readNowMs,
			logger,
		}),
		calls: new PeerCalls({
			self: self.instance,
			connect: links.connect.bind(links),
			getLink: links.get.bind(links),
			sendNow: scheduler.scheduleNow.bind(scheduler),
			readNowMs,
			logger,
		}),
	};
}

function createScheduler(
	membership: Membership,
	traffic: TrafficAccounting,
	hooks: NetworkHooks,
): FlushScheduler {
	return new FlushScheduler({
		isAllowed: (kind) => traffic.isAllowed(kind, readNowMs()),
		readNowMs,
		readIntervals: hooks.readIntervals,
		onDidSend: (link, bytes) => {
			traffic.recordFrame('sent', bytes, readNowMs());
			membership.markSent(link.instance, readNowMs());
		},
	});
}

function createLinks(
	settings: PeerNetworkSettings,
	transport: PeerTransport,
	membership: Membership,
	traffic: TrafficAccounting,
	hooks: NetworkHooks,
	logger: Logger,
): LinkTable {
	return new LinkTable({
		self: settings.self.instance,
		fleet: settings.fleet,
		readSelf: membership.readSelf.bind(membership),
		readRecord: membership.readRecord.bind(membership),
		open: transport.open.bind(transport),
		readNowMs,
		onDidOpen: hooks.onDidOpen,
		onDidClose: hooks.onDidClose,
		onDidSend: (bytes) => {
			traffic.recordFrame('sent', bytes, readNowMs());
		},
		onDidReceive: hooks.onDidReceive,
		logger,
	});
}
