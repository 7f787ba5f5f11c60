/** Seeded random number generator for generated traces and replays. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** The first draws of adjacent seeds are correlated, so this many are discarded. */
const DISCARDED_DRAWS = 32;

export class Random {
	private readonly generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
		for (let skipped = 0; skipped < DISCARDED_DRAWS; skipped++) {
			uniformFloat64(this.generator);
		}
	}

	/** Returns a uniformly distributed number in [0, 1). */
	public nextUnit(): number {
		return uniformFloat64(this.generator);
	}

	/** Returns a uniformly distributed integer from `min` to `max`, both inclusive. */
	public nextInt(min: number, max: number): number {
		return uniformInt(this.generator, min, max);
	}

	/** Returns an exponentially distributed number. */
	public nextExponential(mean: number): number {
		return -Math.log(1 - this.nextUnit()) * mean;
	}

	/** Returns a log-normally distributed number with the given median. */
	public nextLogNormal(median: number, sigma: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.nextUnit()));
		return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.nextUnit()));
	}
}

/** Samples indices in proportion to their weights, by binary search in the cumulative weights. */
export class WeightedSampler {
	private readonly cumulative: number[] = [];
	private readonly total: number;

	constructor(weights: readonly number[]) {
		let sum = 0;
		for (const weight of weights) {
			sum += weight;
			this.cumulative.push(sum);
		}
		this.total = sum;
	}

	public nextIndex(random: Random): number {
		const wanted = random.nextUnit() * this.total;
		let low = 0;
		let high = this.cumulative.length - 1;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((this.cumulative[middle] ?? 0) > wanted) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}
		return low;
	}
}
