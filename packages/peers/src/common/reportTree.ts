/**
 * Broadcast trees for reports, after Plumtree. Reports of an origin are first sent on all streams; a stream
 * that delivers a duplicate is pruned for that origin, which leaves one spanning tree per origin. When reports
 * of an origin stop arriving, its pruned streams are grafted again.
 */

interface ReportSource {
	readonly peer: string;
	readonly receivedAtMs: number;
}

export class ReportTree {
	/** Origins whose reports this router no longer sends to a peer, by peer. */
	private readonly prunedOutgoing = new Map<string, Set<string>>();
	/** Origins whose reports this router has asked a peer not to send, by peer. */
	private readonly prunedIncoming = new Map<string, Set<string>>();
	/** Peer that delivered the latest new report, and when, by origin. */
	private readonly sources = new Map<string, ReportSource>();

	/** Whether reports of `origin` are sent to `peer`. */
	public isWanted(origin: string, peer: string): boolean {
		return origin !== peer && this.prunedOutgoing.get(peer)?.has(origin) !== true;
	}

	/** Records that `peer` delivered a new report of `origin`. */
	public recordNewReport(origin: string, peer: string, nowMs: number): void {
		this.sources.set(origin, { peer, receivedAtMs: nowMs });
	}

	/**
	 * Prunes the stream for `origin` after a duplicate. Returns true if a prune message must be sent to `peer`.
	 */
	public recordDuplicate(origin: string, peer: string): boolean {
		if (origin === peer) {
			return false;
		}
		const pruned = getSet(this.prunedIncoming, peer);
		const isFirst = !pruned.has(origin);
		pruned.add(origin);
		getSet(this.prunedOutgoing, peer).add(origin);
		return isFirst;
	}

	/** Handles a prune message: `peer` receives the reports of `origin` on another stream. */
	public receivePrune(origin: string, peer: string): void {
		getSet(this.prunedOutgoing, peer).add(origin);
	}

	/** Handles a graft message: `peer` requests the reports of `origin` again. */
	public receiveGraft(origin: string, peer: string): void {
		this.prunedOutgoing.get(peer)?.delete(origin);
		this.prunedIncoming.get(peer)?.delete(origin);
	}

	/**
	 * Removes a peer whose stream ended. Origins that it delivered lose their source and are grafted elsewhere.
	 */
	public removePeer(peer: string): void {
		this.prunedOutgoing.delete(peer);
		this.prunedIncoming.delete(peer);
		for (const [origin, source] of this.sources) {
			if (source.peer === peer) {
				this.sources.delete(origin);
			}
		}
	}

	/** Removes origins that are not members. */
	public prune(isMember: (origin: string) => boolean): void {
		const origins = [
			...this.sources.keys(),
			...this.prunedOutgoing.values(),
			...this.prunedIncoming.values(),
		];
		for (const origin of new Set(
			origins.flatMap((each) => (typeof each === 'string' ? [each] : [...each])),
		)) {
			if (!isMember(origin)) {
				this.removeOrigin(origin);
			}
		}
	}

	/**
	 * Grafts the origins that are pruned on the stream of `peer` and have no source or no new report within
	 * `sourceTimeoutMs`. Returns these origins; a graft message must be sent for each.
	 */
	public takeGrafts(peer: string, nowMs: number, sourceTimeoutMs: number): readonly string[] {
		const pruned = this.prunedIncoming.get(peer);
		if (pruned === undefined) {
			return [];
		}
		const stale = [...pruned].filter(
			(origin) => nowMs - (this.sources.get(origin)?.receivedAtMs ?? -Infinity) > sourceTimeoutMs,
		);
		for (const origin of stale) {
			this.receiveGraft(origin, peer);
		}
		return stale;
	}

	private removeOrigin(origin: string): void {
		this.sources.delete(origin);
		for (const origins of [...this.prunedOutgoing.values(), ...this.prunedIncoming.values()]) {
			origins.delete(origin);
		}
	}
}

function getSet(sets: Map<string, Set<string>>, key: string): Set<string> {
	let set = sets.get(key);
	if (set === undefined) {
		set = new Set();
		sets.set(key, set);
	}
	return set;
}
