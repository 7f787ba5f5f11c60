/**
 * Sparse overlay of streams between routers. Members are ordered on several rings, each by a different hash,
 * and every member keeps streams to its two neighbours on each ring. Routers with the same view compute the
 * same overlay, and a member that joins or leaves changes two streams on each ring.
 */
import { hashTextTo32 } from '@papayawell/core';

/** Number of rings. Three rings give up to six neighbours: a connected graph of low diameter. */
export const RING_COUNT = 3;

interface RingPosition {
	readonly instance: string;
	/** Distance from self along the ring, in units of the hash. */
	readonly distance: number;
}

const RING_CIRCUMFERENCE = 2 ** 32;

/** Computes the neighbours of one router. Caches the hashes of the instances of the last call. */
export class Overlay {
	private hashes = new Map<string, readonly number[]>();
	private readonly ownHashes: readonly number[];

	constructor(private readonly self: string) {
		this.ownHashes = hashInstance(self);
	}

	/**
	 * Returns the instances to which this router keeps streams, sorted by name; `others`: all other instances.
	 */
	public chooseNeighbours(others: readonly string[]): readonly string[] {
		if (others.length <= 2 * RING_COUNT) {
			return [...others].sort();
		}
		this.updateHashes(others);
		const chosen = new Set<string>();
		for (let ring = 0; ring < RING_COUNT; ring++) {
			for (const neighbour of this.findRingNeighbours(others, ring)) {
				chosen.add(neighbour);
			}
		}
		return [...chosen].sort();
	}

	private updateHashes(others: readonly string[]): void {
		const hashes = new Map<string, readonly number[]>();
		for (const instance of others) {
			hashes.set(instance, this.hashes.get(instance) ?? hashInstance(instance));
		}
		this.hashes = hashes;
	}

	/** Returns the successor and the predecessor of self on the ring. */
	private findRingNeighbours(others: readonly string[], ring: number): readonly string[] {
		let next: RingPosition | undefined;
		let previous: RingPosition | undefined;
		for (const instance of others) {
			const position = { instance, distance: this.measureDistance(instance, ring) };
			if (next === undefined || comparePositions(position, next) < 0) {
				next = position;
			}
			if (previous === undefined || comparePositions(position, previous) > 0) {
				previous = position;
			}
		}
		return [next, previous].flatMap((position) => (position === undefined ? [] : [position.instance]));
	}

	private measureDistance(instance: string, ring: number): number {
		const hash = this.hashes.get(instance)?.[ring] ?? 0;
		const own = this.ownHashes[ring] ?? 0;
		const distance = (hash - own + RING_CIRCUMFERENCE) % RING_CIRCUMFERENCE;
		return distance === 0 && instance < this.self ? RING_CIRCUMFERENCE : distance;
	}
}

function comparePositions(a: RingPosition, b: RingPosition): number {
	return a.distance - b.distance || (a.instance < b.instance ? -1 : 1);
}

function hashInstance(instance: string): readonly number[] {
	return Array.from({ length: RING_COUNT }, (_, ring) => hashTextTo32(instance, ring));
}
