/** Applies the evacuated zones that the store and the peers report to the targets of this instance. */
import type { Disposable } from '@papayawell/core';
import type { EvacuationChange, EvacuationReport, EvacuationUpdate } from '../common/evacuatedZones.js';
import { EvacuatedZones } from '../common/evacuatedZones.js';
import type { EventLog } from '../common/eventLog.js';
import type { StorePosition } from '../common/storePosition.js';
import type { TargetTable } from '../common/targetTable.js';

/** Gap between two ticks after which an evacuation may have been missed, since the process was paused. */
const MAX_TICK_GAP_MS = 2000;
/** Time in which events that arrived during a pause are read, and several peers gossip the zones. */
const PAUSE_CATCH_UP_MS = 200;

export interface EvacuationSyncParts {
	/** Whether the operator may evacuate zones of this deployment. */
	readonly isEnabled: boolean;
	readonly targets: TargetTable;
	readonly log: EventLog;
	/** Closes the idle connections to a target. */
	readonly closePools: (target: string) => void;
	/** Called after each change, so that peers learn it at once. */
	readonly onDidChange: (change: EvacuationChange) => void;
}

export class EvacuationSync implements Disposable {
	private readonly zones = new EvacuatedZones();
	private lastTickMs: number | undefined;

	constructor(private readonly parts: EvacuationSyncParts) {
		this.zones.onDidChange((change) => {
			this.handleChange(change);
		});
	}

	/** Whether this instance may send requests to targets: it knows which zones are evacuated, or none ever is. */
	public get isReady(): boolean {
		return !this.parts.isEnabled || this.zones.isKnown;
	}

	/** Number of zones that are evacuated. */
	public get zoneCount(): number {
		return this.zones.zones.size;
	}

	public applyUpdate(update: EvacuationUpdate, position: StorePosition): void {
		if (this.parts.isEnabled) {
			this.zones.applyUpdate(update, position, performance.now());
		}
	}

	/** @param report undefined from an instance that does not know the zones, or does not use evacuations */
	public adopt(report: EvacuationReport | undefined, nowMs: number): void {
		if (this.parts.isEnabled && report !== undefined) {
			this.zones.applyReport(report, nowMs);
		}
	}

	/** Describes the zones for a peer; undefined if evacuations are not in use or the zones are not known yet. */
	public describe(nowMs: number): EvacuationReport | undefined {
		return this.zones.describe(nowMs);
	}

	/** Called periodically, before any other work of a tick. */
	public tick(nowMs: number): void {
		const gapMs = nowMs - (this.lastTickMs ?? nowMs);
		this.lastTickMs = nowMs;
		if (this.parts.isEnabled && gapMs > MAX_TICK_GAP_MS) {
			this.parts.targets.pause(nowMs + PAUSE_CATCH_UP_MS);
			this.parts.log.write('state', 'processPaused', { gapMs: Math.round(gapMs) });
		}
		this.zones.tick(nowMs);
	}

	public dispose(): void {
		this.zones.dispose();
	}

	private handleChange(change: EvacuationChange): void {
		const { closePools, log, onDidChange, targets } = this.parts;
		const { evacuated, returned, position, source } = change;
		targets.setEvacuatedZones(this.zones.zones);
		for (const zone of evacuated) {
			log.write('state', 'zoneEvacuated', { zone, ...position, source });
		}
		for (const zone of returned) {
			log.write('state', 'zoneReturned', { zone, ...position, source });
			targets.recordZoneReturn(zone, performance.now());
		}
		for (const { record } of targets.all) {
			if (evacuated.includes(record.zone)) {
				closePools(record.id);
			}
		}
		onDidChange(change);
	}
}
