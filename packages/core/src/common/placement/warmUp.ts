/** Warm-up of a joining target: its share of the ranking grows in steps, so cold prefixes arrive gradually. */

/** Number of weight steps; each step changes the ranking on all routers. */
const WARM_UP_STEPS = 8;

/**
 * Returns the weight of a target that joined `ageMs` ago, from `1 / 8` to 1 in equal steps.
 * @param warmUpMs time until the full weight is reached
 */
export function computeWarmUpWeight(ageMs: number, warmUpMs: number): number {
	if (warmUpMs <= 0 || ageMs >= warmUpMs) {
		return 1;
	}
	const step = Math.floor((Math.max(0, ageMs) / warmUpMs) * WARM_UP_STEPS);
	return Math.min(1, (step + 1) / WARM_UP_STEPS);
}
