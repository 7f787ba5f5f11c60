/**
 * The availability zones that the operator has evacuated, as the store and the peers report them: nothing more is sent
 * to the targets of these zones. The newest position of the store wins, whoever reports it.
 */
import type { Disposable } from '@papayawell/core';
import { Emitter } from '@papayawell/core';
import type { StorePosition } from './storePosition.js';
import { comparePositions } from './storePosition.js';

/**
 * How long an evacuation that is missing after a restore of the store stays in force. The operator writes its entries
 * again within about two seconds.
 */
const RESTORE_HOLD_MS = 2200;

export interface ZoneChange {
	readonly zone: string;
	/** Revision of the store at which the key was written or removed. */
	readonly revision: number;
	readonly isEvacuated: boolean;
}

/** What the store reports of evacuations. */
export type EvacuationUpdate =
	/** All zones that are evacuated. */
	| { readonly kind: 'all'; readonly zones: readonly string[] }
	/** What changed since the position from which the store was watched, in order. */
	| { readonly kind: 'changes'; readonly changes: readonly ZoneChange[] };

/** What an instance reports to its peers; the names of the properties go over the wire. */
export interface EvacuationReport {
	readonly era: number;
	readonly revision: number;
	readonly zones: readonly string[];
	/** Zones that are missing since a restore of the store, with the time in ms for which they stay evacuated. */
	readonly held: readonly (readonly [zone: string, remainingMs: number])[];
}

export type EvacuationSource = 'store' | 'peer' | 'timeout';

export interface EvacuationChange {
	readonly evacuated: readonly string[];
	readonly returned: readonly string[];
	readonly position: StorePosition;
	readonly source: EvacuationSource;
}

export class EvacuatedZones implements Disposable {
	private readonly changeEmitter = new Emitter<EvacuationChange>();
	/** Position of the newest full read or change that is known. A watch without a change does not advance it. */
	private position: StorePosition | undefined;
	private listed: ReadonlySet<string> = new Set();
	/**
	 * Zones of an older era that are missing in this one, with the end of their evacuation. They are kept after the end,
	 * so that a late report does not evacuate them anew.
	 */
	private holds = new Map<string, number>();
	private eraSeenAtMs = 0;
	private zonesInForce: ReadonlySet<string> = new Set();

	/** Fires when zones are evacuated, and when they are used again. */
	public readonly onDidChange = this.changeEmitter.event;

	/** Whether the store or a peer has reported the evacuated zones. */
	public get isKnown(): boolean {
		return this.position !== undefined;
	}

	public get zones(): ReadonlySet<string> {
		return this.zonesInForce;
	}

	public applyUpdate(update: EvacuationUpdate, position: StorePosition, nowMs: number): void {
		switch (update.kind) {
			case 'all':
				if (this.position === undefined || comparePositions(position, this.position) >= 0) {
					this.replace(update.zones, position, nowMs);
				}
				break;
			case 'changes':
				for (const change of update.changes) {
					this.applyChange(change, position.era);
				}
				break;
		}
		this.refresh('store', nowMs);
	}

	public applyReport({ era, revision, zones, held }: EvacuationReport, nowMs: number): void {
		if (this.position === undefined || comparePositions({ era, revision }, this.position) > 0) {
			this.replace(zones, { era, revision }, nowMs);
		} else if (era < this.position.era) {
			for (const zone of zones) {
				this.hold(zone, this.eraSeenAtMs + RESTORE_HOLD_MS);
			}
		}
		if (era === this.position?.era) {
			for (const [zone, remainingMs] of held) {
				this.hold(zone, nowMs + Math.min(RESTORE_HOLD_MS, remainingMs));
			}
		}
		this.refresh('peer', nowMs);
	}

	/** Called periodically: ends the evacuations that were only held after a restore. */
	public tick(nowMs: number): void {
		if (this.holds.size > 0) {
			this.refresh('timeout', nowMs);
		}
	}

	/** Describes the zones for a peer; undefined while they are not known. */
	public describe(nowMs: number): EvacuationReport | undefined {
		if (this.position === undefined) {
			return undefined;
		}
		const held = [...this.holds]
			.filter(([zone, untilMs]) => untilMs > nowMs && !this.listed.has(zone))
			.map(([zone, untilMs]) => [zone, Math.round(untilMs - nowMs)] as const);
		return { ...this.position, zones: [...this.listed].sort(), held };
	}

	public dispose(): void {
		this.changeEmitter.dispose();
	}

	private replace(zones: readonly string[], position: StorePosition, nowMs: number): void {
		const isNewEra = this.position !== undefined && position.era > this.position.era;
		if (this.position === undefined || isNewEra) {
			this.eraSeenAtMs = nowMs;
		}
		this.listed = new Set(zones);
		this.position = position;
		if (isNewEra) {
			this.holds = new Map();
			for (const zone of this.zonesInForce) {
				this.hold(zone, nowMs + RESTORE_HOLD_MS);
			}
		}
	}

	private applyChange({ zone, revision, isEvacuated }: ZoneChange, era: number): void {
		if (this.position?.era !== era || revision <= this.position.revision) {
			return;
		}
		const listed = new Set(this.listed);
		if (isEvacuated) {
			listed.add(zone);
		} else {
			listed.delete(zone);
			this.holds.set(zone, -Infinity);
		}
		this.listed = listed;
		this.position = { era, revision };
	}

	private hold(zone: string, untilMs: number): void {
		if (!this.listed.has(zone) && !this.holds.has(zone)) {
			this.holds.set(zone, untilMs);
		}
	}

	private refresh(source: EvacuationSource, nowMs: number): void {
		const previous = this.zonesInForce;
		const held = [...this.holds].filter(([, untilMs]) => untilMs > nowMs).map(([zone]) => zone);
		const zones = new Set([...this.listed, ...held]);
		const evacuated = [...zones].filter((zone) => !previous.has(zone));
		const returned = [...previous].filter((zone) => !zones.has(zone));
		this.zonesInForce = zones;
		if (this.position !== undefined && evacuated.length + returned.length > 0) {
			this.changeEmitter.fire({ evacuated, returned, position: this.position, source });
		}
	}
}

/** Whether a value that a peer sent is a report of evacuations. */
export function isEvacuationReport(value: unknown): value is EvacuationReport {
	const report = value as Partial<EvacuationReport> | null;
	return (
		typeof report === 'object' &&
		report !== null &&
		Number.isSafeInteger(report.era) &&
		Number.isSafeInteger(report.revision) &&
		Array.isArray(report.zones) &&
		report.zones.every((zone) => typeof zone === 'string') &&
		Array.isArray(report.held) &&
		report.held.every(isHold)
	);
}

function isHold(value: unknown): boolean {
	return Array.isArray(value) && typeof value[0] === 'string' && Number.isSafeInteger(value[1]);
}
