/** The retry budgets of this instance, one per service. */
import type { RetryBudgetSettings, RetryBudgetUse } from './retryBudget.js';
import { RetryBudget } from './retryBudget.js';

export class RetryBudgets {
	private readonly budgets = new Map<string, RetryBudget>();

	constructor(private readonly settings: RetryBudgetSettings) {}

	/** Records the first send of a request. */
	public recordRequest(service: string, nowMs: number): void {
		this.getBudget(service).recordRequest(nowMs);
	}

	/**
	 * Acquires one retry; returns false if the budget is exhausted.
	 * @param instances number of instances that share the budget
	 */
	public tryAcquire(service: string, nowMs: number, instances: number): boolean {
		return this.getBudget(service).tryAcquire(nowMs, this.settings.slack / instances);
	}

	public describeUse(service: string, nowMs: number): RetryBudgetUse {
		return this.getBudget(service).describeUse(nowMs);
	}

	private getBudget(service: string): RetryBudget {
		let budget = this.budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(this.settings);
			this.budgets.set(service, budget);
		}
		return budget;
	}
}
