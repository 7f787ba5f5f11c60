/** Chooses by rendezvous hashing which instances remember the origin of a stream, alike at every instance. */
import { hashPair, hashTextTo32 } from '@papayawell/core';

export interface OriginHolder {
	readonly name: string;
	readonly controlAddress: string;
}

/** Returns up to `count` of the instances, those that hold the origin of an attempt first. */
export function rankOriginHolders(
	attemptId: string,
	instances: readonly OriginHolder[],
	count: number,
): readonly OriginHolder[] {
	const attemptHash = hashTextTo32(attemptId);
	return instances
		.map((instance) => ({ instance, score: computeScore(attemptHash, instance.name) }))
		.sort((a, b) => b.score - a.score)
		.slice(0, count)
		.map(({ instance }) => instance);
}

/** Whether `rankOriginHolders` returns the instance of the given name. */
export function isOriginHolder(
	attemptId: string,
	name: string,
	instances: readonly OriginHolder[],
	count: number,
): boolean {
	const attemptHash = hashTextTo32(attemptId);
	const ownScore = computeScore(attemptHash, name);
	let ahead = 0;
	return instances.every((instance) => {
		ahead += computeScore(attemptHash, instance.name) > ownScore ? 1 : 0;
		return ahead < count;
	});
}

function computeScore(attemptHash: number, name: string): number {
	return hashPair(attemptHash, hashTextTo32(name));
}
