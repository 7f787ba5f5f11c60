/** Limits the fleet's loads from the weight store with a budget that is stored in the key-value service. */
import type { KeyValueStore, WeightLoadBudget, WeightLoadLimit } from '@papayawell/core';
import { takeWeightLoad } from '@papayawell/core';
import { z } from 'zod';

const CALL_TIMEOUT_MS = 2000;

const budgetSchema = z.object({ available: z.number(), updatedAtMs: z.number() });

export class WeightLoadLimiter {
	private readonly key: string;
	/** Time until which the budget is known to be exhausted, in ms of the monotonic clock. */
	private exhaustedUntilMs = 0;

	/** `prefix`: common prefix of all keys of the fleet. */
	constructor(
		private readonly store: KeyValueStore,
		prefix: string,
		private readonly limit: WeightLoadLimit,
	) {
		this.key = `${prefix}/weight-loads`;
	}

	/** Acquires one load; false if the budget is exhausted, the write conflicted or the service did not respond. */
	public async tryAcquire(): Promise<boolean> {
		if (performance.now() < this.exhaustedUntilMs) {
			return false;
		}
		const entry = await this.store.read(this.key, { timeoutMs: CALL_TIMEOUT_MS });
		if (entry.err) {
			return false;
		}
		const budget = takeWeightLoad(decodeBudget(entry.val?.value), Date.now(), this.limit);
		if (budget === undefined) {
			this.exhaustedUntilMs = performance.now() + this.limit.intervalMs / 2;
			return false;
		}
		const revision = entry.val?.revision ?? 0;
		const swapped = await this.store.swap(this.key, revision, JSON.stringify(budget), {
			timeoutMs: CALL_TIMEOUT_MS,
		});
		return swapped.ok && swapped.val.kind === 'swapped';
	}
}

function decodeBudget(value: string | undefined): WeightLoadBudget | undefined {
	if (value === undefined) {
		return undefined;
	}
	const budget = budgetSchema.safeParse(JSON.parse(value));
	return budget.success ? budget.data : undefined;
}
