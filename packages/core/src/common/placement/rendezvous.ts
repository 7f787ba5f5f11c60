/**
 * Weighted rendezvous hashing. A key prefers the candidate with the lowest cost `-ln(u) / weight`, where `u`
 * is a uniform number derived from the key and the candidate. When a candidate joins or leaves, only the keys
 * that prefer it move.
 *
 * The key is hashed once. The precomputed hash of each candidate is mixed in with integer arithmetic, so that
 * a lookup among thousands allocates nothing and computes one logarithm for each distinct weight.
 */
import { hashTextTo32 } from '../base/hash.js';

const TWO_POW_32 = 2 ** 32;

/** Mixes two 32-bit hashes into a third one with the finalizer of MurmurHash3. */
export function hashPair(left: number, right: number): number {
	let mixed = left ^ right;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}

export interface RankedCandidate {
	readonly name: string;
	/** Relative share of the keys; candidates of weight 0 are never selected. */
	readonly weight: number;
}

/** Candidates of equal weight, which are compared by their integer hashes alone. */
interface WeightGroup {
	readonly weight: number;
	readonly start: number;
	end: number;
	/** Position of the best candidate that the walk has not returned yet, or -1. */
	best: number;
}

/** An immutable set of candidates and one reusable walk over it in order of preference. */
export class RendezvousTable {
	private readonly names: string[];
	private readonly nameHashes: Uint32Array;
	private readonly scores: Uint32Array;
	private readonly groups: WeightGroup[] = [];

	constructor(candidates: readonly RankedCandidate[]) {
		const sorted = candidates
			.filter((candidate) => candidate.weight > 0)
			.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
		this.names = sorted.map((candidate) => candidate.name);
		this.nameHashes = Uint32Array.from(sorted, (candidate) => hashTextTo32(candidate.name));
		this.scores = new Uint32Array(sorted.length);
		sorted.forEach((candidate, position) => {
			this.appendToGroup(candidate.weight, position);
		});
	}

	public get size(): number {
		return this.names.length;
	}

	/** Starts a walk for the key with this 32-bit hash. */
	public resetWalk(keyHash: number): void {
		for (let position = 0; position < this.scores.length; position++) {
			this.scores[position] = hashPair(keyHash, this.nameHashes[position] ?? 0);
		}
		for (const group of this.groups) {
			group.best = this.findBest(group, TWO_POW_32, -1);
		}
	}

	/** Returns the next candidate in order of preference, or undefined after the last one. */
	public nextName(): string | undefined {
		const group = this.pickGroup();
		if (group === undefined) {
			return undefined;
		}
		const position = group.best;
		group.best = this.findBest(group, this.scores[position] ?? 0, position);
		return this.names[position];
	}

	/** Returns the first `count` candidates for a key, best first. */
	public rank(key: string, count = this.size): string[] {
		this.resetWalk(hashTextTo32(key));
		const ranking: string[] = [];
		for (let name = this.nextName(); name !== undefined && ranking.length < count; name = this.nextName()) {
			ranking.push(name);
		}
		return ranking;
	}

	private appendToGroup(weight: number, position: number): void {
		const last = this.groups.at(-1);
		if (last?.weight === weight) {
			last.end = position + 1;
			return;
		}
		this.groups.push({ weight, start: position, end: position + 1, best: -1 });
	}

	/** Finds the candidate after the one with `score` at `position`; equal scores are ordered by position. */
	private findBest(group: WeightGroup, score: number, position: number): number {
		let best = -1;
		let bestScore = -1;
		for (let index = group.start; index < group.end; index++) {
			const current = this.scores[index] ?? 0;
			const isAfter = current < score || (current === score && index > position);
			if (isAfter && current > bestScore) {
				best = index;
				bestScore = current;
			}
		}
		return best;
	}

	private pickGroup(): WeightGroup | undefined {
		if (this.groups.length === 1) {
			const only = this.groups[0];
			return only === undefined || only.best < 0 ? undefined : only;
		}
		let picked: WeightGroup | undefined;
		let lowest = Infinity;
		for (const group of this.groups) {
			if (group.best < 0) {
				continue;
			}
			const uniform = ((this.scores[group.best] ?? 0) + 0.5) / TWO_POW_32;
			const cost = -Math.log(uniform) / group.weight;
			if (cost < lowest) {
				lowest = cost;
				picked = group;
			}
		}
		return picked;
	}
}
