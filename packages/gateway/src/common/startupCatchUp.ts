/**
 * Decides when an instance that starts may serve. The store may hold less than its peers know, as after a restore from
 * a copy, so the instance first hears the peers that serve and takes over a newer configuration from them.
 */
import type { PeerState } from './peerState.js';

/** Time in which peers answer the first datagrams; they answer at once. */
export const PEER_ANSWER_MS = 30;
/** Longest time for which an instance waits for its peers, so that an unreachable one does not keep it from serving. */
const MAX_WAIT_MS = 1000;

export type CatchUpStatus =
	| 'waiting'
	| 'complete'
	/** Complete, although a peer has a newer configuration, which did not arrive in time. */
	| 'timedOut';

export class StartupCatchUp {
	private contactedAtMs: number | undefined;
	private highestVersion = 0;
	private hasInformedPeer = false;
	private status: CatchUpStatus;

	/** @param isFirstStart whether the whole fleet starts for the first time, so that there is nothing to catch up on */
	constructor(
		private readonly startedAtMs: number,
		isFirstStart: boolean,
	) {
		this.status = isFirstStart ? 'complete' : 'waiting';
	}

	/** Whether this instance may serve. It stays so. */
	public get isComplete(): boolean {
		return this.status !== 'waiting';
	}

	/** Records that the peers known from the seeds and the store have been sent a datagram. */
	public recordContact(nowMs: number): void {
		this.contactedAtMs ??= nowMs;
	}

	public recordPeer({ isServing, configurationVersion }: PeerState): void {
		this.hasInformedPeer ||= isServing;
		this.highestVersion = Math.max(this.highestVersion, configurationVersion);
	}

	/**
	 * Checks whether this instance may serve. Returns the new status, or undefined if it did not change.
	 * @param version version of the configuration that this instance has; 0 if it has none
	 */
	public update(version: number, nowMs: number): CatchUpStatus | undefined {
		if (this.isComplete || version === 0) {
			return undefined;
		}
		const status = this.computeStatus(version, nowMs);
		if (status === 'waiting') {
			return undefined;
		}
		this.status = status;
		return status;
	}

	private computeStatus(version: number, nowMs: number): CatchUpStatus {
		const isCurrent = version >= this.highestVersion;
		if (nowMs - this.startedAtMs >= MAX_WAIT_MS) {
			return isCurrent ? 'complete' : 'timedOut';
		}
		const hasWaited = this.contactedAtMs !== undefined && nowMs - this.contactedAtMs >= PEER_ANSWER_MS;
		return isCurrent && (this.hasInformedPeer || hasWaited) ? 'complete' : 'waiting';
	}
}
