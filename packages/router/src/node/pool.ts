/**
 * One pool of targets at this router: places each request on a target, requests reservations from owners where
 * needed, and queues requests in fair order while every target is at its load bound.
 */
import type {
	LoadReport,
	OwnerCandidate,
	PeerResponse,
	PeerNetwork,
	OwnLoad,
	PlacementDecision,
	PlacementPolicy,
	PlacementTarget,
	PlacementRequest,
	OwnerQueryLimiter,
	QueueEntry,
	ReservationResult,
	ReserveDecision,
	SendDecision,
	TargetInstance,
} from '@papayawell/core';
import { DEFAULT_HEADROOM_SHARE, FairQueue, InFlightShareTracker, PoolPlacer } from '@papayawell/core';
import type { PoolTarget } from '../common/targetDirectory.js';

/** Time-out of a reservation request to an owner, in ms. */
const RESERVATION_TIMEOUT_MS = 100;
/** Maximum share of a pool's queue that one customer may occupy. */
const CUSTOMER_QUEUE_SHARE = 0.25;
/** Interval at which the queue is dispatched if no other event triggers it, in ms. */
const DISPATCH_INTERVAL_MS = 100;

/** A request for a slot on a target. */
export interface SlotRequest {
	/** Affinity key, or undefined if the request prefers no target. */
	readonly key: string | undefined;
	readonly customer: string;
	readonly weight: number;
	/** 0 is served first. */
	readonly priority: number;
	readonly loadBound: number;
	readonly excluded: ReadonlySet<string>;
	/** Deadline in ms of the monotonic clock. */
	readonly deadlineAtMs: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
}

/** Permission to run one request on one target. Release it exactly once. */
export interface Slot {
	readonly target: TargetInstance;
	/** Rank of the target among the candidates; 0 is the first choice. */
	readonly rank: number;
	release(): void;
}

export type SlotResult =
	| { readonly kind: 'slot'; readonly slot: Slot }
	/** The queue is full, or the estimated wait exceeds the deadline. */
	| { readonly kind: 'queueFull'; readonly retryAfterMs: number }
	/** The maximum queueing time or the deadline has passed. */
	| { readonly kind: 'queueTimeout'; readonly retryAfterMs: number }
	| { readonly kind: 'noTarget' }
	| { readonly kind: 'cancelled' };

export interface PoolOptions {
	readonly name: string;
	/** This router's instance. */
	readonly self: string;
	readonly policy: PlacementPolicy;
	/** Shared by all pools of a router. */
	readonly ownerQueryLimiter: OwnerQueryLimiter;
	readonly peers: PeerNetwork;
	readonly maxQueued: number;
	readonly maxQueueMs: number;
	/** Requests a reservation for a target that this router owns itself. */
	readonly reserveLocally: (instance: string, count: number) => PeerResponse;
	/** Called with the result of each reservation request, for metrics. */
	readonly onReservation: (answer: ReservationResult['kind']) => void;
}

interface QueuedRequest {
	readonly request: SlotRequest;
	readonly settle: (result: SlotResult) => void;
}

type QueuedEntry = QueueEntry<QueuedRequest>;

/** Owns the placement and the queue of one pool. */
export class Pool {
	private readonly placer: PoolPlacer;
	private readonly queue: FairQueue<QueuedRequest>;
	private readonly shares = new InFlightShareTracker(DEFAULT_HEADROOM_SHARE);
	private readonly targets = new Map<string, TargetInstance>();
	private dispatchTimer: NodeJS.Timeout | undefined;
	private isDispatching = false;

	constructor(private readonly options: PoolOptions) {
		const { policy, self, ownerQueryLimiter, maxQueued, maxQueueMs } = options;
		this.placer = new PoolPlacer({ policy, self, ownerQueryLimiter });
		const maxQueuedPerCustomer = Math.max(1, Math.floor(maxQueued * CUSTOMER_QUEUE_SHARE));
		this.queue = new FairQueue({ maxQueued, maxQueuedPerCustomer, maxWaitMs: maxQueueMs });
	}

	public get name(): string {
		return this.options.name;
	}

	/** Number of queued requests. */
	public get queueLength(): number {
		return this.queue.size;
	}

	public setTargets(listed: readonly PoolTarget[]): void {
		this.targets.clear();
		for (const { target } of listed) {
			this.targets.set(target.instance, target);
		}
		this.placer.setTargets(listed.map(toPlacementTarget));
		this.startDispatch();
	}

	public setRouters(routers: readonly OwnerCandidate[]): void {
		this.placer.setRouters(routers);
	}

	public noteLoad(report: LoadReport): void {
		this.placer.noteLoad(report);
		this.startDispatch();
	}

	/** Lists the targets that the router `instance` owns. */
	public listOwnedBy(instance: string): readonly TargetInstance[] {
		return [...this.targets.values()].filter((target) => this.placer.findOwner(target.instance) === instance);
	}

	public computeOwnerLimit(instance: string, loadBound: number): number {
		return this.placer.computeOwnerLimit(instance, loadBound);
	}

	public readOwnLoad(instance: string): OwnLoad {
		return this.placer.readOwnLoad(instance);
	}

	/** Returns the preferred entry router for requests with this affinity key. */
	public findEntryRouter(key: string): string | undefined {
		return this.placer.findEntryRouter(key);
	}

	/** Describes each target's load for the state dump. */
	public describe(nowMs: number): readonly { instance: string; load: number | undefined; mean: number }[] {
		return [...this.targets.keys()].map((instance) => ({
			instance,
			load: this.placer.estimateLoad(instance, nowMs),
			mean: this.placer.estimateMeanLoad(instance),
		}));
	}

	/** Acquires a slot for a request, immediately or after queueing. */
	public async acquire(request: SlotRequest): Promise<SlotResult> {
		if (this.queue.countQueued(request.customer) > 0) {
			return this.enqueue(request);
		}
		const decision = await this.resolvePlacement(
			request,
			this.placer.place(this.toPlacementRequest(request), Date.now()),
		);
		switch (decision.kind) {
			case 'send':
				return this.makeSlot(decision, request);
			case 'noTarget':
				return { kind: 'noTarget' };
			case 'full':
				return this.enqueue(request);
		}
	}

	public dispose(): void {
		clearTimeout(this.dispatchTimer);
	}

	/** Requests reservations from owners until the placement is decided. */
	private async resolvePlacement(
		request: SlotRequest,
		initialDecision: PlacementDecision,
	): Promise<Exclude<PlacementDecision, ReserveDecision>> {
		let decision = initialDecision;
		for (let ownerQueries = 0; decision.kind === 'reserve'; ownerQueries++) {
			const answer = await this.requestReservation(decision);
			this.options.onReservation(answer.kind);
			const retryRequest = { ...this.toPlacementRequest(request), ownerQueries };
			decision = this.placer.resolveReservation(retryRequest, decision.instance, answer, Date.now());
		}
		return decision;
	}

	private toPlacementRequest(request: SlotRequest): PlacementRequest {
		const { key, loadBound, excluded, customer, weight } = request;
		return { key, loadBound, excluded, capacityShare: this.shares.computeCapacityShare(customer, weight) };
	}

	private makeSlot(decision: SendDecision, request: SlotRequest): SlotResult {
		const target = this.targets.get(decision.instance);
		if (target === undefined) {
			return { kind: 'noTarget' };
		}
		const sentAtMs = Date.now();
		this.placer.noteSent(decision, request.key, sentAtMs);
		this.shares.noteSent(request.customer, request.weight);
		const release = (): void => {
			const nowMs = Date.now();
			this.placer.noteFinished(decision.instance, nowMs - sentAtMs, nowMs);
			this.shares.noteFinished(request.customer);
			this.startDispatch();
		};
		return { kind: 'slot', slot: { target, rank: decision.rank, release } };
	}

	private async requestReservation(decision: ReserveDecision): Promise<ReservationResult> {
		const { instance, count, owner } = decision;
		const { peers, self, reserveLocally } = this.options;
		if (owner === self) {
			return parseReservation(reserveLocally(instance, count));
		}
		const answered = await peers.call(owner, { kind: 'reserve', instance, count }, RESERVATION_TIMEOUT_MS);
		return answered.err ? { kind: 'unreachable' } : parseReservation(answered.val);
	}

	/** Enqueues a request, or refuses it immediately if the estimated wait exceeds its deadline. */
	private enqueue(request: SlotRequest): Promise<SlotResult> {
		const retryAfterMs = this.queue.estimateWait(request.customer);
		if (this.queue.size > 0 && performance.now() + retryAfterMs > request.deadlineAtMs) {
			return Promise.resolve({ kind: 'queueFull', retryAfterMs });
		}
		return new Promise((resolve) => {
			const settle = this.cancelOnAbort(request, resolve);
			const { customer, weight, priority } = request;
			const answer = this.queue.enqueue({
				item: { request, settle },
				customer,
				weight,
				priority,
				enqueuedAtMs: Date.now(),
			});
			if (answer.kind === 'refused') {
				settle({ kind: 'queueFull', retryAfterMs: answer.retryAfterMs });
				return;
			}
			this.scheduleDispatch();
		});
	}

	/** Removes the request from the queue when its caller disconnects. */
	private cancelOnAbort(
		request: SlotRequest,
		resolve: (result: SlotResult) => void,
	): QueuedRequest['settle'] {
		const handleAbort = (): void => {
			this.queue.removeWhere((entry) => entry.item.request === request);
			resolve({ kind: 'cancelled' });
		};
		request.signal.addEventListener('abort', handleAbort, { once: true });
		return (result) => {
			request.signal.removeEventListener('abort', handleAbort);
			resolve(result);
		};
	}

	private scheduleDispatch(): void {
		this.dispatchTimer ??= setTimeout(() => {
			this.dispatchTimer = undefined;
			this.startDispatch();
		}, DISPATCH_INTERVAL_MS);
	}

	/** Dispatches queued requests while targets have capacity; one run at a time, since reservations are asynchronous. */
	private startDispatch(): void {
		if (this.isDispatching || this.queue.size === 0) {
			return;
		}
		this.isDispatching = true;
		void this.dispatchQueued().finally(() => {
			this.isDispatching = false;
			if (this.queue.size > 0) {
				this.scheduleDispatch();
			}
		});
	}

	private async dispatchQueued(): Promise<void> {
		this.expireQueued();
		let blocked = this.placeQueued();
		while (blocked !== undefined) {
			const { entry, decision } = blocked;
			const { request, settle } = entry.item;
			const decided = await this.resolvePlacement(request, decision);
			if (decided.kind !== 'send') {
				return;
			}
			const [removed] = this.queue.removeWhere((other) => other === entry);
			if (removed !== undefined) {
				settle(this.makeSlot(decided, request));
			}
			blocked = this.placeQueued();
		}
	}

	/** Places queued requests in fair order; returns the first one that needs a reservation from an owner, if any. */
	private placeQueued(): { entry: QueuedEntry; decision: ReserveDecision } | undefined {
		let blocked: { entry: QueuedEntry; decision: ReserveDecision } | undefined;
		this.queue.drain((entry) => {
			const { request, settle } = entry.item;
			const decision = this.placer.place(this.toPlacementRequest(request), Date.now());
			switch (decision.kind) {
				case 'send':
					settle(this.makeSlot(decision, request));
					return true;
				case 'noTarget':
					settle({ kind: 'noTarget' });
					return true;
				case 'reserve':
					blocked = { entry, decision };
					return false;
				case 'full':
					return false;
			}
		}, Date.now());
		return blocked;
	}

	/** Settles queued requests whose maximum queueing time or deadline has passed. */
	private expireQueued(): void {
		const nowMs = performance.now();
		const pastDeadline = this.queue.removeWhere((entry) => entry.item.request.deadlineAtMs <= nowMs);
		for (const { item } of [...this.queue.expire(Date.now()), ...pastDeadline]) {
			item.settle({ kind: 'queueTimeout', retryAfterMs: this.queue.estimateWait() });
		}
	}
}

function toPlacementTarget({ target, acceptsNew, weight }: PoolTarget): PlacementTarget {
	const { instance, zone, capacity } = target;
	return { instance, zone, capacity, weight, acceptsNew };
}

function parseReservation(answer: PeerResponse): ReservationResult {
	switch (answer.kind) {
		case 'reserved':
			return toReservationResult(answer.granted, answer.expiresInMs);
		case 'notOwner':
			return { kind: 'notOwner' };
		case 'released':
		case 'configuration':
		case 'status':
			return { kind: 'unreachable' };
	}
}

function toReservationResult(count: number, expiresInMs: number): ReservationResult {
	return count > 0 ? { kind: 'granted', count, expiresInMs } : { kind: 'denied' };
}
