/** Remembers one start of each of many targets, for example the start that has announced that it leaves. */

/** A target, and the start of its process in epoch ms. */
export type TargetStart = readonly [id: string, startedAtMs: number];

/** Limit of remembered starts; the oldest ones are forgotten first. */
const MAX_REMEMBERED = 4000;

export class TargetStarts {
	/** Starts of the targets by id, the one that was added first comes first. */
	private readonly startsById = new Map<string, number>();

	/** Returns whether the start is new. An earlier start than the known one is ignored. */
	public add(id: string, startedAtMs: number): boolean {
		const known = this.startsById.get(id);
		if (known !== undefined && known >= startedAtMs) {
			return false;
		}
		this.startsById.delete(id);
		this.startsById.set(id, startedAtMs);
		for (const oldest of this.startsById.keys()) {
			if (this.startsById.size <= MAX_REMEMBERED) {
				break;
			}
			this.startsById.delete(oldest);
		}
		return true;
	}

	public has(id: string, startedAtMs: number): boolean {
		return this.startsById.get(id) === startedAtMs;
	}

	public remove(id: string): void {
		this.startsById.delete(id);
	}

	/** Lists the `count` starts that were added last. */
	public listNewest(count: number): readonly TargetStart[] {
		return [...this.startsById].slice(-count);
	}
}
