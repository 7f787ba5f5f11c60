/** Placement policies and their parameters. */
import type { PlacementPolicyKind } from '../settings/routerSettings.js';

/** Parameters of every policy with a load bound. */
export interface BoundParameters {
	/**
	 * Share of the slack above the mean that admission uses: with the load bound `c`, requests are admitted up
	 * to `1 + (c - 1) * admissionShare` times the mean. The rest covers a mean that falls after admission.
	 */
	readonly admissionShare: number;
	/** Like `admissionShare`, for a stale report or an unreachable owner. */
	readonly degradedAdmissionShare: number;
	/** Minimum age from which a report is stale, in ms; `staleAfterIntervals` may give a higher one. */
	readonly staleAfterMs: number;
	/** Age from which a report is stale, as a multiple of the smoothed interval between reports. */
	readonly staleAfterIntervals: number;
}

/** Parameters of the policies that query the owner of an engine. */
export interface ReservationParameters extends BoundParameters {
	/** Back-off after a denial before the owner is queried again for the same engine, in ms. */
	readonly denialBackoffMs: number;
	/** Back-off before an owner that did not respond or rejected ownership is queried again, in ms. */
	readonly unreachableOwnerBackoffMs: number;
	/** Maximum number of owner queries for one request. */
	readonly maxOwnerQueries: number;
	/** Headroom below the bound, in standard deviations, above which the owner is not queried. */
	readonly headroomSigmas: number;
	/** Headroom, in standard deviations, below which only a share of the keys is admitted without a query. */
	readonly thinningSigmas: number;
	/** Time that one batch of reservations should last at the current request rate, in ms. */
	readonly batchDurationMs: number;
	/** Maximum number of reservations in one batch. */
	readonly maxBatchSize: number;
}

export type PlacementPolicy =
	/** Always the first choice of the ranking, regardless of load. */
	| { readonly kind: 'hash' }
	/** Checks the bound against the last report and this router's own requests since. */
	| ({ readonly kind: 'report' } & BoundParameters)
	/** Checks the bound against this router's own in-flight requests only. */
	| ({ readonly kind: 'local' } & BoundParameters)
	/** Reserves every request at the owner of the engine. */
	| ({ readonly kind: 'owner' } & ReservationParameters)
	/**
	 * Sends directly while the report leaves enough headroom, else reserves while the router's query limit
	 * allows it, else admits a share of the chats that decreases with the headroom.
	 */
	| ({ readonly kind: 'adaptive' } & ReservationParameters);

const DEFAULT_BOUND_PARAMETERS: BoundParameters = {
	admissionShare: 0.8,
	degradedAdmissionShare: 0.5,
	staleAfterMs: 5_000,
	staleAfterIntervals: 5,
};

const DEFAULT_RESERVATION_PARAMETERS: ReservationParameters = {
	...DEFAULT_BOUND_PARAMETERS,
	denialBackoffMs: 250,
	unreachableOwnerBackoffMs: 2_000,
	maxOwnerQueries: 3,
	headroomSigmas: 3,
	thinningSigmas: 0.5,
	batchDurationMs: 100,
	maxBatchSize: 4,
};

/** Returns the policy of this kind with its default parameters. */
export function createPolicy(kind: PlacementPolicyKind): PlacementPolicy {
	switch (kind) {
		case 'hash':
			return { kind };
		case 'report':
		case 'local':
			return { kind, ...DEFAULT_BOUND_PARAMETERS };
		case 'owner':
			return { kind, ...DEFAULT_RESERVATION_PARAMETERS };
		case 'adaptive':
			return { kind, ...DEFAULT_RESERVATION_PARAMETERS };
	}
}
