/** Composition of a fleet of the harness. */

export interface PoolPlan {
	readonly pool: string;
	readonly kind: 'engine' | 'application';
	readonly instances: number;
	/** Requests that one instance works on at once. */
	readonly capacity: number;
	/** Size of an engine's prefix cache in tokens. */
	readonly cacheTokens?: number;
}

export interface FleetPlan {
	readonly region: string;
	/** Zones, over which the instances of each kind are spread in turn. */
	readonly zones: readonly string[];
	readonly routers: number;
	readonly pools: readonly PoolPlan[];
	/** Text of the rules file that is applied once the routers run. */
	readonly rules: string;
	/** Times of the routers' settings, in ms. */
	readonly entriesTtlMs: number;
	readonly drainLimitMs: number;
	readonly deadlineMs: number;
	readonly quarantineMs: number;
	readonly instanceListPollMs: number;
	/** Lag of the instance list, in ms. */
	readonly listLagMs: number;
	/** Time of one step of an engine with one sequence, in ms. */
	readonly tokenMs: number;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}

/** A small fleet with short times. */
export const SMALL_FLEET: FleetPlan = {
	region: 'northeast',
	zones: ['a', 'b', 'c'],
	routers: 4,
	pools: [
		{ pool: 'drafting', kind: 'engine', instances: 3, capacity: 16 },
		{ pool: 'booking', kind: 'application', instances: 2, capacity: 64 },
	],
	rules: '',
	entriesTtlMs: 1_000,
	drainLimitMs: 10_000,
	deadlineMs: 15_000,
	quarantineMs: 60_000,
	instanceListPollMs: 300,
	listLagMs: 0,
	tokenMs: 4,
	logLevel: 'info',
};
