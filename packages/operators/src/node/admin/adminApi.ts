/** The interface of the router to the admin server, and the documents of the admin API. */
import type { Registry } from 'prom-client';

/** Whether the router can serve callers; `missing` lists the conditions that are not met yet. */
export interface Readiness {
	readonly isReady: boolean;
	readonly missing: readonly string[];
}

/** Status of one router. */
export interface RouterStatus {
	readonly instance: string;
	/** 0: no configuration yet. */
	readonly configurationVersion: number;
	readonly isDraining: boolean;
}

/** Status of a peer, or the reason why it is unknown. */
export type PeerStatus =
	| ({ readonly kind: 'known' } & RouterStatus)
	| { readonly kind: 'unknown'; readonly instance: string; readonly reason: string };

/** Response to `GET /admin/v1/status`: the queried router and the peers in its view. */
export interface FleetStatus extends RouterStatus {
	/** Change ID of the configuration in force, or undefined if there is none. */
	readonly changeId: string | undefined;
	readonly peers: readonly PeerStatus[];
}

/** A request fingerprint that is quarantined: requests with it are refused. */
export interface QuarantineEntry {
	readonly fingerprint: string;
	readonly reason: string;
	/** Milliseconds since the epoch. */
	readonly expiresAtMs: number;
}

/** Response to `GET /admin/v1/configuration`: the version in force on this router; no peer is queried. */
export interface ConfigurationSummary {
	/** 0: no configuration yet. */
	readonly version: number;
	readonly changeId: string | undefined;
}

/** The functions of a router that the admin server exposes to operators. */
export interface AdminApi {
	readonly registry: Registry;
	readReadiness(): Readiness;
	/** Returns a dump for diagnostics; any JSON value. */
	readState(): unknown;
	readStatus(): Promise<FleetStatus>;
	readConfiguration(): ConfigurationSummary;
	/** Starts the graceful shutdown; returns immediately. */
	drain(): void;
	listQuarantine(): readonly QuarantineEntry[];
	/** Releases a fingerprint on the whole fleet; returns false if it isn't quarantined. */
	releaseQuarantine(fingerprint: string): boolean;
	/** Returns the state of the orders to engines; absent if this router issues none. */
	readOrders?(): unknown;
}
