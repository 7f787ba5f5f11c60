/** A value that readers see with a delay. */

interface Sample<T> {
	readonly atMs: number;
	readonly value: T;
}

export class LaggedValue<T> {
	private samples: Sample<T>[];

	constructor(
		initial: T,
		private lagMs: number,
	) {
		this.samples = [{ atMs: Number.NEGATIVE_INFINITY, value: initial }];
	}

	public setLag(lagMs: number): void {
		this.lagMs = lagMs;
	}

	public set(value: T, nowMs: number): void {
		this.prune(nowMs);
		this.samples.push({ atMs: nowMs, value });
	}

	/** Returns the value that was current at `nowMs - lagMs`. */
	public read(nowMs: number): T {
		this.prune(nowMs);
		return this.getOldest().value;
	}

	private prune(nowMs: number): void {
		const horizonMs = nowMs - this.lagMs;
		let firstKept = 0;
		for (let index = 1; index < this.samples.length; index += 1) {
			const sample = this.samples[index];
			if (sample === undefined || sample.atMs > horizonMs) {
				break;
			}
			firstKept = index;
		}
		if (firstKept > 0) {
			this.samples = this.samples.slice(firstKept);
		}
	}

	private getOldest(): Sample<T> {
		const [sample] = this.samples;
		if (sample === undefined) {
			throw new Error('LaggedValue has no sample');
		}
		return sample;
	}
}
