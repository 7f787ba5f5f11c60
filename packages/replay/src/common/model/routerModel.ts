/** Model of a router: runs the production placement code with simulated time and network. */
import type {
	LoadReport,
	OwnLoad,
	PlacementDecision,
	PlacementPolicy,
	PlacementTarget,
	PlacementRequest,
	OwnerQueryLimiter,
	QueueEntry,
	SendDecision,
} from '@papayawell/core';
import {
	DEFAULT_HEADROOM_SHARE,
	EngineOwner,
	FairQueue,
	InFlightShareTracker,
	PoolPlacer,
	createOwnerQueryLimiter,
} from '@papayawell/core';
import type { Job } from './job.js';

const RESERVATION_TTL_MS = 500;
const QUEUE_LIMITS = { maxQueued: 2_000, maxQueuedPerCustomer: 500, maxWaitMs: 10_000 };
/** All customers have the same weight in the simulation. */
const CUSTOMER_WEIGHT = 1;
const NO_LOAD: OwnLoad = { inFlight: 0, changeSinceReport: 0, durationMs: 0 };

/** Functions and settings that the simulation provides to a simulated router. */
export interface RouterEnvironment {
	readonly policy: PlacementPolicy;
	readonly loadBound: number;
	readNow(): number;
	send(job: Job, decision: SendDecision): void;
	requestReservation(
		job: Job,
		decision: Extract<PlacementDecision, { kind: 'reserve' }>,
		ownerQueries: number,
	): void;
	reject(job: Job): void;
	noteQueued(job: Job): void;
}

interface PoolState {
	readonly placer: PoolPlacer;
	readonly queue: FairQueue<Job>;
	readonly shares: InFlightShareTracker;
}

export class RouterModel {
	public state: 'alive' | 'draining' | 'paused' | 'crashed' = 'alive';
	public readonly engineOwner: EngineOwner;
	private readonly pools = new Map<string, PoolState>();
	private readonly ownerQueryLimiter: OwnerQueryLimiter;
	private readonly poolByTarget = new Map<string, string>();

	constructor(
		public readonly instance: string,
		public readonly zone: string,
		private readonly environment: RouterEnvironment,
	) {
		this.ownerQueryLimiter = createOwnerQueryLimiter(environment.policy);
		this.engineOwner = new EngineOwner({
			computeLimit: (target) =>
				this.findPlacer(target)?.computeOwnerLimit(target, environment.loadBound) ?? 0,
			self: instance,
			readOwnLoad: (target) => this.findPlacer(target)?.readOwnLoad(target) ?? NO_LOAD,
			reservationMs: RESERVATION_TTL_MS,
			staleAfterMs: 10_000,
		});
	}

	public setTargets(pool: string, targets: readonly PlacementTarget[]): void {
		for (const target of targets) {
			this.poolByTarget.set(target.instance, pool);
		}
		this.getPool(pool).placer.setTargets(targets);
	}

	public setRouters(routers: readonly { instance: string; zone: string }[]): void {
		for (const { placer } of this.pools.values()) {
			placer.setRouters(routers);
		}
	}

	public noteLoad(report: LoadReport): void {
		this.findPlacer(report.instance)?.noteLoad(report);
	}

	/** Returns the preferred entry router for requests of the chat. */
	public findEntryRouter(pool: string, chat: string): string | undefined {
		return this.getPool(pool).placer.findEntryRouter(chat);
	}

	/**
	 * Accepts a request from a caller; queues it if the customer already has queued requests, to keep their
	 * order.
	 */
	public accept(job: Job): void {
		if (this.getPool(job.request.pool).queue.countQueued(job.request.customer) > 0) {
			this.enqueue(job, job.arrivedAtMs);
			return;
		}
		this.place(job, 0);
	}

	/** Decides on the placement of a request after `ownerQueries` reservation requests were sent for it. */
	public place(job: Job, ownerQueries: number): void {
		const { placer } = this.getPool(job.request.pool);
		this.apply(
			job,
			placer.place(this.makeRequest(job, ownerQueries), this.environment.readNow()),
			ownerQueries,
		);
	}

	public resolveReservation(
		job: Job,
		instance: string,
		response: Parameters<PoolPlacer['resolveReservation']>[2],
		ownerQueries: number,
	): void {
		const { placer } = this.getPool(job.request.pool);
		const request = this.makeRequest(job, ownerQueries);
		const decision = placer.resolveReservation(request, instance, response, this.environment.readNow());
		this.apply(job, decision, ownerQueries + 1);
	}

	public noteSent(job: Job, decision: SendDecision): void {
		const pool = this.getPool(job.request.pool);
		pool.placer.noteSent(decision, job.request.chat, this.environment.readNow());
		pool.shares.noteSent(job.request.customer, CUSTOMER_WEIGHT);
	}

	/** Releases a request's load on its target, whether it completed or failed. */
	public noteFinished(job: Job): void {
		const pool = this.getPool(job.request.pool);
		const nowMs = this.environment.readNow();
		pool.placer.noteFinished(job.target?.info.instance ?? '', nowMs - job.sentAtMs, nowMs);
		pool.shares.noteFinished(job.request.customer);
	}

	/** Rejects queued requests that exceeded the maximum queue time, then tries to place the remaining ones. */
	public drainQueues(): void {
		const nowMs = this.environment.readNow();
		for (const { queue } of this.pools.values()) {
			if (queue.size === 0) {
				continue;
			}
			for (const entry of queue.expire(nowMs)) {
				this.environment.reject(entry.item);
			}
			queue.drain((entry) => this.tryPlace(entry), nowMs);
		}
	}

	/** Removes and returns all queued requests when the router crashes. */
	public removeQueued(): Job[] {
		return [...this.pools.values()].flatMap(({ queue }) =>
			queue.removeWhere(() => true).map((entry) => entry.item),
		);
	}

	private tryPlace(entry: QueueEntry<Job>): boolean {
		const job = entry.item;
		const { placer } = this.getPool(job.request.pool);
		const decision = placer.place(this.makeRequest(job, 0), this.environment.readNow());
		if (decision.kind === 'full' || decision.kind === 'noTarget') {
			return false;
		}
		job.queuedMs = this.environment.readNow() - entry.enqueuedAtMs;
		this.apply(job, decision, 0);
		return true;
	}

	private apply(job: Job, decision: PlacementDecision, ownerQueries: number): void {
		switch (decision.kind) {
			case 'send':
				this.environment.send(job, decision);
				return;
			case 'reserve':
				this.environment.requestReservation(job, decision, ownerQueries);
				return;
			case 'full':
				this.enqueue(job, this.environment.readNow() - job.queuedMs);
				return;
			case 'noTarget':
				this.environment.reject(job);
				return;
		}
	}

	private enqueue(job: Job, enqueuedAtMs: number): void {
		const { queue } = this.getPool(job.request.pool);
		const { customer } = job.request;
		const entry = { item: job, customer, weight: CUSTOMER_WEIGHT, priority: 0, enqueuedAtMs };
		if (queue.enqueue(entry).kind === 'refused') {
			this.environment.reject(job);
			return;
		}
		this.environment.noteQueued(job);
	}

	private makeRequest(job: Job, ownerQueries: number): PlacementRequest {
		const { shares } = this.getPool(job.request.pool);
		return {
			key: job.request.chat,
			loadBound: this.environment.loadBound,
			excluded: job.excluded,
			capacityShare: shares.computeCapacityShare(job.request.customer, CUSTOMER_WEIGHT),
			ownerQueries,
		};
	}

	private findPlacer(instance: string): PoolPlacer | undefined {
		const pool = this.poolByTarget.get(instance);
		return pool === undefined ? undefined : this.pools.get(pool)?.placer;
	}

	private getPool(name: string): PoolState {
		let pool = this.pools.get(name);
		if (pool === undefined) {
			pool = {
				placer: new PoolPlacer({
					policy: this.environment.policy,
					self: this.instance,
					ownerQueryLimiter: this.ownerQueryLimiter,
				}),
				queue: new FairQueue(QUEUE_LIMITS),
				shares: new InFlightShareTracker(DEFAULT_HEADROOM_SHARE),
			};
			this.pools.set(name, pool);
		}
		return pool;
	}
}
