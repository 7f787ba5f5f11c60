/** Token bucket for the fleet's loads from the weight store, stored as one small value. */

export interface WeightLoadLimit {
	/** Loads that may start at once after an idle period. */
	readonly burst: number;
	/** Interval at which one load is added to the budget, in ms. */
	readonly intervalMs: number;
}

export const DEFAULT_WEIGHT_LOAD_LIMIT: WeightLoadLimit = { burst: 4, intervalMs: 5000 };

export interface WeightLoadBudget {
	readonly available: number;
	/** Time of the last refill, epoch ms. */
	readonly updatedAtMs: number;
}

/** Takes one load from the budget; returns the remaining budget, or undefined if it is exhausted. */
export function takeWeightLoad(
	budget: WeightLoadBudget | undefined,
	nowMs: number,
	limit: WeightLoadLimit,
): WeightLoadBudget | undefined {
	const refilled = refillBudget(budget, nowMs, limit);
	return refilled.available < 1 ? undefined : { ...refilled, available: refilled.available - 1 };
}

/** Adds the loads for the elapsed time; a clock that is behind that of the last writer adds none. */
function refillBudget(
	budget: WeightLoadBudget | undefined,
	nowMs: number,
	limit: WeightLoadLimit,
): WeightLoadBudget {
	if (budget === undefined) {
		return { available: limit.burst, updatedAtMs: nowMs };
	}
	const elapsedMs = Math.max(0, nowMs - budget.updatedAtMs);
	const available = Math.min(limit.burst, budget.available + elapsedMs / limit.intervalMs);
	return { available, updatedAtMs: Math.max(nowMs, budget.updatedAtMs) };
}
