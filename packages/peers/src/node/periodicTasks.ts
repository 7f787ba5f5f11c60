/** Periodic tasks of a peer network: digests, removal of expired entries, reconciliation of byte counts. */
import { PeriodicTimer } from '../common/periodicTimer.js';
import type { RandomChoice } from '../common/randomChoice.js';
import type { NetworkParts } from './networkParts.js';

/** Interval of digests, each sent to one random peer. */
const DIGEST_INTERVAL_MS = 10_000;
const PRUNE_INTERVAL_MS = 10_000;
/** Interval at which the byte counts are reconciled with the sockets. */
const RECONCILE_INTERVAL_MS = 1_000;

export class PeriodicTasks {
	private readonly digestTimer: PeriodicTimer;
	private readonly pruneTimer: PeriodicTimer;
	private readonly reconcileTimer: PeriodicTimer;

	constructor(
		private readonly parts: NetworkParts,
		private readonly random: RandomChoice,
		nowMs: number,
	) {
		this.digestTimer = new PeriodicTimer(DIGEST_INTERVAL_MS, nowMs);
		this.pruneTimer = new PeriodicTimer(PRUNE_INTERVAL_MS, nowMs);
		this.reconcileTimer = new PeriodicTimer(RECONCILE_INTERVAL_MS, nowMs);
	}

	public tick(nowMs: number): void {
		if (this.reconcileTimer.tick(nowMs)) {
			this.parts.traffic.reconcile(nowMs);
		}
		if (this.pruneTimer.tick(nowMs)) {
			this.parts.gossip.prune();
		}
		const links = this.digestTimer.tick(nowMs) ? this.parts.linkManager.listGossipLinks(nowMs) : [];
		const link = this.random.pickOne(links);
		if (link !== undefined) {
			this.parts.gossip.sendDigest(link);
		}
	}
}
