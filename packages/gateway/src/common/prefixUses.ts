/** Counts how often this instance places each shared prefix, the least recently used are forgotten first. */

/** Prefixes that are counted; several times those in use at once. */
const MAX_PREFIXES = 4000;

export class PrefixUses {
	private readonly counts = new Map<number, number>();

	/** Records a use of the prefix with the given hash; returns how many there were, with this one. */
	public record(hash: number): number {
		const count = (this.counts.get(hash) ?? 0) + 1;
		this.counts.delete(hash);
		this.counts.set(hash, count);
		if (this.counts.size > MAX_PREFIXES) {
			for (const oldest of this.counts.keys()) {
				this.counts.delete(oldest);
				break;
			}
		}
		return count;
	}
}
