/** Limits the rate of calls to the key-value service and counts them by kind. */

export const CALL_KINDS = ['read', 'list', 'swap', 'remove', 'lease', 'watch'] as const;
export type CallKind = (typeof CALL_KINDS)[number];

export interface CallRateLimiterSettings {
	readonly callsPerSecond: number;
	/** Capacity of the bucket: calls that may be made back to back after an idle period. */
	readonly burst: number;
}

export type CallCounts = Readonly<Record<CallKind | 'refused', number>>;

const MS_PER_SECOND = 1000;

/** A token bucket; each call consumes one token. */
export class CallRateLimiter {
	private tokens: number;
	private refilledAtMs: number | undefined;
	private readonly counts: Record<CallKind | 'refused', number> = {
		read: 0,
		list: 0,
		swap: 0,
		remove: 0,
		lease: 0,
		watch: 0,
		refused: 0,
	};

	constructor(private readonly settings: CallRateLimiterSettings) {
		this.tokens = settings.burst;
	}

	/** Consumes a token for one call; returns false when there is none, and the call must not be sent then. */
	public tryAcquire(kind: CallKind, nowMs: number): boolean {
		this.refill(nowMs);
		if (this.tokens < 1) {
			this.counts.refused += 1;
			return false;
		}
		this.tokens -= 1;
		this.counts[kind] += 1;
		return true;
	}

	public readCounts(): CallCounts {
		return { ...this.counts };
	}

	private refill(nowMs: number): void {
		const elapsedMs = Math.max(0, nowMs - (this.refilledAtMs ?? nowMs));
		const refilledTokens = (elapsedMs / MS_PER_SECOND) * this.settings.callsPerSecond;
		this.tokens = Math.min(this.settings.burst, this.tokens + refilledTokens);
		this.refilledAtMs = nowMs;
	}
}
