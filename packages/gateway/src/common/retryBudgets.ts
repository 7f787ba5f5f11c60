/** The retry budgets of this instance, one per service. */
import type { EventLog } from './eventLog.js';
import type { InstanceRoster } from './instanceRoster.js';
import type { RetryBudgetSettings } from './retryBudget.js';
import { RetryBudget } from './retryBudget.js';

/** Minimum time between two log lines of the exhausted budget of a service. */
const LOG_INTERVAL_MS = 1000;

export class RetryBudgets {
	private readonly budgets = new Map<string, RetryBudget>();
	/** By service, when an exhausted budget is logged again. */
	private readonly nextLogMs = new Map<string, number>();

	/** @param roster the instances among which the slack is divided */
	constructor(
		private readonly settings: RetryBudgetSettings,
		private readonly roster: Pick<InstanceRoster, 'computeShare' | 'instances'>,
		private readonly log: EventLog,
	) {}

	/** Records the first send of a request. */
	public recordRequest(service: string, nowMs: number): void {
		this.getBudget(service).recordRequest(nowMs);
	}

	/** Acquires one retry; returns false if the budget is exhausted. */
	public tryAcquire(service: string, nowMs: number): boolean {
		const budget = this.getBudget(service);
		const slack = this.roster.computeShare(this.settings.slack, nowMs);
		const isAcquired = budget.tryAcquire(nowMs, slack);
		if (!isAcquired && nowMs >= (this.nextLogMs.get(service) ?? -Infinity)) {
			this.nextLogMs.set(service, nowMs + LOG_INTERVAL_MS);
			const { retries, requests } = budget.describeUse(nowMs);
			const { instances } = this.roster;
			this.log.write('state', 'retryBudgetExhausted', { service, retries, requests, slack, instances });
		}
		return isAcquired;
	}

	/** Called when the clock has stood still. */
	public forgetRequests(): void {
		for (const budget of this.budgets.values()) {
			budget.forgetRequests();
		}
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
