/** Maintains streams to the neighbours in the overlay and closes idle streams to other routers. */
import type { Membership } from '../common/membership.js';
import type { LinkTable } from './linkTable.js';
import type { PeerLink } from './peerLink.js';

/** A stream to a router that is not a neighbour is closed this long after its last call. */
const IDLE_TIMEOUT_MS = 300_000;
/** A new stream is retained, and used for gossip, for at least this long, whichever side opened it. */
const NEW_LINK_GRACE_MS = 6_000;
/** Limit of streams to routers that are not neighbours; the least recently called are closed first. */
const MAX_NON_NEIGHBOUR_LINKS = 256;
/** The router with the lesser name opens the stream of a pair; after this time-out the other one tries too. */
const INBOUND_DIAL_TIMEOUT_MS = 1_200;

export class LinkManager {
	private readonly missingSinceMs = new Map<string, number>();

	constructor(
		private readonly self: string,
		private readonly membership: Membership,
		private readonly links: LinkTable,
	) {}

	public tick(nowMs: number): void {
		const neighbours = new Set(this.membership.readNeighbours());
		for (const instance of neighbours) {
			this.connectNeighbour(instance, nowMs);
		}
		this.closeUnusedLinks(neighbours, nowMs);
	}

	/** Lists the streams for member records, warnings and configuration: those to neighbours, and new ones. */
	public listGossipLinks(nowMs: number): readonly PeerLink[] {
		return [...this.links.list()].filter(
			(link) => nowMs - link.openedAtMs < NEW_LINK_GRACE_MS || this.membership.isNeighbour(link.instance),
		);
	}

	/** Lists the streams for reports: those to neighbours. */
	public listReportLinks(): readonly PeerLink[] {
		return [...this.links.list()].filter((link) => this.membership.isNeighbour(link.instance));
	}

	private connectNeighbour(instance: string, nowMs: number): void {
		const router = this.membership.readRecord(instance)?.router;
		if (this.links.get(instance) !== undefined || router === undefined) {
			this.missingSinceMs.delete(instance);
			return;
		}
		const sinceMs = this.missingSinceMs.get(instance) ?? nowMs;
		this.missingSinceMs.set(instance, sinceMs);
		if (this.self < instance || nowMs - sinceMs >= INBOUND_DIAL_TIMEOUT_MS) {
			void this.links.connect(router);
		}
	}

	private closeUnusedLinks(neighbours: ReadonlySet<string>, nowMs: number): void {
		const nonNeighbours = [...this.links.list()]
			.filter((link) => !neighbours.has(link.instance) && nowMs - link.openedAtMs >= NEW_LINK_GRACE_MS)
			.sort((a, b) => b.lastCallAtMs - a.lastCallAtMs);
		for (const [index, link] of nonNeighbours.entries()) {
			if (index >= MAX_NON_NEIGHBOUR_LINKS || nowMs - link.lastCallAtMs > IDLE_TIMEOUT_MS) {
				this.links.close(link);
			}
		}
	}
}
