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
	| { readonly kind: 'waiting' }
	/** `isTimedOut` tells that a peer has a newer configuration that did not arrive in time. */
	| { readonly kind: 'complete'; readonly isTimedOut: boolean };

export class StartupCatchUp {
	private contactedAtMs: number | undefined;
	private highestVersion = 0;
	private hasInformedPeer = false;

	constructor(private readonly startedAtMs: number) {}

	/** Records that the peers known from the seeds and the store have been sent a datagram. */
	public recordContact(nowMs: number): void {
		this.contactedAtMs ??= nowMs;
	}

	public recordPeer({ isServing, configurationVersion }: PeerState): void {
		this.hasInformedPeer ||= isServing;
		this.highestVersion = Math.max(this.highestVersion, configurationVersion);
	}

	/** @param version version of the configuration that this instance has */
	public getStatus(version: number, nowMs: number): CatchUpStatus {
		const isCurrent = version >= this.highestVersion;
		if (nowMs - this.startedAtMs >= MAX_WAIT_MS) {
			return { kind: 'complete', isTimedOut: !isCurrent };
		}
		const hasWaited = this.contactedAtMs !== undefined && nowMs - this.contactedAtMs >= PEER_ANSWER_MS;
		return isCurrent && (this.hasInformedPeer || hasWaited)
			? { kind: 'complete', isTimedOut: false }
			: { kind: 'waiting' };
	}
}
