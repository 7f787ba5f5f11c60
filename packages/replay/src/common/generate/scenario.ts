/** Scenarios: descriptions of a fleet, its traffic and its faults, from which traces are generated. */

/** Traffic of one kind from all customers to one pool. */
export interface Workload {
	readonly pool: string;
	readonly requestClass: string;
	/** Arrival rate of all customers together, without surges. */
	readonly requestsPerSecond: number;
	readonly shape: GenerationShape | CallShape;
}

/** Multi-turn chats, whose prompts grow with each turn. */
export interface GenerationShape {
	readonly kind: 'generation';
	/** Number of chats of all customers together. */
	readonly chats: number;
	/** Median prompt length of the first turn. */
	readonly promptTokens: number;
	/** Median response length. */
	readonly outputTokens: number;
}

/** Independent calls to an application. */
export interface CallShape {
	readonly kind: 'call';
	/** Median processing time. */
	readonly serviceMs: number;
	/** Share of the calls with at-most-once semantics, which carry an idempotency key. */
	readonly atMostOnceShare: number;
}

export interface PoolShape {
	readonly pool: string;
	readonly kind: 'engine' | 'application';
	readonly instances: number;
	readonly capacity: number;
	readonly cacheTokens?: number;
}

/** A temporary change of one customer's arrival rate. */
export interface Surge {
	/** Index of the customer; customer 0 is the largest. */
	readonly customer: number;
	/** Multiple of the customer's usual arrival rate. */
	readonly factor: number;
	readonly startMs: number;
	readonly endMs: number;
}

/** A scheduled event of one target, or of all targets of a pool in a zone. */
export interface TargetIncident {
	readonly atMs: number;
	readonly pool: string;
	/** The affected instance by its zero-based index, or the zone whose instances are all affected. */
	readonly selector: { readonly instance: number } | { readonly zone: string };
	readonly event: 'join' | 'leaving' | 'leave' | 'crash' | 'recover';
}

/** Number of requests that the older system runs on one engine from a time on. */
export interface ExternalLoad {
	readonly atMs: number;
	readonly pool: string;
	readonly instance: number;
	readonly requests: number;
}

export interface RouterIncident {
	readonly atMs: number;
	/** Number of the router, from 1. */
	readonly router: number;
	readonly event: 'crash' | 'drain' | 'start' | 'pause';
	readonly durationMs?: number;
}

export interface Scenario {
	readonly durationMs: number;
	readonly customers: number;
	/**
	 * Exponent of the Zipf distribution of traffic over customers: customer `i` has weight `1 / (i + 1) **
	 * customerSkew`.
	 */
	readonly customerSkew: number;
	readonly zones: readonly string[];
	readonly pools: readonly PoolShape[];
	readonly workloads: readonly Workload[];
	readonly surges: readonly Surge[];
	readonly targetIncidents: readonly TargetIncident[];
	readonly routerIncidents: readonly RouterIncident[];
	readonly externalLoads: readonly ExternalLoad[];
}
