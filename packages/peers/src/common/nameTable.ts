/**
 * Dictionary compression of repeated names on one stream, similar to HPACK: each direction sends a name once
 * and refers to it by number from then on. The table exists as long as its stream.
 */

/** Maximum number of names in one direction of a stream. */
export const MAX_NAMES = 32_768;
/** Maximum length of one name, in UTF-16 code units. */
export const MAX_NAME_LENGTH = 128;

/** Sending side of a name table. */
export class NameWriter {
	private readonly numbers = new Map<string, number>();
	private added: string[] = [];

	/**
	 * Returns the number of a name, assigning one if needed; undefined if the table is full or the name too
	 * long.
	 */
	public toNumber(name: string): number | undefined {
		const known = this.numbers.get(name);
		if (known !== undefined) {
			return known;
		}
		if (this.numbers.size >= MAX_NAMES || name.length > MAX_NAME_LENGTH) {
			return undefined;
		}
		const number = this.numbers.size;
		this.numbers.set(name, number);
		this.added.push(name);
		return number;
	}

	/** Returns the names assigned since the last call, which are to be sent with the next frame. */
	public takeUnsent(): string[] {
		const added = this.added;
		this.added = [];
		return added;
	}
}

/** Receiving side of a name table. */
export class NameReader {
	private readonly names: string[] = [];

	/** Appends names in order. Returns false if the table would exceed its limit or a name is too long. */
	public add(names: readonly string[]): boolean {
		if (this.names.length + names.length > MAX_NAMES) {
			return false;
		}
		if (names.some((name) => name.length > MAX_NAME_LENGTH)) {
			return false;
		}
		this.names.push(...names);
		return true;
	}

	/** Returns the name with this number, or undefined if the number is not assigned. */
	public toName(number: number): string | undefined {
		return this.names[number];
	}
}
