/**
 * Divides what a cold target can handle in a second among the instances of the fleet. Each instance computes its share
 * by itself, in whole requests per second, so that the sum stays within the limit while the instances' views of the
 * fleet differ.
 */
import type { LimitUser } from './requestLimitShare.js';
import { findUserRank } from './requestLimitShare.js';

/** Bounds of the requests per second that a cold target gets from the fleet, as the deployment sets them. */
export interface ColdTargetBounds {
	/** Factor by which the rate of a cold target may be exceeded. */
	readonly excess: number;
	/** Requests that are allowed in any one second beyond that. */
	readonly extra: number;
}

/**
 * After the fleet is split in two, the larger part divides the whole budget anew, while the instances of the smaller
 * part keep the shares that they had.
 */
const SIMULTANEOUS_DIVISIONS = 2;

/**
 * Trials by instances without a share of a target that may be down, relative to the budget: together with the shares
 * they must stay within the limit in any second.
 */
const TRIAL_SHARE = 0.5;

/** Returns the requests that all instances with the same view of the fleet may send to a cold target in any second. */
export function computeColdBudget(requestsPerSecond: number, { excess, extra }: ColdTargetBounds): number {
	const limit = requestsPerSecond * excess + extra;
	// The target handles no more than its rate for long, but a rate below 1 must not exclude it altogether.
	return Math.min(Math.floor(limit / SIMULTANEOUS_DIVISIONS), Math.max(1, Math.floor(requestsPerSecond)));
}

/**
 * Returns the requests that an instance may send to a cold target in any second. The share can only fall if the
 * instance learns of further ones, so that one that knows more never has more than its part of the common division.
 * @param unknownInstances instances that are known by number only; each is assumed to come before this one
 */
export function computeColdShare(
	budget: number,
	targetHash: number,
	self: LimitUser,
	others: readonly LimitUser[],
	unknownInstances: number,
): number {
	const rank = findUserRank(targetHash, self, others) + unknownInstances;
	const instances = others.length + 1 + unknownInstances;
	return Math.max(0, Math.ceil((budget - rank) / instances));
}

/**
 * Returns the time in ms by which an instance without a share delays its trial of a target that may be down, so that
 * instances that have found it down at the same moment do not try it together.
 */
export function computeTrialDelay(
	budget: number,
	targetHash: number,
	self: LimitUser,
	others: readonly LimitUser[],
	unknownInstances: number,
): number {
	const rank = findUserRank(targetHash, self, others) + unknownInstances;
	return budget === 0 ? 0 : (rank / (TRIAL_SHARE * budget)) * 1000;
}
