/** Random choices from a seeded generator, reproducible for a given seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class RandomChoice {
	private readonly generator: RandomGenerator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Picks an integer from 0 to `bound`, exclusive. */
	public pickInt(bound: number): number {
		return uniformInt(this.generator, 0, Math.max(0, bound - 1));
	}

	/** Picks one item; undefined if there are none. */
	public pickOne<T>(items: readonly T[]): T | undefined {
		return items[this.pickInt(items.length)];
	}

	/** Picks up to `count` distinct items. */
	public pickSome<T>(items: readonly T[], count: number): readonly T[] {
		const rest = [...items];
		const picked: T[] = [];
		while (picked.length < count && rest.length > 0) {
			picked.push(...rest.splice(this.pickInt(rest.length), 1));
		}
		return picked;
	}
}
