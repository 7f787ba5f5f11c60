/**
 * Divides the capacity of a service among the instances. Each has a part in proportion to its demand, and may use what the
 * others leave free: all of it while most is free, and less and less as the capacity fills, since what is known of the
 * others is old and all instances would take the same free slots at once.
 */
import { computeDemandShare } from '@papayawell/core';

/** Up to this part of its capacity a service is not short: every request is sent at once. */
export const SHORT_OCCUPANCY = 0.75;

/** The other instances, as far as they are known. */
export interface FleetView {
	/** Instances of the fleet, including this one. */
	readonly instances: number;
	/** Others that are heard. */
	readonly heard: number;
	/** Demand of those that report one, in requests per second. */
	readonly demands: readonly number[];
}

export interface CapacityUse {
	readonly ownRequests: number;
	/** Requests of the other instances, as far as they are known. */
	readonly otherRequests: number;
	/** Whether that covers the requests of instances that are not heard. */
	readonly isComplete: boolean;
	/** Demand of this instance, in requests per second. */
	readonly ownDemand: number;
}

/** Returns the part of the capacity that this instance may use whatever the others do. */
export function computeShare(fleet: FleetView, ownDemand: number): number {
	const others = Math.max(0, fleet.instances - 1);
	const known = fleet.demands.slice(0, others);
	const reported = known.reduce((sum, demand) => sum + demand, 0);
	const mean = (reported + ownDemand) / (known.length + 1);
	return computeDemandShare(ownDemand, reported + (others - known.length) * mean, others + 1);
}

/**
 * Returns how many requests of this instance may be on the targets of a service.
 * @param capacity requests that may be on them in total
 */
export function computeAllowance(capacity: number, fleet: FleetView, use: CapacityUse): number {
	const share = computeShare(fleet, use.ownDemand);
	const others = estimateOthers(capacity * (1 - share), fleet, use);
	const free = Math.max(0, capacity * (1 - share) - others);
	const occupancy = (use.ownRequests + others) / capacity;
	const caution = Math.min(1, Math.max(0, (occupancy - SHORT_OCCUPANCY) / (1 - SHORT_OCCUPANCY)));
	const lent = free * (1 - caution * (1 - share));
	return capacity * share + lent;
}

/**
 * Estimates the requests of all others: those that are known, or their whole part if none of them is heard. Instances
 * that are no longer heard while others are have most likely ended, and their callers have gone to the others.
 */
export function estimateOthers(
	partOfOthers: number,
	fleet: FleetView,
	{ otherRequests, isComplete }: Pick<CapacityUse, 'otherRequests' | 'isComplete'>,
): number {
	return fleet.heard === 0 && fleet.instances > 1 && !isComplete ? partOfOthers : otherRequests;
}
