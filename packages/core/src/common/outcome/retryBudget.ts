/**
 * Limits retries to a share of the requests, with one token bucket for the node and one for each customer.
 */

export interface RetryBudgetSettings {
	/** Tokens added by each request; 0.1 allows one retry for ten requests. */
	readonly retryShare: number;
	/** Capacity of the node's bucket, in retries. */
	readonly nodeBurst: number;
	/** Capacity of each customer's bucket, in retries. */
	readonly customerBurst: number;
}

/** Maximum number of customer buckets; the least recently used is evicted first. */
const MAX_CUSTOMERS = 10_000;

export class RetryBudget {
	private nodeTokens: number;
	private readonly customerTokens = new Map<string, number>();

	constructor(private readonly settings: RetryBudgetSettings) {
		this.nodeTokens = settings.nodeBurst;
	}

	/** Adds the share of a retry that one request earns. */
	public noteRequest(customer: string): void {
		const { retryShare, nodeBurst, customerBurst } = this.settings;
		this.nodeTokens = Math.min(nodeBurst, this.nodeTokens + retryShare);
		this.setCustomer(customer, Math.min(customerBurst, this.getCustomer(customer) + retryShare));
	}

	/** Takes one retry from both buckets; returns false if either holds less than one. */
	public take(customer: string): boolean {
		const tokens = this.getCustomer(customer);
		if (this.nodeTokens < 1 || tokens < 1) {
			return false;
		}
		this.nodeTokens -= 1;
		this.setCustomer(customer, tokens - 1);
		return true;
	}

	private getCustomer(customer: string): number {
		return this.customerTokens.get(customer) ?? this.settings.customerBurst;
	}

	private setCustomer(customer: string, tokens: number): void {
		this.customerTokens.delete(customer);
		this.customerTokens.set(customer, tokens);
		const [oldest] = this.customerTokens.keys();
		if (this.customerTokens.size > MAX_CUSTOMERS && oldest !== undefined) {
			this.customerTokens.delete(oldest);
		}
	}
}
