/** Kinds of control traffic, highest priority first. `Framing` is counted but never sent by itself. */

export const TrafficKind = {
	/** Failure detection, member records, digests and stream handshakes. */
	Membership: 'membership',
	/** Configuration versions, documents and deltas. */
	Configuration: 'configuration',
	/** Leaving targets, quarantines and suspicions. */
	Warning: 'warning',
	/** Reservations and all other calls, with their answers. */
	Reservation: 'reservation',
	/** Reports of engine load. */
	Load: 'load',
	/** Reports of the usage of shared limits. */
	Use: 'use',
	/** Overhead of the lower layers: framing, encryption, packet headers. */
	Framing: 'framing',
} as const;
export type TrafficKind = (typeof TrafficKind)[keyof typeof TrafficKind];

export const TRAFFIC_KINDS: readonly TrafficKind[] = Object.values(TrafficKind);

export type TrafficDirection = 'sent' | 'received';

/** Bytes by direction and kind since the process started. */
export type TrafficTotals = Readonly<Record<TrafficDirection, Readonly<Record<TrafficKind, number>>>>;

export class TrafficCounter {
	private readonly totals = { sent: makeZeroTotals(), received: makeZeroTotals() };

	public add(direction: TrafficDirection, kind: TrafficKind, bytes: number): void {
		this.totals[direction][kind] += bytes;
	}

	public read(): TrafficTotals {
		return { sent: { ...this.totals.sent }, received: { ...this.totals.received } };
	}

	/** Sums the bytes of all kinds in one direction. */
	public sum(direction: TrafficDirection): number {
		return TRAFFIC_KINDS.reduce((sum, kind) => sum + this.totals[direction][kind], 0);
	}
}

function makeZeroTotals(): Record<TrafficKind, number> {
	return {
		membership: 0,
		configuration: 0,
		warning: 0,
		reservation: 0,
		load: 0,
		use: 0,
		framing: 0,
	};
}
