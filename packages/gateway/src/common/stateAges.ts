/**
 * Estimates the ages of the states that peers send, and tells those that are out of order. A relay may be slow, so that
 * a state arrives late and after newer ones; it must not make a killed instance look alive.
 */
import type { PeerState } from './peerState.js';

/** Greatest difference between the clocks of two instances that run, as a share of the time. */
const CLOCK_DRIFT_SHARE = 0.001;
/** How long a silent instance is remembered, so that a late state of it is recognized. */
const RETENTION_MS = 60_000;

interface Sender {
	readonly incarnation: string;
	readonly previousIncarnation: string | undefined;
	sentAtMs: number;
	receivedAtMs: number;
	/** Smallest difference between our time of receipt and the sender's time of sending, adjusted for drift. */
	offsetMs: number;
}

export class StateAges {
	private readonly senders = new Map<string, Sender>();
	private nextEvictionMs = 0;

	/**
	 * Records a state that arrives. Returns its age in ms, relative to the fastest one of its sender, or undefined if a
	 * newer one of that sender has arrived. States without a time of sending are of age 0.
	 */
	public record(
		{ instance, sentAtMs }: Pick<PeerState, 'instance' | 'sentAtMs'>,
		nowMs: number,
	): number | undefined {
		if (sentAtMs === undefined) {
			return 0;
		}
		this.evict(nowMs);
		const { name, incarnation } = instance;
		const known = this.senders.get(name);
		const offsetMs = nowMs - sentAtMs;
		if (known?.incarnation !== incarnation) {
			if (known?.previousIncarnation === incarnation) {
				return undefined;
			}
			const previousIncarnation = known?.incarnation;
			this.senders.set(name, { incarnation, previousIncarnation, sentAtMs, receivedAtMs: nowMs, offsetMs });
			return 0;
		}
		if (sentAtMs <= known.sentAtMs) {
			return undefined;
		}
		const drift = CLOCK_DRIFT_SHARE * (nowMs - known.receivedAtMs);
		known.offsetMs = Math.min(known.offsetMs + drift, offsetMs);
		known.sentAtMs = sentAtMs;
		known.receivedAtMs = nowMs;
		return offsetMs - known.offsetMs;
	}

	private evict(nowMs: number): void {
		if (nowMs < this.nextEvictionMs) {
			return;
		}
		this.nextEvictionMs = nowMs + RETENTION_MS;
		for (const [name, { receivedAtMs }] of this.senders) {
			if (nowMs - receivedAtMs > RETENTION_MS) {
				this.senders.delete(name);
			}
		}
	}
}
