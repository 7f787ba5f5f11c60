/**
 * Samples the actual load of the targets of each pool: its skew, and the time during which it exceeds the
 * bound.
 */
import { computeLoadBound, isBoundMeaningful } from '@papayawell/core';
import type { TargetModel } from '../model/targetModel.js';

/** Bin width of the histogram of load as a multiple of the mean. */
const BIN_WIDTH = 0.005;
const BIN_COUNT = 4_000;

export class LoadSampler {
	public skewMax = 0;
	public overBoundMs = 0;
	public overBoundSmallMeanMs = 0;
	public meaningfulMs = 0;
	public overBoundRequests = 0;
	private readonly bins = new Uint32Array(BIN_COUNT);
	private sampleCount = 0;

	constructor(
		private readonly bound: number,
		private readonly intervalMs: number,
	) {}

	/** Adds a sample of the load of a pool's live targets. */
	public addSample(targets: readonly TargetModel[]): void {
		let total = 0;
		let capacity = 0;
		for (const target of targets) {
			total += target.load;
			capacity += target.info.capacity;
		}
		if (total === 0) {
			return;
		}
		const isMeaningful = isBoundMeaningful(this.bound, total / targets.length);
		this.meaningfulMs += isMeaningful ? this.intervalMs : 0;
		let excess = 0;
		for (const target of targets) {
			const share = target.info.capacity / capacity;
			excess = Math.max(excess, target.load - computeLoadBound(this.bound, total, share));
			if (isMeaningful) {
				this.addSkew(target.load / (total * share));
			}
		}
		this.noteExcess(excess, isMeaningful);
	}

	/** Returns the 99th percentile of load as a multiple of the mean. */
	public readSkewP99(): number {
		let remaining = this.sampleCount * 0.01;
		for (let bin = BIN_COUNT - 1; bin >= 0; bin--) {
			remaining -= this.bins[bin] ?? 0;
			if (remaining < 0) {
				return bin * BIN_WIDTH;
			}
		}
		return 0;
	}

	private addSkew(skew: number): void {
		this.skewMax = Math.max(this.skewMax, skew);
		const bin = Math.min(BIN_COUNT - 1, Math.floor(skew / BIN_WIDTH));
		this.bins[bin] = (this.bins[bin] ?? 0) + 1;
		this.sampleCount += 1;
	}

	private noteExcess(excess: number, isMeaningful: boolean): void {
		if (excess <= 0) {
			return;
		}
		if (!isMeaningful) {
			this.overBoundSmallMeanMs += this.intervalMs;
			return;
		}
		this.overBoundMs += this.intervalMs;
		this.overBoundRequests = Math.max(this.overBoundRequests, excess);
	}
}
