/** Issues the orders of one pool: acquires the pool's lock, renews its lease and runs reconciliation rounds. */
import type {
	Disposable,
	KeyValueStore,
	ModelPlacement,
	OrderHolderEvent,
	OrderTimings,
	TargetInstance,
	WeightLoadLimit,
} from '@papayawell/core';
import {
	DEFAULT_ORDER_TIMINGS,
	DEFAULT_WEIGHT_LOAD_LIMIT,
	computeFencingToken,
	createOrderHolderState,
	transitionOrderHolder,
} from '@papayawell/core';
import type { OrderClient } from './orderClient.js';
import { httpOrderClient } from './orderClient.js';
import { OrderLock } from './orderLock.js';
import type { OrderEvent, RoundOutcome } from './orderRound.js';
import { readHighestFencingToken, runOrderRound } from './orderRound.js';
import { WeightLoadLimiter } from './weightLoadLimiter.js';

const ROUND_INTERVAL_MS = 1000;
/** Lease renewals per time-to-live. */
const RENEWALS_PER_LEASE = 3;

export interface OrderHolderOptions {
	readonly keyValue: KeyValueStore;
	/** Prefix of every key of the fleet. */
	readonly prefix: string;
	readonly pool: string;
	/** Whether this router is among the highest-ranked for the pool and may acquire its lock. */
	readonly isCandidate: () => boolean;
	/** Returns the placements of this pool in the active configuration. */
	readonly readPlacements: () => readonly ModelPlacement[];
	/** Returns the serving engines of this pool. */
	readonly readTargets: () => readonly TargetInstance[];
	readonly client?: OrderClient;
	readonly timings?: OrderTimings;
	readonly weightLoads?: WeightLoadLimit;
	readonly onDidDispatchOrder?: (event: OrderEvent) => void;
	readonly log?: (message: string) => void;
}

/** Status for the state dump. */
export interface OrderHolderStatus {
	readonly pool: string;
	readonly state: string;
	readonly fencing: number | undefined;
	readonly lastRound: RoundOutcome['kind'] | undefined;
}

export class OrderHolder implements Disposable {
	private readonly timings: OrderTimings;
	private readonly client: OrderClient;
	private readonly lock: OrderLock;
	private readonly limiter: WeightLoadLimiter;
	private readonly timers = new Set<NodeJS.Timeout>();
	private state = createOrderHolderState();
	private lastRound: RoundOutcome['kind'] | undefined;
	private nextAcquireAtMs = 0;
	private isDisposed = false;

	constructor(private readonly options: OrderHolderOptions) {
		const { keyValue, prefix, pool } = options;
		this.timings = options.timings ?? DEFAULT_ORDER_TIMINGS;
		this.client = options.client ?? httpOrderClient;
		this.lock = new OrderLock(keyValue, `${prefix}/orders/${pool}`, this.timings);
		const limit = options.weightLoads ?? DEFAULT_WEIGHT_LOAD_LIMIT;
		this.limiter = new WeightLoadLimiter(keyValue, prefix, limit);
	}

	public start(): void {
		this.repeat(ROUND_INTERVAL_MS, () => this.runStep());
		this.repeat(this.timings.leaseMs / RENEWALS_PER_LEASE, () => this.renew());
	}

	public readStatus(): OrderHolderStatus {
		return {
			pool: this.options.pool,
			state: this.state.value,
			fencing: this.state.context.holding?.fencing,
			lastRound: this.lastRound,
		};
	}

	/** Stops the rounds and releases the lock in the background. */
	public dispose(): void {
		this.isDisposed = true;
		this.timers.forEach(clearTimeout);
		this.timers.clear();
		this.transition({ type: 'RETIRED' });
		void this.lock.release();
	}

	private async runStep(): Promise<void> {
		switch (this.state.value) {
			case 'standby':
				await this.acquire();
				break;
			case 'acquiring':
				break;
			case 'holding':
				await this.runRound();
				break;
		}
	}

	/** Acquires the lock only if the pool has placements, so that idle pools cause no key-value calls. */
	private async acquire(): Promise<void> {
		const { isCandidate, readPlacements, readTargets } = this.options;
		if (performance.now() < this.nextAcquireAtMs || !isCandidate() || readPlacements().length === 0) {
			return;
		}
		this.nextAcquireAtMs = performance.now() + this.timings.leaseMs / RENEWALS_PER_LEASE;
		this.transition({ type: 'RANKED' });
		const locked = await this.lock.acquire();
		if (locked.kind !== 'held') {
			this.transition({ type: 'REFUSED' });
			return;
		}
		const heldSinceMs = performance.now();
		const fencing = computeFencingToken(
			locked.revision,
			await readHighestFencingToken(this.client, readTargets()),
		);
		this.log(`acquired the order lock with fencing token ${fencing}`);
		this.transition({ type: 'LOCKED', holding: { fencing, heldSinceMs } });
	}

	private async renew(): Promise<void> {
		if (this.state.value === 'holding' && !(await this.lock.renew())) {
			this.endLease();
		}
	}

	private async runRound(): Promise<void> {
		const { holding } = this.state.context;
		if (!this.options.isCandidate()) {
			this.transition({ type: 'RETIRED' });
			await this.lock.release();
			return;
		}
		if (holding === undefined || !this.lock.isSafe()) {
			this.endLease();
			return;
		}
		const outcome = await runOrderRound({
			client: this.client,
			holding,
			timings: this.timings,
			placements: this.options.readPlacements(),
			targets: this.options.readTargets(),
			isLeaseSafe: () => this.state.context.holding === holding && this.lock.isSafe(),
			tryAcquireWeightLoad: () => this.limiter.tryAcquire(),
			onDidDispatchOrder: (event) => this.options.onDidDispatchOrder?.(event),
		});
		this.lastRound = outcome.kind;
		if (outcome.kind === 'leaseEnded') {
			this.endLease();
		}
		if (outcome.kind === 'superseded') {
			this.endLease();
			await this.lock.release();
		}
	}

	private endLease(): void {
		if (this.state.value !== 'holding') {
			return;
		}
		this.log('lost the order lock: its lease expired or could not be renewed, or a newer holder took over');
		this.lock.markLost();
		this.transition({ type: 'LEASE_ENDED' });
	}

	private transition(event: OrderHolderEvent): void {
		this.state = transitionOrderHolder(this.state, event);
	}

	/** Runs `task` repeatedly, with a delay of `intervalMs` before the first and between runs. */
	private repeat(intervalMs: number, task: () => Promise<void>): void {
		const timer = setTimeout(() => {
			this.timers.delete(timer);
			void task().finally(() => {
				if (!this.isDisposed) {
					this.repeat(intervalMs, task);
				}
			});
		}, intervalMs);
		this.timers.add(timer);
	}

	private log(message: string): void {
		this.options.log?.(`Pool ${this.options.pool}: ${message}`);
	}
}
