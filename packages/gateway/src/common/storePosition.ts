/** A position in the history of the platform's store. */
export interface StorePosition {
	/**
	 * Rises each time the store is restored from a copy. Revisions of different eras are unrelated, since a restored
	 * store assigns some of them again. 0 if the store states no era.
	 */
	readonly era: number;
	/** Rises with each change within an era. */
	readonly revision: number;
}

/** Returns a negative number if `a` is older than `b`, and a positive one if it is newer. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
	return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}
