/** Fault injection for the key-value stand-in. */
import { hashToUnit } from '@papayawell/core';

export const CALL_KINDS = ['range', 'txn', 'leaseGrant', 'leaseKeepalive', 'leaseRevoke', 'watch'] as const;
export type KeyValueCallKind = (typeof CALL_KINDS)[number];

/**
 * Failure mode of the service. `reset` closes the connection of each call, `refuse` closes the port, `hang`
 * accepts calls and never answers them, `error` answers them with status 503.
 */
export type DownMode = 'up' | 'reset' | 'refuse' | 'hang' | 'error';

/** Calls to drop: the next `next` ones, and every call after them with `probability`. */
export interface LossPlan {
	readonly next?: number;
	/** From 0 to 1. */
	readonly probability?: number;
	/** Kinds of calls to drop; all if absent. */
	readonly kinds?: readonly KeyValueCallKind[];
}

/** Body of `POST /stand-in/faults`. An absent field leaves its setting unchanged. */
export interface KeyValueFaults {
	readonly down?: DownMode;
	/** Delay before each call takes effect, in ms. */
	readonly slowMs?: number;
	/** Calls that take effect but get no answer. */
	readonly dropAnswers?: LossPlan;
	/** Calls that are dropped before they take effect. */
	readonly dropRequests?: LossPlan;
	/** Serves range reads from a snapshot of the state at the time of this request. */
	readonly staleReads?: boolean;
	/** Delay of each watch event, in ms. */
	readonly watchDelayMs?: number;
	/** Closes all watch streams that are open now. */
	readonly cutWatches?: boolean;
	/** `take` saves a snapshot of the state; `restore` restores it. */
	readonly snapshot?: 'take' | 'restore';
}

/** Decides which calls are dropped, reproducibly from its seed. */
export class LossInjector {
	private remaining = 0;
	private probability = 0;
	private kinds: readonly KeyValueCallKind[] = CALL_KINDS;
	private randomDecisions = 0;

	constructor(private readonly seed: string) {}

	public set(plan: LossPlan): void {
		this.remaining = plan.next ?? 0;
		this.probability = plan.probability ?? 0;
		this.kinds = plan.kinds ?? CALL_KINDS;
	}

	/** Decides whether to drop this call; each decision advances the sequence. */
	public shouldDrop(kind: KeyValueCallKind): boolean {
		if (!this.kinds.includes(kind)) {
			return false;
		}
		if (this.remaining > 0) {
			this.remaining -= 1;
			return true;
		}
		this.randomDecisions += 1;
		return this.probability > 0 && hashToUnit(`${this.seed}/${this.randomDecisions}`) < this.probability;
	}
}
