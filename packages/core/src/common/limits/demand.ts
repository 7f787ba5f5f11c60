/** Demand of one router for a capacity that the fleet shares, and the part of the capacity that it gives. */

/** Share of the capacity that is divided evenly, so that a router whose demand has just begun has a part too. */
const EVENLY_SPLIT_SHARE = 0.1;
/** Time constant of the exponentially weighted demand, in ms. */
const DEMAND_TIME_CONSTANT_MS = 2_000;

/** Exponentially weighted rate, in units per second. */
export class DemandRate {
	private rate = 0;

	constructor(private atMs: number) {}

	public note(amount: number, nowMs: number): void {
		this.decay(nowMs);
		this.rate += (amount * 1_000) / DEMAND_TIME_CONSTANT_MS;
	}

	public read(nowMs: number): number {
		this.decay(nowMs);
		return this.rate;
	}

	private decay(nowMs: number): void {
		const elapsedMs = Math.max(0, nowMs - this.atMs);
		this.atMs = Math.max(nowMs, this.atMs);
		this.rate *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
	}
}

/** Returns the part of a shared capacity, in (0, 1], that the demand of one of `count` routers gives it. */
export function computeDemandShare(ownDemand: number, otherDemand: number, count: number): number {
	const totalDemand = ownDemand + otherDemand;
	const proportion = totalDemand === 0 ? 1 / count : ownDemand / totalDemand;
	return (1 - EVENLY_SPLIT_SHARE) * proportion + EVENLY_SPLIT_SHARE / count;
}
