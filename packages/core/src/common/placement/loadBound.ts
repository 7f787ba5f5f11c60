/**
 * The load bound, counted in whole requests: an engine carries at most `ceil(factor * fair share)`. With a
 * factor above 1 the bounds of a pool add up to more than its load, so some engine always has room.
 */

/**
 * Requests that an engine may always carry. In a nearly idle pool one request is a multiple of the mean, so a
 * lower bound would move a returning chat away from its cached prefix without improving the balance.
 */
const MIN_BOUND_REQUESTS = 2;

/** Keeps floating-point rounding errors in the product from raising `ceil` by one. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Returns the most requests that an engine may carry.
 * @param total requests in the pool, including the one to be placed
 * @param share the engine's share of the pool's capacity, in (0, 1]
 */
export function computeLoadBound(factor: number, total: number, share: number): number {
	return Math.max(MIN_BOUND_REQUESTS, Math.ceil(factor * total * share - ROUNDING_TOLERANCE));
}

/** Returns the admission factor: 1 plus `admissionShare` of the slack that `loadBound` leaves above it. */
export function computeAdmissionFactor(loadBound: number, admissionShare: number): number {
	return 1 + (loadBound - 1) * admissionShare;
}

/**
 * Whether the slack above the mean holds at least one whole request. Below that, a single request moves an
 * engine past the multiple, and only the bound in whole requests can be guaranteed.
 */
export function isBoundMeaningful(factor: number, mean: number): boolean {
	return (factor - 1) * mean >= 1;
}
