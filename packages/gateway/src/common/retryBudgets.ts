/** The retry budgets of this instance, one per service. */
import type { InstanceRoster } from './instanceRoster.js';
import type { RetryBudgetSettings, RetryBudgetUse } from './retryBudget.js';
import { RetryBudget } from './retryBudget.js';

/** What an instance may use of the budget of a service, and what it has used. */
export interface RetryBudgetState extends RetryBudgetUse {
	/** Part of the slack that this instance may use. */
	readonly slack: number;
	readonly instances: number;
}

export class RetryBudgets {
	private readonly budgets = new Map<string, RetryBudget>();

	/** @param roster the instances among which the slack is divided */
	constructor(
		private readonly settings: RetryBudgetSettings,
		private readonly roster: Pick<InstanceRoster, 'computeShare' | 'instances'>,
	) {}

	/** Records the first send of a request. */
	public recordRequest(service: string, nowMs: number): void {
		this.getBudget(service).recordRequest(nowMs);
	}

	/** Acquires one retry; returns false if the budget is exhausted. */
	public tryAcquire(service: string, nowMs: number): boolean {
		return this.getBudget(service).tryAcquire(nowMs, this.computeSlack(nowMs));
	}

	/** Called when the clock has stood still. */
	public forgetRequests(): void {
		for (const budget of this.budgets.values()) {
			budget.forgetRequests();
		}
	}

	public describe(service: string, nowMs: number): RetryBudgetState {
		return {
			...this.getBudget(service).describeUse(nowMs),
			slack: this.computeSlack(nowMs),
			instances: this.roster.instances,
		};
	}

	private computeSlack(nowMs: number): number {
		return this.roster.computeShare(this.settings.slack, nowMs);
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
