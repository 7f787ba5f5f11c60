/**
 * Divides the limit of a target among the instances of the fleet. In a large fleet equal shares would be far less than
 * a request a second each, so only as many instances use the target as the limit allows for; rendezvous hashing
 * chooses them alike at every instance.
 */
import { hashPair, hashTextTo32 } from '@papayawell/core';

/** An instance that may use a target. */
export interface LimitUser {
	readonly name: string;
	readonly nameHash: number;
}

export function createLimitUser(name: string): LimitUser {
	return { name, nameHash: hashTextTo32(name) };
}

/** Instances that may use a target beyond one for each request a second; each may send one request at any moment. */
const EXTRA_INSTANCES = 3;

/**
 * Part of its share that an instance uses that does not hear most others, one of which may be using the same share: all
 * together stay within one and a half times the limit.
 */
const MINORITY_USE = 0.5;

/**
 * Returns the requests a second that an instance may send to a target; 0 if it may send none.
 * @param targetHash hash of the target's id
 * @param others the other instances that share the limit
 * @param hearsMajority whether this instance hears most of the instances
 */
export function computeLimitShare(
	requestsPerSecond: number,
	targetHash: number,
	self: LimitUser,
	others: readonly LimitUser[],
	hearsMajority: boolean,
): number {
	const users = Math.min(others.length + 1, Math.floor(requestsPerSecond) + EXTRA_INSTANCES);
	const use = hearsMajority ? 1 : MINORITY_USE;
	return findUserRank(targetHash, self, others) < users ? (use * requestsPerSecond) / users : 0;
}

/** Returns the rank of an instance among those that may use a target, by rendezvous hashing; 0 is the first. */
export function findUserRank(targetHash: number, self: LimitUser, others: readonly LimitUser[]): number {
	const ownScore = hashPair(targetHash, self.nameHash);
	const ahead = others.filter(({ name, nameHash }) => {
		const score = hashPair(targetHash, nameHash);
		return score > ownScore || (score === ownScore && name < self.name);
	});
	return ahead.length;
}
