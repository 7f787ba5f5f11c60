/**
 * Places the requests of one pool on its targets for one router: ranks the targets by affinity key, returns
 * moved chats to their cached prefix, and applies the load bound of the policy. Pure: no timers, no I/O.
 */
import { hashTextTo32 } from '../base/hash.js';
import { Admission } from './admission.js';
import { MovedChats } from './movedChats.js';
import type { OwnLoad } from './engineOwner.js';
import type { OwnerCandidate } from './ownerSelector.js';
import type {
	CacheEvent,
	LoadReport,
	PlacementDecision,
	PlacementTarget,
	PlacementRequest,
	ReservationResult,
	ReserveDecision,
	SendDecision,
} from './placement.js';
import type { PlacementPolicy } from './policy.js';
import { PoolLoad } from './poolLoad.js';
import type { OwnerQueryLimiter } from './ownerQueryLimiter.js';
import { createOwnerQueryLimiter } from './ownerQueryLimiter.js';
import { hashPair, RendezvousTable } from './rendezvous.js';
import type { TargetLoad } from './targetLoad.js';

/** Candidates that the policy evaluates; after these, the first target below its load bound is used. */
const MAX_POLICY_CANDIDATES = 16;
const DEFAULT_MAX_MOVED_CHATS = 50_000;

export interface PoolPlacerOptions {
	readonly policy: PlacementPolicy;
	/** This router's instance. */
	readonly self: string;
	/** Rate limit of owner queries, shared by all pools of the router; the policy's default if absent. */
	readonly ownerQueryLimiter?: OwnerQueryLimiter;
	/** Maximum number of moved chats that are tracked. */
	readonly maxMovedChats?: number;
}

type CandidatePredicate = (target: TargetLoad) => boolean;

export class PoolPlacer {
	private readonly selfHash: number;
	private readonly load: PoolLoad;
	private readonly admission: Admission;
	private readonly movedChats: MovedChats;
	private table = new RendezvousTable([]);
	private keylessCount = 0;

	constructor(options: PoolPlacerOptions) {
		this.selfHash = hashTextTo32(options.self);
		this.load = new PoolLoad(options.policy);
		this.admission = new Admission(
			options.policy,
			options.self,
			this.load,
			options.ownerQueryLimiter ?? createOwnerQueryLimiter(options.policy),
		);
		this.movedChats = new MovedChats(options.maxMovedChats ?? DEFAULT_MAX_MOVED_CHATS);
	}

	/** Replaces the targets of the pool. The recorded load of targets that remain is kept. */
	public setTargets(targets: readonly PlacementTarget[]): void {
		this.load.setTargets(targets);
		const accepting = targets.filter((target) => target.acceptsNew);
		this.table = new RendezvousTable(
			accepting.map((target) => ({ name: target.instance, weight: target.weight * target.capacity })),
		);
	}

	/** Replaces the routers from which owners are selected. */
	public setRouters(routers: readonly OwnerCandidate[]): void {
		this.admission.setRouters(routers);
	}

	/** Decides where to send a request. The caller then sends it and calls `noteSent`. */
	public place(request: PlacementRequest, nowMs: number): PlacementDecision {
		if (this.table.size === 0) {
			return { kind: 'noTarget' };
		}
		const keyHash = this.computeKeyHash(request.key);
		return (
			this.tryMovedChat(request, keyHash, nowMs) ??
			this.tryPolicy(request, keyHash, nowMs) ??
			this.tryRanking(request, keyHash, (target) =>
				this.admission.isBelowLoadBound(target, request, nowMs),
			) ??
			this.tryRanking(request, keyHash, (target) => this.admission.isBelowCapacity(target, request, nowMs)) ??
			this.refuse(request)
		);
	}

	/** Decides again with the result of a reservation request for `instance`, after a `reserve` decision. */
	public resolveReservation(
		request: PlacementRequest,
		instance: string,
		answer: ReservationResult,
		nowMs: number,
	): PlacementDecision {
		const target = this.load.find(instance);
		if (target !== undefined) {
			this.admission.noteReservationResult(target, answer, nowMs);
		}
		return this.place({ ...request, ownerQueries: (request.ownerQueries ?? 0) + 1 }, nowMs);
	}

	/** Records that a request was sent as decided. */
	public noteSent(decision: SendDecision, key: string | undefined, nowMs: number): void {
		this.load.noteChange(decision.instance, 1, nowMs);
		if (key === undefined) {
			return;
		}
		if (decision.rank > 0) {
			this.movedChats.remember(key, decision.instance);
			return;
		}
		this.movedChats.forget(key);
	}

	/** Records that a request ended on `instance`, `durationMs` after it was sent. */
	public noteFinished(instance: string, durationMs: number, nowMs: number): void {
		this.load.noteChange(instance, -1, nowMs);
		this.load.noteDuration(durationMs);
	}

	/** Records a load report of an engine; duplicates and reports that are out of order are ignored. */
	public noteLoad(report: LoadReport): void {
		this.load.noteReport(report);
	}

	/** Uses a cache event as a hint: a moved chat whose prefix was evicted no longer returns to that target. */
	public noteCacheEvent(event: CacheEvent): void {
		if (event.kind === 'evicted') {
			this.movedChats.forgetIfOn(event.key, event.instance);
		}
	}

	/** Returns the owner of a target, or undefined for an unknown target. */
	public findOwner(instance: string): string | undefined {
		const target = this.load.find(instance);
		return target === undefined ? undefined : this.admission.findOwner(target);
	}

	/** Returns the most requests that the owner of `instance` may admit, under the load bound `factor`. */
	public computeOwnerLimit(instance: string, factor: number): number {
		const target = this.load.find(instance);
		return target === undefined ? 0 : this.admission.computeOwnerLimit(target, factor);
	}

	/** Returns the estimated load of a target, from the last report and this router's requests since. */
	public estimateLoad(instance: string, nowMs: number): number | undefined {
		const target = this.load.find(instance);
		return target === undefined ? undefined : this.load.estimate(target, nowMs).requests;
	}

	/** Returns the load that this router itself has placed on a target. */
	public readOwnLoad(instance: string): OwnLoad {
		const target = this.load.find(instance);
		const { durationMs } = this.load;
		return { inFlight: target?.inFlight ?? 0, changeSinceReport: target?.changeSinceReport ?? 0, durationMs };
	}

	/**
	 * Returns the preferred entry router for requests with this key: the owner of their first choice, which
	 * counts them exactly and needs no owner query.
	 */
	public findEntryRouter(key: string): string | undefined {
		const first = this.table.rank(key, 1)[0];
		return first === undefined ? undefined : this.findOwner(first);
	}

	/** Returns the load that the target would carry if the pool's load were spread by capacity. */
	public estimateMeanLoad(instance: string): number {
		const target = this.load.find(instance);
		return target === undefined ? 0 : this.load.total * this.load.computeCapacityShare(target);
	}

	/** Tries the target to which the chat was moved earlier and where its prefix is cached. */
	private tryMovedChat(
		request: PlacementRequest,
		keyHash: number,
		nowMs: number,
	): PlacementDecision | undefined {
		const movedTo = request.key === undefined ? undefined : this.movedChats.find(request.key);
		if (movedTo === undefined || request.excluded.has(movedTo)) {
			return undefined;
		}
		const target = this.load.findAccepting(movedTo);
		if (target === undefined) {
			return undefined;
		}
		this.table.resetWalk(keyHash);
		const rank = this.table.nextName() === movedTo ? 0 : 1;
		return this.decideOn(target, rank, request, nowMs);
	}

	private tryPolicy(
		request: PlacementRequest,
		keyHash: number,
		nowMs: number,
	): PlacementDecision | undefined {
		this.table.resetWalk(keyHash);
		for (let rank = 0; rank < MAX_POLICY_CANDIDATES; rank++) {
			const name = this.table.nextName();
			if (name === undefined) {
				return undefined;
			}
			const target = request.excluded.has(name) ? undefined : this.load.find(name);
			const decision = target === undefined ? undefined : this.decideOn(target, rank, request, nowMs);
			if (decision !== undefined) {
				return decision;
			}
		}
		return undefined;
	}

	private decideOn(
		target: TargetLoad,
		rank: number,
		request: PlacementRequest,
		nowMs: number,
	): SendDecision | ReserveDecision | undefined {
		const decision = this.admission.decide(target, request, nowMs);
		switch (decision.kind) {
			case 'admit':
				return { kind: 'send', instance: target.instance, rank };
			case 'reserve':
				return decision;
			case 'skip':
				return undefined;
		}
	}

	/** Selects the first acceptable candidate of the whole ranking. */
	private tryRanking(
		request: PlacementRequest,
		keyHash: number,
		isAcceptable: CandidatePredicate,
	): SendDecision | undefined {
		this.table.resetWalk(keyHash);
		let rank = 0;
		for (let name = this.table.nextName(); name !== undefined; name = this.table.nextName()) {
			const target = request.excluded.has(name) ? undefined : this.load.find(name);
			if (target !== undefined && isAcceptable(target)) {
				return { kind: 'send', instance: name, rank };
			}
			rank += 1;
		}
		return undefined;
	}

	private refuse(request: PlacementRequest): PlacementDecision {
		return this.load.hasCandidate(request.excluded) ? { kind: 'full' } : { kind: 'noTarget' };
	}

	/** Hashes the key; a request without one gets a new pseudo-random hash, so such requests spread evenly. */
	private computeKeyHash(key: string | undefined): number {
		if (key !== undefined) {
			return hashTextTo32(key);
		}
		this.keylessCount = (this.keylessCount + 1) >>> 0;
		return hashPair(this.selfHash, this.keylessCount);
	}
}
