/**
 * Admission control of one service at one instance. While the service has room, each request is sent at once. While its
 * capacity is short, it decides which request is sent now, waits here for a short while, or is refused.
 */
import { DemandRate, FairQueue, InFlightShareTracker } from '@papayawell/core';
import type { CapacityReport } from './capacityReport.js';
import type { CapacityUse, FleetView } from './capacityShare.js';
import { SHORT_OCCUPANCY, computeAllowance, estimateOthers } from './capacityShare.js';
import { copyState } from './copyState.js';
import { RETURN_SHARE, ReturnSchedule } from './returnSchedule.js';
import type { ServiceCapacity } from './serviceCapacity.js';
import { ServiceTimes } from './serviceTimes.js';

/** Part of its objective that a request may wait at the instance: with a longer wait it would be late. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.5;
/** Callers that are refused return within this part of the time that they have left, so a longer wait is worse. */
const MAX_WAIT_REMAINING_SHARE = 1 / 3;
/** Part of the shortest objective for which requests may queue at the targets, so that these do not run idle. */
const TARGET_QUEUE_OBJECTIVE_SHARE = 0.25;
/** The same in requests that a target runs at once: targets queue three times their slots. */
const MIN_TARGET_QUEUE = 0.125;
const MAX_TARGET_QUEUE = 2;
/** Part of the use that the customers above their share leave to the others. */
const HEADROOM_SHARE = 0.2;
/** Part of the rate of an instance on which the least urgent can count; the queue gives it an eighth. */
const MIN_PRIORITY_RATE_SHARE = 0.1;
/** Peers are told of the use for this long after the capacity was short, so that the shares do not jump. */
const SHORT_RETENTION_MS = 2000;
/**
 * Length of the periods in which fractions of requests are rounded up or down, in mean times of a request. A request that
 * waits sees several of them.
 */
const TURN_SERVICE_TIMES = 0.25;
const MAX_WAITING = 500;
/** No customer may fill the queue. */
const MAX_WAITING_PER_CUSTOMER = 200;
const MAX_WAIT_MS = 5000;

export interface AdmissionRequest {
	readonly route: string;
	/** Empty if the route is public. */
	readonly customer: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly objectiveMs: number;
	/** Time that the caller has left. */
	readonly remainingMs: number;
}

export type AdmissionRefusal = 'capacityShort' | 'deadlineTooShort';

export type AdmissionDecision =
	| { readonly kind: 'send' }
	/** The request is queued; `takeReady` returns it when it may be sent. */
	| { readonly kind: 'wait'; readonly maxWaitMs: number }
	| { readonly kind: 'refuse'; readonly reason: AdmissionRefusal; readonly returnDelayMs: number };

/** What a decision relied on. */
export interface AdmissionExplanation {
	readonly decision: AdmissionDecision;
	readonly isShort: boolean;
	readonly capacity: ServiceCapacity;
	readonly ownRequests: number;
	readonly waiting: number;
	/** Requests of this customer in flight at this instance. */
	readonly customerRequests: number;
	/** The same with those of the other instances, as far as they report them. */
	readonly customerRequestsOfFleet: number;
	/** Whether the customer uses no more than its share of the capacity. */
	readonly isWithinShare: boolean;
	/** Requests of the fleet up to which a customer is within its share; undefined if there is only one. */
	readonly customerShare: number | undefined;
	/** Requests of this instance that there may be if one of this customer is sent; undefined while nothing is short. */
	readonly limit: number | undefined;
}

export interface RefusedItem<T> {
	readonly item: T;
	readonly returnDelayMs: number;
}

interface Waiting<T> {
	readonly item: T;
	readonly request: AdmissionRequest;
	readonly isReturning: boolean;
}

export interface ServiceAdmissionOptions<T> {
	readonly readLoad: () => ServiceCapacity;
	readonly readFleet: () => FleetView;
	/** Whether a further request may wait. */
	readonly canWait: (item: T) => boolean;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
}

export class ServiceAdmission<T> {
	public readonly times = new ServiceTimes();
	private readonly shares = new InFlightShareTracker(HEADROOM_SHARE);
	private readonly returns = new ReturnSchedule();
	private readonly demands = new Map<number, DemandRate>();
	private readonly queue: FairQueue<Waiting<T>>;
	private ownRequests = 0;
	private turn = 0;
	private turnEndsAtMs = -Infinity;
	private shortAtMs = -Infinity;
	private nowMs = 0;

	constructor(private readonly options: ServiceAdmissionOptions<T>) {
		this.queue = new FairQueue({
			maxQueued: MAX_WAITING,
			maxQueuedPerCustomer: MAX_WAITING_PER_CUSTOMER,
			maxWaitMs: MAX_WAIT_MS,
			acceptsLongWaits: true,
			// Shares rather than rates: with weights up to 1 the priorities take turns request by request.
			readDemandShare: (priority) =>
				(this.demands.get(priority)?.read(this.nowMs) ?? 0) / Math.max(1e-6, this.readDemand(this.nowMs)),
		});
	}

	public get waiting(): number {
		return this.queue.size;
	}

	/** Requests that were sent and have not ended. */
	public get requests(): number {
		return this.ownRequests;
	}

	/** Decides on a request that arrives. One that is sent counts until `recordEnd`. */
	public offer(item: T, request: AdmissionRequest, nowMs: number): AdmissionDecision {
		const isReturning = this.recordArrival(request, nowMs);
		const decision = this.decide(item, request, isReturning, nowMs);
		if (decision.kind === 'wait') {
			const { customer, priority } = request;
			const entry = { item: { item, request, isReturning }, customer, weight: 1, priority };
			this.queue.enqueue({ ...entry, enqueuedAtMs: nowMs, maxWaitMs: decision.maxWaitMs });
		}
		return decision;
	}

	/**
	 * Returns what `offer` would decide now. It decides on a copy of the state; the queue, which the decision only reads, is
	 * not copied.
	 * @param options stand-ins for what a real decision reads and draws
	 */
	public explain(
		item: T,
		request: AdmissionRequest,
		options: Pick<ServiceAdmissionOptions<T>, 'readLoad' | 'readFleet' | 'random'>,
		nowMs: number,
	): AdmissionExplanation {
		const copies = new Map<unknown, unknown>([
			[this.queue, this.queue],
			[this.options, { ...this.options, ...options }],
		]);
		const copy = copyState<ServiceAdmission<T>>(this, copies);
		const isReturning = copy.recordArrival(request, nowMs);
		const capacity = options.readLoad();
		const before = copyState(copy, copies);
		const isShort = before.checkShort(capacity, nowMs);
		const { ownRequests, waiting } = copy;
		const { customer } = request;
		const customerRequests = copy.shares.countOwn(customer);
		const customerRequestsOfFleet = copy.shares.countAll(customer);
		const decision = copy.decide(item, request, isReturning, nowMs);
		// A limit is rounded by the random number of the period, which the decision has drawn.
		before.turn = copy.turn;
		before.turnEndsAtMs = copy.turnEndsAtMs;
		return {
			decision,
			isShort,
			capacity,
			ownRequests,
			waiting,
			customerRequests,
			customerRequestsOfFleet,
			isWithinShare: before.shares.computeCapacityShare(customer, 1) === 1,
			customerShare: before.shares.computeShare(),
			limit: isShort ? before.computeLimit(customer, isReturning, capacity) : undefined,
		};
	}

	/** Returns whether the caller of the request has probably been refused or failed before. */
	private recordArrival(
		{ objectiveMs, priority, remainingMs, route }: AdmissionRequest,
		nowMs: number,
	): boolean {
		this.nowMs = nowMs;
		const isReturning = this.times.recordArrival(route, objectiveMs, remainingMs);
		this.getDemand(priority).note(1, nowMs);
		return isReturning;
	}

	private decide(item: T, request: AdmissionRequest, isReturning: boolean, nowMs: number): AdmissionDecision {
		const { customer, priority, route } = request;
		const load = this.options.readLoad();
		if (!this.checkShort(load, nowMs)) {
			return this.send(customer);
		}
		if (this.isTooLate(request, load)) {
			return this.refuse('deadlineTooShort', request);
		}
		const limit = this.computeLimit(customer, isReturning, load);
		const ahead = this.queue.countAhead(customer, priority);
		if (ahead === 0 && this.ownRequests + 1 <= limit) {
			return this.send(customer);
		}
		const maxWaitMs = computeMaxWait(request, this.times.findRouteTime(route) ?? 0);
		if (this.estimateWait(limit, ahead, priority, load) > maxWaitMs || !this.options.canWait(item)) {
			return this.refuse('capacityShort', request);
		}
		return this.queue.isFull(customer) ? this.refuse('capacityShort', request) : { kind: 'wait', maxWaitMs };
	}

	/** Removes the next waiting request that may be sent now. It counts as sent until `recordEnd`. */
	public takeReady(nowMs: number): T | undefined {
		if (this.queue.size === 0) {
			return undefined;
		}
		this.nowMs = nowMs;
		const load = this.options.readLoad();
		const isShort = this.checkShort(load, nowMs);
		let ready: T | undefined;
		this.queue.placeNext(({ item, customer }) => {
			const limit = isShort ? this.computeLimit(customer, item.isReturning, load) : Infinity;
			if (this.ownRequests + 1 > limit) {
				return false;
			}
			ready = item.item;
			this.send(customer);
			return true;
		}, nowMs);
		return ready;
	}

	/** Removes the requests that have waited for as long as they may. */
	public takeExpired(nowMs: number): readonly RefusedItem<T>[] {
		this.nowMs = nowMs;
		return this.queue.expire(nowMs).map(({ item: { item, request }, enqueuedAtMs }) => {
			const remainingMs = request.remainingMs - (nowMs - enqueuedAtMs);
			return { item, returnDelayMs: this.scheduleReturn({ ...request, remainingMs }) };
		});
	}

	/** Removes a request that waits no longer. Returns whether it was waiting. */
	public remove(item: T): boolean {
		return this.queue.removeWhere(({ item: waiting }) => waiting.item === item).length > 0;
	}

	/** Removes all waiting requests. */
	public takeAll(): readonly T[] {
		return this.queue.removeWhere(() => true).map(({ item: { item } }) => item);
	}

	/** Called when a request that was sent has ended. */
	public recordEnd(customer: string): void {
		this.ownRequests -= 1;
		this.shares.noteFinished(customer);
	}

	/** Replaces what is known of the use by other instances. */
	public setReports(reports: readonly CapacityReport[]): void {
		const inFlight = new Map<string, number>();
		for (const [, ...use] of reports) {
			for (let index = 0; index + 1 < use.length; index += 2) {
				const customer = String(use[index]);
				inFlight.set(customer, (inFlight.get(customer) ?? 0) + Number(use[index + 1]));
			}
		}
		this.shares.setOthers(inFlight);
	}

	/**
	 * Describes the own use for the other instances; undefined while the capacity is not short.
	 * @param maxCustomers limit of the customers, of which those with the most requests are named
	 */
	public describeUse(nowMs: number, maxCustomers: number): CapacityReport | undefined {
		if (!this.isShortLately(nowMs)) {
			return undefined;
		}
		const use = [...this.shares.listOwn()].sort(([, a], [, b]) => b - a).slice(0, maxCustomers);
		return [Math.round(10 * this.readDemand(nowMs)) / 10, ...use.flat()];
	}

	/** Whether the capacity is or was just short. */
	public isShortLately(nowMs: number): boolean {
		return nowMs - this.shortAtMs <= SHORT_RETENTION_MS;
	}

	private checkShort(load: ServiceCapacity, nowMs: number): boolean {
		const fleet = this.options.readFleet();
		const share = 1 / Math.max(1, fleet.instances);
		const others = estimateOthers(load.concurrency * (1 - share), fleet, {
			otherRequests: load.otherRequests,
			isComplete: load.isStated,
		});
		const isShort =
			load.concurrency > 0 && this.ownRequests + others + this.waiting >= SHORT_OCCUPANCY * load.concurrency;
		this.shortAtMs = isShort ? nowMs : this.shortAtMs;
		return isShort;
	}

	/** Whether the request would end after its deadline even at the target with the shortest queue. */
	private isTooLate({ remainingMs, route }: AdmissionRequest, { leastQueue }: ServiceCapacity): boolean {
		const routeMs = this.times.findRouteTime(route) ?? 0;
		return leastQueue > 0 && leastQueue * this.times.serviceMs + routeMs > remainingMs;
	}

	/**
	 * Returns how many requests of this instance there may be if one of this customer is sent. A customer above its share
	 * uses what the targets run at once, the others a short queue at the targets too. Of both a part is kept for callers
	 * that return.
	 */
	private computeLimit(customer: string, isReturning: boolean, load: ServiceCapacity): number {
		const { concurrency } = load;
		if (this.shares.computeCapacityShare(customer, 1) < 1) {
			const isFull = this.ownRequests + load.otherRequests >= concurrency;
			const part = this.computeAllowance(concurrency, load);
			const kept = isReturning ? 0 : this.countKept(part);
			return isFull ? part + this.readTurn() - kept : Math.max(1, part);
		}
		const capacity = concurrency * (1 + this.computeTargetQueue());
		// With more instances than slots each may still send one: the targets queue a few.
		const limit = Math.max(1, this.computeAllowance(capacity, load));
		if (isReturning) {
			return limit;
		}
		return Math.max(1, this.computeAllowance(concurrency, load), limit - this.countKept(limit));
	}

	/** Counts the requests for which room is kept because their callers are expected to return now. */
	private countKept(limit: number): number {
		return Math.min(this.returns.countDue(this.nowMs), RETURN_SHARE * limit);
	}

	private computeAllowance(capacity: number, load: ServiceCapacity): number {
		const use: CapacityUse = {
			ownRequests: this.ownRequests,
			otherRequests: load.otherRequests,
			isComplete: load.isStated,
			ownDemand: this.readDemand(this.nowMs),
		};
		return computeAllowance(capacity, this.options.readFleet(), use);
	}

	/** Returns the random number of the current period, which rounds fractions of requests up or down. */
	private readTurn(): number {
		if (this.nowMs >= this.turnEndsAtMs) {
			this.turn = this.options.random();
			this.turnEndsAtMs = this.nowMs + TURN_SERVICE_TIMES * this.times.serviceMs;
		}
		return this.turn;
	}

	/** Returns the length of the queue at each target that is worth having, in requests that it runs at once. */
	private computeTargetQueue(): number {
		const { serviceMs, shortestObjectiveMs } = this.times;
		const queue = (TARGET_QUEUE_OBJECTIVE_SHARE * shortestObjectiveMs) / serviceMs;
		return Math.min(MAX_TARGET_QUEUE, Math.max(MIN_TARGET_QUEUE, queue));
	}

	/** Estimates how long a request waits here, in ms. */
	private estimateWait(limit: number, ahead: number, priority: number, load: ServiceCapacity): number {
		const rate = this.computeRate(load);
		let moreUrgent = 0;
		for (const [other, demand] of this.demands) {
			moreUrgent += other < priority ? demand.read(this.nowMs) / 1000 : 0;
		}
		const left = Math.max(MIN_PRIORITY_RATE_SHARE * rate, rate - moreUrgent);
		return Math.max(0, this.ownRequests + ahead + 1 - limit) / left;
	}

	/** Returns the requests per ms that end here. */
	private computeRate({ concurrency, otherRequests }: ServiceCapacity): number {
		const perSlot = Math.max(1, (this.ownRequests + otherRequests) / Math.max(1, concurrency));
		return Math.max(1, this.ownRequests) / (perSlot * this.times.serviceMs);
	}

	private send(customer: string): AdmissionDecision {
		this.ownRequests += 1;
		this.shares.noteSent(customer, 1);
		return { kind: 'send' };
	}

	private refuse(reason: AdmissionRefusal, request: AdmissionRequest): AdmissionDecision {
		return { kind: 'refuse', reason, returnDelayMs: this.scheduleReturn(request) };
	}

	private scheduleReturn({ priority, remainingMs }: AdmissionRequest): number {
		return this.returns.schedule(
			priority,
			this.computeRate(this.options.readLoad()),
			remainingMs,
			this.nowMs,
			this.options.random(),
		);
	}

	private getDemand(priority: number): DemandRate {
		let demand = this.demands.get(priority);
		if (demand === undefined) {
			demand = new DemandRate(this.nowMs);
			this.demands.set(priority, demand);
		}
		return demand;
	}

	private readDemand(nowMs: number): number {
		let sum = 0;
		for (const demand of this.demands.values()) {
			sum += demand.read(nowMs);
		}
		return sum;
	}
}

function computeMaxWait({ objectiveMs, remainingMs }: AdmissionRequest, serviceMs: number): number {
	return Math.max(
		0,
		Math.min(
			MAX_WAIT_OBJECTIVE_SHARE * objectiveMs,
			MAX_WAIT_REMAINING_SHARE * remainingMs,
			remainingMs - serviceMs,
		),
	);
}
