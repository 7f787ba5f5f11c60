/**
 * The control-traffic budget: a token bucket counted in bytes on the wire, sent plus received. Kinds of low
 * priority need a minimum fill of the bucket, so they are shed first.
 */
import { TrafficKind } from './trafficKind.js';

/** Capacity of the bucket, in seconds of the byte rate. */
const BURST_SECONDS = 8;
/** Cap of the debt, so that joins or one large document suppress load reports for only a few seconds. */
const MAX_DEBT_SECONDS = 3;

/**
 * Fill level, as a share of the capacity, above which a kind may be sent. A value below 0 never blocks a kind,
 * as the debt is capped.
 */
const MIN_FILL_SHARE: Readonly<Record<TrafficKind, number>> = {
	[TrafficKind.Membership]: -Infinity,
	[TrafficKind.Configuration]: -Infinity,
	[TrafficKind.Framing]: -Infinity,
	[TrafficKind.Warning]: -1,
	[TrafficKind.Reservation]: 0,
	[TrafficKind.Load]: 0.25,
	[TrafficKind.Use]: 0.5,
};

export class ControlBudget {
	private readonly capacity: number;
	private tokens: number;
	private refilledAtMs: number;

	constructor(
		private readonly bytesPerSecond: number,
		nowMs: number,
	) {
		this.capacity = bytesPerSecond * BURST_SECONDS;
		this.tokens = this.capacity;
		this.refilledAtMs = nowMs;
	}

	/** Whether traffic of `kind` may be sent at `nowMs`. */
	public isAllowed(kind: TrafficKind, nowMs: number): boolean {
		this.refill(nowMs);
		return this.tokens > MIN_FILL_SHARE[kind] * this.capacity;
	}

	/** Consumes tokens for bytes sent or received, of any kind; the bucket may go into debt. */
	public consume(bytes: number, nowMs: number): void {
		this.refill(nowMs);
		this.tokens = Math.max(this.tokens - bytes, -this.bytesPerSecond * MAX_DEBT_SECONDS);
	}

	private refill(nowMs: number): void {
		const elapsedSeconds = Math.max(0, nowMs - this.refilledAtMs) / 1_000;
		this.refilledAtMs = nowMs;
		this.tokens = Math.min(this.capacity, this.tokens + elapsedSeconds * this.bytesPerSecond);
	}
}
