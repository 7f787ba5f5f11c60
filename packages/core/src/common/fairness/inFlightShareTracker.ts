/**
 * Tracks which customers exceed their fair share of the requests in flight at this router, and at the others as far as
 * their use is known. These must leave
 * headroom in the capacity of each engine, so that a customer within its share is served at once.
 *
 * The share is max-min fair: it is the usage per weight to which all larger usages would have to be lowered
 * to free the headroom. A customer at or below this level is within its share.
 */

/** Default share of the capacity that customers above their fair share must leave free. */
export const DEFAULT_HEADROOM_SHARE = 0.2;
/** The fair level is recomputed once this share of the requests in flight has changed. */
const RECOMPUTE_THRESHOLD = 0.02;

interface CustomerUsage {
	/** Requests in flight at this router. */
	own: number;
	/** Requests in flight at the other routers, as last set. */
	others: number;
	weight: number;
}

export class InFlightShareTracker {
	private readonly customers = new Map<string, CustomerUsage>();
	private totalInFlight = 0;
	/** Highest usage per weight that is within the fair share. */
	private fairLevel = 0;
	/** Requests sent or finished since the fair level was computed. */
	private changesSinceLevel = Infinity;

	/**
	 * @param headroomShare share of the capacity that customers above their fair share must leave free, in
	 * [0, 1)
	 */
	constructor(private readonly headroomShare: number) {}

	public noteSent(customer: string, weight: number): void {
		let usage = this.customers.get(customer);
		if (usage === undefined) {
			usage = { own: 0, others: 0, weight };
			this.customers.set(customer, usage);
		}
		usage.own += 1;
		usage.weight = weight;
		this.totalInFlight += 1;
		this.changesSinceLevel += 1;
	}

	public noteFinished(customer: string): void {
		const usage = this.customers.get(customer);
		if (usage === undefined) {
			return;
		}
		usage.own -= 1;
		this.totalInFlight -= 1;
		this.changesSinceLevel += 1;
		if (countInFlight(usage) === 0) {
			this.customers.delete(customer);
		}
	}

	/** Returns the requests of a customer in flight at this router. */
	public countOwn(customer: string): number {
		return this.customers.get(customer)?.own ?? 0;
	}

	/** Returns the requests of a customer in flight at all routers, as far as they are known. */
	public countAll(customer: string): number {
		const usage = this.customers.get(customer);
		return usage === undefined ? 0 : countInFlight(usage);
	}

	/** Lists the customers with requests in flight at this router. */
	public listOwn(): readonly (readonly [customer: string, inFlight: number])[] {
		return [...this.customers].filter(([, { own }]) => own > 0).map(([customer, { own }]) => [customer, own]);
	}

	/** Replaces what is known of the use at the other routers. A customer that is only known there has weight 1. */
	public setOthers(inFlight: ReadonlyMap<string, number>): void {
		for (const [customer, usage] of this.customers) {
			usage.others = 0;
			if (usage.own === 0 && !inFlight.has(customer)) {
				this.customers.delete(customer);
			}
		}
		for (const [customer, others] of inFlight) {
			const usage = this.customers.get(customer) ?? { own: 0, others, weight: 1 };
			usage.others = others;
			this.customers.set(customer, usage);
		}
		this.totalInFlight = sumInFlight([...this.customers.values()]);
		this.changesSinceLevel = Infinity;
	}

	/** Returns up to which share of a target's capacity another request of the customer may be placed. */
	public computeCapacityShare(customer: string, weight: number): number {
		const usage = this.customers.get(customer);
		if (usage === undefined || this.customers.size === 1) {
			return 1;
		}
		return (countInFlight(usage) + 1) / weight <= this.readFairLevel() ? 1 : 1 - this.headroomShare;
	}

	/** Returns the requests in flight up to which a customer of weight 1 is within its share; undefined with one customer. */
	public computeShare(): number | undefined {
		return this.customers.size <= 1 ? undefined : this.readFairLevel();
	}

	private readFairLevel(): number {
		if (this.changesSinceLevel > this.totalInFlight * RECOMPUTE_THRESHOLD) {
			this.fairLevel = this.computeFairLevel();
			this.changesSinceLevel = 0;
		}
		return this.fairLevel;
	}

	/** Computes the common level to which the largest usages have to be lowered to free the headroom. */
	private computeFairLevel(): number {
		const usages = [...this.customers.values()].sort(
			(a, b) => countInFlight(b) / b.weight - countInFlight(a) / a.weight,
		);
		const headroom = this.totalInFlight * this.headroomShare;
		let inFlight = 0;
		let weight = 0;
		for (const [index, usage] of usages.entries()) {
			inFlight += countInFlight(usage);
			weight += usage.weight;
			const next = usages[index + 1];
			const nextLevel = next === undefined ? 0 : countInFlight(next) / next.weight;
			if (inFlight - nextLevel * weight >= headroom) {
				return (inFlight - headroom) / weight;
			}
		}
		return 0;
	}
}

function countInFlight({ own, others }: CustomerUsage): number {
	return own + others;
}

function sumInFlight(usages: readonly CustomerUsage[]): number {
	return usages.reduce((sum, usage) => sum + countInFlight(usage), 0);
}
