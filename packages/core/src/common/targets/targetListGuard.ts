/** Protects a pool against a target list that shrinks suddenly: a large drop applies only once confirmed. */

export interface TargetListGuardSettings {
	/** Share of the known targets that one list may drop without confirmation. */
	readonly maxDroppedShare: number;
	/** Number of targets that may always be dropped, so that small pools can shrink. */
	readonly minAllowedDrops: number;
	/** Time for which a larger drop has to persist before it is applied, in ms. */
	readonly confirmationMs: number;
}

export const DEFAULT_TARGET_LIST_GUARD_SETTINGS: TargetListGuardSettings = {
	maxDroppedShare: 0.34,
	minAllowedDrops: 1,
	confirmationMs: 60_000,
};

export class TargetListGuard {
	private retained = new Set<string>();
	/** Start of a drop that is larger than allowed and not confirmed yet; undefined if there is none. */
	private unconfirmedSinceMs: number | undefined;

	constructor(private readonly settings: TargetListGuardSettings = DEFAULT_TARGET_LIST_GUARD_SETTINGS) {}

	/** Whether targets that the last list dropped are retained until the drop is confirmed. */
	public get hasUnconfirmedDrop(): boolean {
		return this.unconfirmedSinceMs !== undefined;
	}

	/**
	 * Returns the names to use after a new list: the listed ones, together with the known ones while a large
	 * drop is not confirmed. Targets in `leaving` announced it themselves and do not count as dropped.
	 */
	public filter(
		listed: ReadonlySet<string>,
		leaving: ReadonlySet<string>,
		nowMs: number,
	): ReadonlySet<string> {
		const missing = [...this.retained].filter((name) => !listed.has(name) && !leaving.has(name));
		const allowedDrops = Math.max(
			this.settings.minAllowedDrops,
			this.retained.size * this.settings.maxDroppedShare,
		);
		if (missing.length <= allowedDrops) {
			this.unconfirmedSinceMs = undefined;
			this.retained = new Set(listed);
			return this.retained;
		}
		this.unconfirmedSinceMs ??= nowMs;
		if (nowMs - this.unconfirmedSinceMs >= this.settings.confirmationMs) {
			this.unconfirmedSinceMs = undefined;
			this.retained = new Set(listed);
			return this.retained;
		}
		this.retained = new Set([...listed, ...missing]);
		return this.retained;
	}
}
