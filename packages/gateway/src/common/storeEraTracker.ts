/** Detects that the store was restored from a copy, by the era that its responses state. */
import { Emitter } from '@papayawell/core';
import type { StorePosition } from './storePosition.js';

export interface StoreRestore {
	/** Newest position that was known of the store before. */
	readonly previous: StorePosition;
	readonly era: number;
}

export class StoreEraTracker {
	private readonly restoreEmitter = new Emitter<StoreRestore>();
	private latest: StorePosition | undefined;

	/** Fires when a newer era is seen. What was read, watched or leased before may no longer exist in the store. */
	public readonly onDidRestore = this.restoreEmitter.event;

	/** Newest era that is known; 0 before the first response. */
	public get era(): number {
		return this.latest?.era ?? 0;
	}

	/** Records a position of the store. Returns false if it belongs to an older era, so that it says nothing. */
	public observe(position: StorePosition): boolean {
		const previous = this.latest;
		if (previous === undefined) {
			this.latest = position;
			return true;
		}
		if (position.era < previous.era) {
			return false;
		}
		if (position.era === previous.era) {
			this.latest = { era: previous.era, revision: Math.max(previous.revision, position.revision) };
			return true;
		}
		this.latest = position;
		this.restoreEmitter.fire({ previous, era: position.era });
		return true;
	}
}
