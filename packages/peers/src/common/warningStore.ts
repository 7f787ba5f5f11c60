/** Bounded store of warnings: keeps the highest version for each key until it expires. */
import type { Warning } from './facts.js';
import { isExpired, formatWarningKey } from './facts.js';

/**
 * Maximum number of warnings. Beyond it the lowest versions are evicted, so that all routers evict the same
 * ones.
 */
export const MAX_WARNINGS = 4_096;

export class WarningStore {
	private readonly warnings = new Map<string, Warning>();

	/** Adds a warning. Returns whether it was new and is retained. */
	public add(warning: Warning, epochMs: number): boolean {
		const key = formatWarningKey(warning);
		const known = this.warnings.get(key);
		if (isExpired(warning, epochMs) || (known !== undefined && known.version >= warning.version)) {
			return false;
		}
		this.warnings.set(key, warning);
		return this.evictLowest() !== key;
	}

	/** Removes expired warnings. */
	public prune(epochMs: number): void {
		for (const [key, warning] of this.warnings) {
			if (isExpired(warning, epochMs)) {
				this.warnings.delete(key);
			}
		}
	}

	public list(): IterableIterator<[string, Warning]> {
		return this.warnings.entries();
	}

	/** Evicts the lowest version if there are too many warnings. Returns the evicted key. */
	private evictLowest(): string | undefined {
		if (this.warnings.size <= MAX_WARNINGS) {
			return undefined;
		}
		let lowest: string | undefined;
		let version = Infinity;
		for (const [key, warning] of this.warnings) {
			if (warning.version < version || (warning.version === version && key < (lowest ?? key))) {
				lowest = key;
				version = warning.version;
			}
		}
		this.warnings.delete(lowest ?? '');
		return lowest;
	}
}
