/** Collects the parts of a body that is needed as a whole. */

/** Parts after which those that came last are joined: each part takes some hundred bytes beside its own. */
const JOINED_PARTS = 256;

export class BodyParts {
	private joined: Buffer[] = [];
	private latest: Buffer[] = [];
	private totalBytes = 0;

	public get bytes(): number {
		return this.totalBytes;
	}

	public add(part: Buffer): void {
		this.totalBytes += part.length;
		this.latest.push(part);
		if (this.latest.length === JOINED_PARTS) {
			this.joined.push(Buffer.concat(this.latest));
			this.latest = [];
		}
	}

	/** Returns the body and forgets its parts. */
	public take(): Buffer {
		const parts = [...this.joined, ...this.latest];
		this.clear();
		const [first = Buffer.alloc(0)] = parts;
		return parts.length <= 1 ? first : Buffer.concat(parts);
	}

	public clear(): void {
		this.joined = [];
		this.latest = [];
		this.totalBytes = 0;
	}
}
