/**
 * Measures fairness while requests have to queue: what each customer was served, relative to its max-min fair
 * share.
 */

/** Requests of one customer in the current interval. */
interface Demand {
	requested: number;
	served: number;
}

export class FairnessSampler {
	private readonly intervalIndices: number[] = [];
	private demands = new Map<string, Demand>();
	private isSaturated = false;

	public noteRequest(customer: string): void {
		this.getDemand(customer).requested += 1;
	}

	public noteServed(customer: string): void {
		this.getDemand(customer).served += 1;
	}

	/** Records that a request was queued, which marks the current interval as saturated. */
	public noteQueued(): void {
		this.isSaturated = true;
	}

	/** Ends an interval. Requests that were not served count as demand of the next one. */
	public closeInterval(): void {
		if (this.isSaturated) {
			this.intervalIndices.push(computeJain([...this.demands.values()]));
		}
		this.isSaturated = false;
		const carried = [...this.demands].map(([customer, { requested, served }]): [string, Demand] => [
			customer,
			{ requested: Math.max(0, requested - served), served: 0 },
		]);
		this.demands = new Map(carried.filter(([, { requested }]) => requested > 0));
	}

	/** Returns the number of intervals in which a request was queued. */
	public countSaturatedIntervals(): number {
		return this.intervalIndices.length;
	}

	/** Returns the mean Jain index of the saturated intervals, or 1 if there were none. */
	public computeMeanIndex(): number {
		return this.intervalIndices.length === 0
			? 1
			: this.intervalIndices.reduce((sum, index) => sum + index, 0) / this.intervalIndices.length;
	}

	private getDemand(customer: string): Demand {
		let demand = this.demands.get(customer);
		if (demand === undefined) {
			demand = { requested: 0, served: 0 };
			this.demands.set(customer, demand);
		}
		return demand;
	}
}

/** Computes the Jain index of served requests relative to the fair share, over the customers with demand. */
function computeJain(demands: readonly Demand[]): number {
	const active = demands.filter(({ requested }) => requested > 0);
	const served = active.reduce((sum, demand) => sum + demand.served, 0);
	const fairShare = computeFairShare(
		active.map(({ requested }) => requested),
		served,
	);
	const ratios = active.map((demand) => demand.served / Math.max(1, Math.min(demand.requested, fairShare)));
	const sum = ratios.reduce((total, ratio) => total + ratio, 0);
	const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
	return squares === 0 ? 1 : (sum * sum) / (ratios.length * squares);
}

/** Computes the max-min fair share: the limit at which `min(requested, limit)` adds up to `served`. */
function computeFairShare(requested: readonly number[], served: number): number {
	const sorted = [...requested].sort((a, b) => a - b);
	let remaining = served;
	for (const [index, requestedAmount] of sorted.entries()) {
		const equalShare = remaining / (sorted.length - index);
		if (requestedAmount >= equalShare) {
			return equalShare;
		}
		remaining -= requestedAmount;
	}
	return Infinity;
}
