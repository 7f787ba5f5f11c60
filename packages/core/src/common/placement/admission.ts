/** Admission control: decides under the placement policy whether a candidate target may get a request. */
import { hashTextTo32 } from '../base/hash.js';
import { computeAdmissionFactor, computeLoadBound } from './loadBound.js';
import type { OwnerCandidate } from './ownerSelector.js';
import { OwnerSelector } from './ownerSelector.js';
import type { PlacementRequest, ReservationResult, ReserveDecision } from './placement.js';
import type { BoundParameters, PlacementPolicy, ReservationParameters } from './policy.js';
import type { PoolLoad } from './poolLoad.js';
import type { OwnerQueryLimiter } from './ownerQueryLimiter.js';
import type { TargetLoad } from './targetLoad.js';

/** Outcome for one candidate: send to it, try the next candidate, or reserve at its owner first. */
export type CandidateDecision = { readonly kind: 'admit' } | { readonly kind: 'skip' } | ReserveDecision;

const TWO_POW_32 = 2 ** 32;

const ADMIT: CandidateDecision = { kind: 'admit' };
const SKIP: CandidateDecision = { kind: 'skip' };

/** Hashes a key and a target to a uniform number in [0, 1); requests without a key get 0.5. */
function hashToUnitInterval(key: string | undefined, instance: string): number {
	return key === undefined ? 0.5 : hashTextTo32(`${instance}/${key}`) / TWO_POW_32;
}

function toDecision(isAdmitted: boolean): CandidateDecision {
	return isAdmitted ? ADMIT : SKIP;
}

export class Admission {
	private owners = new OwnerSelector([]);
	/** Owners that did not respond or rejected ownership, each with the time at which its back-off ends. */
	private readonly unreachableOwners = new Map<string, number>();

	constructor(
		private readonly policy: PlacementPolicy,
		private readonly self: string,
		private readonly load: PoolLoad,
		private readonly queryLimiter: OwnerQueryLimiter,
	) {}

	public setRouters(routers: readonly OwnerCandidate[]): void {
		this.owners = new OwnerSelector(routers);
		this.unreachableOwners.clear();
		this.load.clearOwners();
	}

	public findOwner(target: TargetLoad): string | undefined {
		target.owner ??= this.owners.selectOwner(target);
		return target.owner;
	}

	public decide(target: TargetLoad, request: PlacementRequest, nowMs: number): CandidateDecision {
		const policy = this.policy;
		switch (policy.kind) {
			case 'hash':
				return ADMIT;
			case 'local':
				return toDecision(this.isBelowLocalBound(target, request, policy));
			case 'report':
				return toDecision(this.isBelowBound(target, request, policy, 0, nowMs));
			case 'owner':
				return this.decideByOwner(target, request, policy, nowMs);
			case 'adaptive': {
				const margin = policy.headroomSigmas * this.load.computeDeviation(target, nowMs);
				if (this.isBelowBound(target, request, policy, margin, nowMs)) {
					return ADMIT;
				}
				return this.decideByOwner(target, request, policy, nowMs);
			}
		}
	}

	/** Whether one more request fits under the full load bound, without the slack that the policy reserves. */
	public isBelowLoadBound(target: TargetLoad, request: PlacementRequest, nowMs: number): boolean {
		const limit = this.computeLimit(target, request.loadBound, 1, request.capacityShare);
		return this.load.estimate(target, nowMs).requests + 1 <= limit;
	}

	public isBelowCapacity(target: TargetLoad, request: PlacementRequest, nowMs: number): boolean {
		const limit = Math.floor(target.capacity * (request.capacityShare ?? 1));
		return this.load.estimate(target, nowMs).requests + 1 <= limit;
	}

	/** Returns the most requests that the owner of the target may admit, under the load bound `factor`. */
	public computeOwnerLimit(target: TargetLoad, factor: number): number {
		const share = this.policy.kind === 'hash' ? 1 : this.policy.admissionShare;
		return this.computeLimit(target, factor, share, 1);
	}

	public noteReservationResult(target: TargetLoad, answer: ReservationResult, nowMs: number): void {
		if (this.policy.kind !== 'owner' && this.policy.kind !== 'adaptive') {
			return;
		}
		switch (answer.kind) {
			case 'granted':
				target.reservations = answer.count;
				target.reservationsExpireAtMs = nowMs + answer.expiresInMs;
				return;
			case 'denied':
				target.deniedUntilMs = nowMs + this.policy.denialBackoffMs;
				return;
			case 'notOwner':
			case 'unreachable':
				if (target.owner !== undefined) {
					this.unreachableOwners.set(target.owner, nowMs + this.policy.unreachableOwnerBackoffMs);
				}
				return;
		}
	}

	private decideByOwner(
		target: TargetLoad,
		request: PlacementRequest,
		parameters: ReservationParameters,
		nowMs: number,
	): CandidateDecision {
		if (target.consumeReservation(nowMs)) {
			return ADMIT;
		}
		const owner = this.findOwner(target);
		if (owner === undefined || nowMs < (this.unreachableOwners.get(owner) ?? -Infinity)) {
			return toDecision(this.isBelowDegradedBound(target, request, parameters, nowMs));
		}
		if (nowMs < target.deniedUntilMs || this.isCertainlyFull(target, request, nowMs)) {
			return SKIP;
		}
		if ((request.ownerQueries ?? 0) >= parameters.maxOwnerQueries) {
			return toDecision(this.isBelowBound(target, request, parameters, 0, nowMs));
		}
		if (owner !== this.self && !this.queryLimiter.tryAcquire(nowMs)) {
			return toDecision(this.isWithinThinnedShare(target, request, parameters, nowMs));
		}
		const recentSends = target.countSendsAfter(nowMs - parameters.batchDurationMs);
		const count = Math.min(Math.max(1, recentSends), parameters.maxBatchSize);
		return { kind: 'reserve', instance: target.instance, owner, count };
	}

	private isBelowLocalBound(
		target: TargetLoad,
		request: PlacementRequest,
		parameters: BoundParameters,
	): boolean {
		const factor = computeAdmissionFactor(request.loadBound, parameters.admissionShare);
		const bound = computeLoadBound(
			factor,
			this.load.totalInFlight + 1,
			this.load.computeCapacityShare(target),
		);
		const capacity = Math.floor(target.capacity * (request.capacityShare ?? 1));
		return target.inFlight + 1 <= Math.min(bound, capacity);
	}

	private isBelowBound(
		target: TargetLoad,
		request: PlacementRequest,
		parameters: BoundParameters,
		margin: number,
		nowMs: number,
	): boolean {
		if (this.load.isStale(target, nowMs)) {
			return margin === 0 && this.isBelowDegradedBound(target, request, parameters, nowMs);
		}
		const limit = this.computeLimit(
			target,
			request.loadBound,
			parameters.admissionShare,
			request.capacityShare,
		);
		return this.load.estimate(target, nowMs).requests + 1 + margin <= limit;
	}

	/**
	 * Admits a share of the keys that decreases from all to none as the estimate approaches the bound, over the
	 * policy's number of standard deviations. Whether a key is admitted depends only on the key and the target:
	 * routers with the same reports do not all move to the same target, and a chat stays where it is.
	 */
	private isWithinThinnedShare(
		target: TargetLoad,
		request: PlacementRequest,
		parameters: ReservationParameters,
		nowMs: number,
	): boolean {
		if (this.load.isStale(target, nowMs)) {
			return this.isBelowDegradedBound(target, request, parameters, nowMs);
		}
		const share = parameters.admissionShare;
		const limit = this.computeLimit(target, request.loadBound, share, request.capacityShare);
		const headroom = limit - this.load.estimate(target, nowMs).requests - 1;
		const margin = parameters.thinningSigmas * this.load.computeDeviation(target, nowMs);
		return headroom >= margin || headroom > margin * hashToUnitInterval(request.key, target.instance);
	}

	/** Applies the stricter factor, for decisions without a fresh report or a reachable owner. */
	private isBelowDegradedBound(
		target: TargetLoad,
		request: PlacementRequest,
		parameters: BoundParameters,
		nowMs: number,
	): boolean {
		const share = parameters.degradedAdmissionShare;
		const limit = this.computeLimit(target, request.loadBound, share, request.capacityShare);
		return this.load.estimate(target, nowMs).requests + 1 <= limit;
	}

	/** Whether the target is full even at one standard deviation below the estimate: its owner would deny. */
	private isCertainlyFull(target: TargetLoad, request: PlacementRequest, nowMs: number): boolean {
		if (this.load.isStale(target, nowMs)) {
			return false;
		}
		const limit = this.computeLimit(target, request.loadBound, 1, request.capacityShare);
		const lowestEstimate =
			this.load.estimate(target, nowMs).requests - this.load.computeDeviation(target, nowMs);
		return lowestEstimate >= limit;
	}

	private computeLimit(
		target: TargetLoad,
		loadBound: number,
		admissionShare: number,
		capacityShare = 1,
	): number {
		const factor = computeAdmissionFactor(loadBound, admissionShare);
		const bound = computeLoadBound(factor, this.load.total + 1, this.load.computeCapacityShare(target));
		return Math.min(bound, Math.floor(target.capacity * capacityShare));
	}
}
