/**
 * Reservation table of a router for the engines that it owns. It decides on reservation requests from the
 * last load report, the reservations granted since and the departures expected since. The first reservation
 * of a grant is used at once and is included in the next report; the others count until they expire, so that
 * a lost release message does not occupy capacity for longer.
 */
import type { LoadReport } from './placement.js';
import { isPlausibleReport } from './placement.js';
import type { LoadConfidenceEvent, LoadConfidenceSnapshot } from './loadConfidence.js';
import { createLoadConfidence, transitionLoadConfidence } from './loadConfidence.js';

/** Headroom that a new owner keeps until it has two fresh reports, in standard deviations of the load. */
const TAKEOVER_HEADROOM_SIGMAS = 3;

/** Time within which the first reservation of a grant is used, in ms. */
const FIRST_USE_MS = 50;

/** Response to a reservation request. */
export type ReserveResponse =
	| { readonly kind: 'granted'; readonly count: number; readonly expiresInMs: number }
	| { readonly kind: 'denied' }
	| { readonly kind: 'notOwner' };

export interface EngineOwnerOptions {
	/** Returns the most requests that the engine may carry now. */
	readonly computeLimit: (instance: string) => number;
	/** This router's instance. Its own requests are counted exactly, so no grant is recorded for them. */
	readonly self?: string;
	/** Returns the load that this router itself has placed on the engine. */
	readonly readOwnLoad?: (instance: string) => OwnLoad;
	/** Time-to-live of a reservation, in ms. */
	readonly reservationMs: number;
	/** Age from which a report is stale and nothing is granted on it, in ms. */
	readonly staleAfterMs: number;
}

/** Load that one router has placed on one target. */
export interface OwnLoad {
	/** Requests in flight. */
	readonly inFlight: number;
	/** Requests sent minus requests finished since the last report. */
	readonly changeSinceReport: number;
	/** Smoothed time that a request spends on the target, in ms; 0 if unknown. */
	readonly durationMs: number;
}

const NO_LOAD: OwnLoad = { inFlight: 0, changeSinceReport: 0, durationMs: 0 };

interface Grant {
	readonly router: string;
	count: number;
	readonly grantedAtMs: number;
	/** Whether a report already includes the reservation that was used at once. */
	readonly isReported: boolean;
	readonly expiresAtMs: number;
}

interface OwnedEngine {
	reportedRequests: number;
	reportedAtMs: number;
	loadConfidence: LoadConfidenceSnapshot;
	grants: Grant[];
}

export class EngineOwner {
	private readonly engines = new Map<string, OwnedEngine>();

	constructor(private readonly options: EngineOwnerOptions) {}

	/** Sets the engines that this router owns. The load of a new one is unknown until its first report. */
	public setOwned(instances: readonly string[]): void {
		const owned = new Set(instances);
		for (const instance of this.engines.keys()) {
			if (!owned.has(instance)) {
				this.engines.delete(instance);
			}
		}
		for (const instance of owned) {
			if (!this.engines.has(instance)) {
				this.engines.set(instance, createOwnedEngine());
			}
		}
	}

	/** Lists the engines that this router owns and therefore polls. */
	public listOwned(): string[] {
		return [...this.engines.keys()];
	}

	/** Lists the latest reports of the owned engines, for gossip. */
	public listReports(): LoadReport[] {
		return [...this.engines]
			.filter(([, engine]) => Number.isFinite(engine.reportedAtMs))
			.map(([instance, { reportedRequests, reportedAtMs }]) => ({
				instance,
				requests: reportedRequests,
				versionMs: reportedAtMs,
			}));
	}

	/** Records the result of a load poll. Returns false if it is implausible or not newer than the last one. */
	public noteReport(report: LoadReport): boolean {
		const engine = this.engines.get(report.instance);
		const isNewer = engine !== undefined && report.versionMs > engine.reportedAtMs;
		if (!isNewer || !isPlausibleReport(report)) {
			return false;
		}
		engine.reportedRequests = report.requests;
		engine.reportedAtMs = report.versionMs;
		engine.grants = engine.grants.flatMap((grant) => reconcileGrant(grant, report.versionMs));
		transitionEngineConfidence(engine, { type: 'REPORT' });
		return true;
	}

	/** Handles a router's request for `count` reservations; grants as many as fit under the engine's limit. */
	public reserve(router: string, instance: string, count: number, nowMs: number): ReserveResponse {
		const engine = this.engines.get(instance);
		if (engine === undefined) {
			return { kind: 'notOwner' };
		}
		if (nowMs - engine.reportedAtMs > this.options.staleAfterMs) {
			transitionEngineConfidence(engine, { type: 'STALE' });
		}
		if (engine.loadConfidence.value === 'unknown') {
			return { kind: 'notOwner' };
		}
		const availableSlots = Math.floor(
			this.options.computeLimit(instance) - this.estimate(instance, engine, nowMs),
		);
		const granted = Math.min(count, availableSlots);
		if (granted <= 0) {
			return { kind: 'denied' };
		}
		const expiresInMs = this.options.reservationMs;
		if (router === this.options.self) {
			return { kind: 'granted', count: 1, expiresInMs };
		}
		engine.grants.push({
			router,
			count: granted,
			grantedAtMs: nowMs,
			isReported: false,
			expiresAtMs: nowMs + expiresInMs,
		});
		return { kind: 'granted', count: granted, expiresInMs };
	}

	/** Releases reservations that a router did not use; any count above what it holds is ignored. */
	public release(router: string, instance: string, count: number): void {
		let remaining = Math.max(0, count);
		for (const grant of this.engines.get(instance)?.grants ?? []) {
			if (grant.router === router && remaining > 0) {
				const released = Math.min(remaining, grant.count);
				grant.count -= released;
				remaining -= released;
			}
		}
	}

	/** Returns the estimated load of an engine with its reservations, or undefined while its load is unknown. */
	public estimateLoad(instance: string, nowMs: number): number | undefined {
		const engine = this.engines.get(instance);
		return engine === undefined || engine.loadConfidence.value === 'unknown'
			? undefined
			: this.estimate(instance, engine, nowMs);
	}

	private estimate(instance: string, engine: OwnedEngine, nowMs: number): number {
		const granted = engine.grants.reduce((sum, grant) => sum + grant.count, 0);
		const headroom =
			engine.loadConfidence.value === 'provisional'
				? TAKEOVER_HEADROOM_SIGMAS * Math.sqrt(Math.max(1, engine.reportedRequests))
				: 0;
		const own = this.options.readOwnLoad?.(instance) ?? NO_LOAD;
		const departures = computeDepartures(engine, own, nowMs);
		return engine.reportedRequests + own.changeSinceReport + Math.max(0, granted - departures) + headroom;
	}
}

/** Estimates how many requests of other senders in the report have ended, from the smoothed duration. */
function computeDepartures(engine: OwnedEngine, own: OwnLoad, nowMs: number): number {
	if (own.durationMs === 0) {
		return 0;
	}
	const others = Math.max(0, engine.reportedRequests - (own.inFlight - own.changeSinceReport));
	return others * (1 - Math.exp(-Math.max(0, nowMs - engine.reportedAtMs) / own.durationMs));
}

/**
 * Returns what remains of a grant after a new report: nothing if it has expired, one reservation less once
 * the report includes the one that was used at once.
 */
function reconcileGrant(grant: Grant, reportedAtMs: number): Grant[] {
	if (grant.expiresAtMs <= reportedAtMs) {
		return [];
	}
	if (grant.grantedAtMs + FIRST_USE_MS > reportedAtMs || grant.isReported) {
		return [grant];
	}
	return grant.count > 1 ? [{ ...grant, count: grant.count - 1, isReported: true }] : [];
}

function createOwnedEngine(): OwnedEngine {
	return { reportedRequests: 0, reportedAtMs: -Infinity, loadConfidence: createLoadConfidence(), grants: [] };
}

function transitionEngineConfidence(engine: OwnedEngine, event: LoadConfidenceEvent): void {
	engine.loadConfidence = transitionLoadConfidence(engine.loadConfidence, event);
}
