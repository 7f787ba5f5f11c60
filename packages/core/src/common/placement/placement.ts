/** Inputs and decisions of placement, shared by the router and the replay. */

/** The properties of a target that placement uses. */
export interface PlacementTarget {
	readonly instance: string;
	readonly zone: string;
	/** Requests that the target processes concurrently. */
	readonly capacity: number;
	/** Share of its full weight in the ranking, from 0 to 1; grows while a joining target warms up. */
	readonly weight: number;
	/** False for a target that is leaving or suspect: it receives no new requests. */
	readonly acceptsNew: boolean;
}

export interface PlacementRequest {
	/** Affinity key, or undefined if every target serves the request equally well. */
	readonly key: string | undefined;
	/** Load bound of a target, as a multiple of the pool's mean load. */
	readonly loadBound: number;
	/** Targets that must not run this request. */
	readonly excluded: ReadonlySet<string>;
	/** Share of each target's capacity that this request may fill, in (0, 1]; 1 if absent. */
	readonly capacityShare?: number;
	/** Number of owner queries made for this request so far; 0 if absent. */
	readonly ownerQueries?: number;
}

export interface SendDecision {
	readonly kind: 'send';
	readonly instance: string;
	/** Position in the ranking of the candidates; 0 for the first choice. */
	readonly rank: number;
}

/** Request `count` reservations on `instance` from `owner`, then call `resolveReservation`. */
export interface ReserveDecision {
	readonly kind: 'reserve';
	readonly instance: string;
	readonly owner: string;
	readonly count: number;
}

export type PlacementDecision =
	| SendDecision
	| ReserveDecision
	/** Every target is at its capacity. */
	| { readonly kind: 'full' }
	/** No target accepts new requests. */
	| { readonly kind: 'noTarget' };

/** Result of a reservation request to the owner. */
export type ReservationResult =
	| { readonly kind: 'granted'; readonly count: number; readonly expiresInMs: number }
	| { readonly kind: 'denied' }
	/** The queried router does not own the engine, or does not know its load yet. */
	| { readonly kind: 'notOwner' }
	/** No response before the time-out. */
	| { readonly kind: 'unreachable' };

/** Load of one engine, from its owner's poll or from gossip. */
export interface LoadReport {
	readonly instance: string;
	/** Running and waiting requests, including those of the older system. */
	readonly requests: number;
	/** Time of the report, epoch ms; a report with a higher one supersedes the others. */
	readonly versionMs: number;
}

/** Whether a report is valid: a finite time and a finite, non-negative count. */
export function isPlausibleReport(report: LoadReport): boolean {
	return Number.isFinite(report.requests) && report.requests >= 0 && Number.isFinite(report.versionMs);
}

/** A delayed and possibly incomplete hint about the contents of an engine's prefix cache. */
export interface CacheEvent {
	readonly kind: 'stored' | 'evicted';
	readonly instance: string;
	/** Affinity key whose prefix was stored or evicted. */
	readonly key: string;
}
