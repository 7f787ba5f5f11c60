/** Shares out memory of one use, such as answers that callers have not taken, among customers. */

/** Part of a customer's share that stays free for customers that hold nothing yet. */
const FREE_SHARES = 0.5;

interface CustomerUse {
	bytes: number;
	/** Requests that hold some of these bytes. */
	requests: number;
}

export class CustomerShares {
	/** Customers that hold something; those of public routes count as one. */
	private readonly customers = new Map<string, CustomerUse>();
	private totalBytes = 0;

	constructor(public readonly limitBytes: number) {}

	public get heldBytes(): number {
		return this.totalBytes;
	}

	public get freeBytes(): number {
		return Math.max(0, this.limitBytes - this.totalBytes);
	}

	/** Records that a request of the customer holds other bytes than before. */
	public update(customer: string, earlierBytes: number, bytes: number): void {
		const use = this.customers.get(customer) ?? { bytes: 0, requests: 0 };
		use.bytes += bytes - earlierBytes;
		use.requests += Number(bytes > 0) - Number(earlierBytes > 0);
		this.totalBytes += bytes - earlierBytes;
		if (use.requests > 0) {
			this.customers.set(customer, use);
		} else {
			this.customers.delete(customer);
		}
	}

	public countRequests(customer: string): number {
		return this.customers.get(customer)?.requests ?? 0;
	}

	/** Whether the customer holds more than its share, and a request that holds so many bytes more than the mean of it. */
	public isAboveShare(customer: string, requestBytes: number): boolean {
		return this.isAboveShareWith(customer, requestBytes, requestBytes);
	}

	/** Whether that would be so if a request of the customer held other bytes than now. */
	public isAboveShareWith(customer: string, nowBytes: number, thenBytes: number): boolean {
		const use = this.customers.get(customer);
		if (use === undefined) {
			return false;
		}
		const shareBytes = this.limitBytes / (this.customers.size + FREE_SHARES);
		const requests = use.requests + Number(nowBytes === 0);
		return use.bytes + thenBytes - nowBytes > shareBytes && thenBytes > shareBytes / requests;
	}
}
