/**
 * Queue of requests that wait for capacity in a saturated pool. Length and waiting time are bounded.
 * Requests are dequeued by weighted deficit round robin over priorities, and over customers within a
 * priority. A lower priority receives a smaller share but does not starve.
 */
import { DepartureIntervalEstimator } from './departureIntervalEstimator.js';
import { DeficitRoundRobin } from './deficitRoundRobin.js';

/** Share of each priority relative to the next lower one while both have requests queued. */
const PRIORITY_RATIO = 8;

export interface FairQueueOptions {
	/** Maximum number of queued requests of all customers. */
	readonly maxQueued: number;
	/** Maximum number of queued requests of one customer. */
	readonly maxQueuedPerCustomer: number;
	/** Maximum time in the queue, in ms. */
	readonly maxWaitMs: number;
	/**
	 * Returns the share of a priority in the demand, in (0, 1]. The share of each priority is then in proportion to its
	 * demand as well, so that a lower one with few requests is not served more often than a higher one with many. Equal for
	 * all if absent.
	 */
	readonly readDemandShare?: (priority: number) => number;
	/**
	 * Whether requests that are expected to time out are queued all the same, because the owner of the queue has estimated
	 * their wait. The rate at which a customer is served does not tell its priorities apart.
	 */
	readonly acceptsLongWaits?: boolean;
}

export interface QueueEntry<T> {
	readonly item: T;
	readonly customer: string;
	/** Share of the customer relative to the others. */
	readonly weight: number;
	/** 0 is served first. */
	readonly priority: number;
	readonly enqueuedAtMs: number;
	/** Maximum time of this request in the queue, in ms; that of the queue if absent. */
	readonly maxWaitMs?: number;
}

export type EnqueueResult =
	| { readonly kind: 'queued' }
	/** The request did not run; the caller may retry after `retryAfterMs`. */
	| { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Keys that are passed over until the end of a call. */
interface SkippedKeys {
	readonly customers: Set<string>;
	readonly priorities: Set<string>;
}

export class FairQueue<T> {
	private readonly queuesByPriority = new Map<number, DeficitRoundRobin<QueueEntry<T>>>();
	private readonly priorities = new DeficitRoundRobin<number>();
	private readonly queuedByCustomer = new Map<string, number>();
	private readonly departures = new DepartureIntervalEstimator();
	/** Departures of each customer with queued requests. */
	private readonly departuresByCustomer = new Map<string, DepartureIntervalEstimator>();

	constructor(private readonly options: FairQueueOptions) {}

	public get size(): number {
		return this.priorities.size;
	}

	/** Returns the number of queued requests of one customer. */
	public countQueued(customer: string): number {
		return this.queuedByCustomer.get(customer) ?? 0;
	}

	/**
	 * Returns how many queued requests come before a further one of this customer and priority: those of its own
	 * priority and of higher ones, of each customer at most one more than of its own.
	 */
	public countAhead(customer: string, priority: number): number {
		const turns = this.countQueued(customer) + 1;
		let ahead = 0;
		for (const [other, queue] of this.queuesByPriority) {
			for (const key of other <= priority ? queue.listKeys() : []) {
				ahead += Math.min(queue.countQueued(key), key === customer ? Infinity : turns);
			}
		}
		return ahead;
	}

	/** Whether a further request of the customer would exceed its limit or that of the whole queue. */
	public isFull(customer: string): boolean {
		return (
			this.countQueued(customer) >= this.options.maxQueuedPerCustomer || this.size >= this.options.maxQueued
		);
	}

	/**
	 * Adds a request. Refuses it at once if its customer or the whole queue is at its limit, or if it would
	 * time out in the queue at the rate at which its customer is served.
	 */
	public enqueue(entry: QueueEntry<T>): EnqueueResult {
		const count = this.countQueued(entry.customer);
		const acceptsWait = this.options.acceptsLongWaits === true || !this.isExpectedToTimeOut(entry);
		if (this.isFull(entry.customer) || !acceptsWait) {
			return { kind: 'refused', retryAfterMs: this.estimateWait(entry.customer) };
		}
		this.getPriorityQueue(entry.priority).enqueue(entry.customer, entry.weight, 1, entry);
		const demandShare = this.options.readDemandShare?.(entry.priority) ?? 1;
		const weight = demandShare * PRIORITY_RATIO ** -entry.priority;
		this.priorities.enqueue(String(entry.priority), weight, 1, entry.priority);
		this.queuedByCustomer.set(entry.customer, count + 1);
		return { kind: 'queued' };
	}

	/**
	 * Offers requests to `tryPlace` in fair order. If it returns false, the request stays queued and its
	 * customer is skipped for the rest of this call. Returns the number of requests placed.
	 */
	public drain(tryPlace: (entry: QueueEntry<T>) => boolean, nowMs: number): number {
		const skipped: SkippedKeys = { customers: new Set(), priorities: new Set() };
		let placed = 0;
		while (this.placeOne(tryPlace, skipped, nowMs)) {
			placed += 1;
		}
		return placed;
	}

	/**
	 * Offers requests to `tryPlace` in fair order until it places one; returns whether it did. If it places none, the next
	 * call offers them in the same order: rejected offers would otherwise give the next turn to the priority offered last.
	 */
	public placeNext(tryPlace: (entry: QueueEntry<T>) => boolean, nowMs: number): boolean {
		const priorities = this.priorities.copyRound();
		const customers = [...this.queuesByPriority.values()].map((queue) => ({
			queue,
			round: queue.copyRound(),
		}));
		if (this.placeOne(tryPlace, { customers: new Set(), priorities: new Set() }, nowMs)) {
			return true;
		}
		this.priorities.restoreRound(priorities);
		for (const { queue, round } of customers) {
			queue.restoreRound(round);
		}
		return false;
	}

	/** Removes and returns the requests that were queued for the maximum time. */
	public expire(nowMs: number): QueueEntry<T>[] {
		return this.removeWhere((entry) => nowMs - entry.enqueuedAtMs >= this.readMaxWait(entry));
	}

	/** Removes and returns the requests that `test` accepts, such as those whose caller disconnected. */
	public removeWhere(test: (entry: QueueEntry<T>) => boolean): QueueEntry<T>[] {
		const removed: QueueEntry<T>[] = [];
		for (const [priority, queue] of this.queuesByPriority) {
			const entries = queue.removeWhere(test);
			let left = entries.length;
			this.priorities.removeWhere((queued) => queued === priority && left-- > 0);
			removed.push(...entries);
		}
		for (const entry of removed) {
			this.removeQueued(entry.customer);
		}
		return removed;
	}

	/** Estimates the time in the queue of a request that arrives now, in ms, capped at the maximum time. */
	public estimateWait(customer?: string): number {
		const { maxWaitMs } = this.options;
		const ownIntervalMs =
			customer === undefined ? undefined : this.departuresByCustomer.get(customer)?.intervalMs;
		const waitMs =
			ownIntervalMs === undefined || customer === undefined
				? (this.departures.intervalMs ?? maxWaitMs) * (this.size + 1)
				: ownIntervalMs * (this.countQueued(customer) + 1);
		return Math.min(maxWaitMs, waitMs);
	}

	/** Places the next request that `tryPlace` accepts; adds the customers and priorities passed over to `skipped`. */
	private placeOne(
		tryPlace: (entry: QueueEntry<T>) => boolean,
		skipped: SkippedKeys,
		nowMs: number,
	): boolean {
		for (;;) {
			const priority = this.priorities.peek(skipped.priorities);
			if (priority === undefined) {
				return false;
			}
			const entry = this.getPriorityQueue(priority).peek(skipped.customers);
			if (entry === undefined) {
				skipped.priorities.add(String(priority));
			} else if (tryPlace(entry)) {
				this.takeNext(priority, skipped, nowMs);
				return true;
			} else {
				skipped.customers.add(entry.customer);
			}
		}
	}

	/** Whether a new request is expected to time out in the queue. */
	private isExpectedToTimeOut(entry: QueueEntry<T>): boolean {
		const intervalMs = this.departuresByCustomer.get(entry.customer)?.intervalMs;
		return (
			intervalMs !== undefined &&
			intervalMs * (this.countQueued(entry.customer) + 1) > this.readMaxWait(entry)
		);
	}

	private readMaxWait({ maxWaitMs }: QueueEntry<T>): number {
		return Math.min(this.options.maxWaitMs, maxWaitMs ?? Infinity);
	}

	private takeNext(priority: number, skipped: SkippedKeys, nowMs: number): void {
		this.priorities.take(skipped.priorities);
		const entry = this.getPriorityQueue(priority).take(skipped.customers);
		if (entry === undefined) {
			return;
		}
		this.departures.noteDeparture(nowMs);
		this.getDepartures(entry.customer).noteDeparture(nowMs);
		this.removeQueued(entry.customer);
	}

	private getDepartures(customer: string): DepartureIntervalEstimator {
		let departures = this.departuresByCustomer.get(customer);
		if (departures === undefined) {
			departures = new DepartureIntervalEstimator();
			this.departuresByCustomer.set(customer, departures);
		}
		return departures;
	}

	private removeQueued(customer: string): void {
		const left = this.countQueued(customer) - 1;
		if (left > 0) {
			this.queuedByCustomer.set(customer, left);
			return;
		}
		this.queuedByCustomer.delete(customer);
		this.departuresByCustomer.delete(customer);
	}

	private getPriorityQueue(priority: number): DeficitRoundRobin<QueueEntry<T>> {
		let queue = this.queuesByPriority.get(priority);
		if (queue === undefined) {
			queue = new DeficitRoundRobin();
			this.queuesByPriority.set(priority, queue);
		}
		return queue;
	}
}
