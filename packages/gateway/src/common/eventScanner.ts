/**
 * Splits the bytes of an event stream into complete events. An event that its sender did not finish is never
 * returned.
 */

export interface ScannedEvent {
	/** The event, including the blank line that terminates it. */
	readonly bytes: Buffer;
	/** Value of the `id` field; undefined if there is none or it is empty, and for comments. */
	readonly id: string | undefined;
	/** Whether the event has data but no id, so that a stream cannot be resumed after it. */
	readonly isUnidentified: boolean;
}

/** Largest event that is buffered until it is complete. */
const MAX_EVENT_BYTES = 1_048_576;
const LF = 0x0a;
const CR = 0x0d;
const ID_FIELD = Buffer.from('id:');
const DATA_FIELD = Buffer.from('data:');
const EMPTY = Buffer.alloc(0);

export class EventScanner {
	private pending: Buffer = EMPTY;
	/** Position in `pending` at which the search for the end of the event resumes. */
	private searchStart = 0;

	public get hasPartialEvent(): boolean {
		return this.pending.some((byte) => byte !== LF && byte !== CR);
	}

	/** Bytes after the last complete event; only line ends, unless there is a partial event. */
	public get rest(): Buffer {
		return this.pending;
	}

	public get isOverflowing(): boolean {
		return this.pending.length > MAX_EVENT_BYTES;
	}

	/** Appends bytes and returns the events that are now complete. */
	public add(chunk: Buffer): readonly ScannedEvent[] {
		this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		const events: ScannedEvent[] = [];
		for (let end = this.findEnd(); end > 0; end = this.findEnd()) {
			const bytes = this.pending.subarray(0, end);
			this.pending = this.pending.subarray(end);
			this.searchStart = 0;
			const idText = readField(bytes, ID_FIELD);
			const id = idText === '' ? undefined : idText;
			const isUnidentified = id === undefined && readField(bytes, DATA_FIELD) !== undefined;
			events.push({ bytes, id, isUnidentified });
		}
		return events;
	}

	/** Returns the position after the blank line that terminates the first event, or 0 if it is incomplete. */
	private findEnd(): number {
		let position = this.searchStart;
		for (;;) {
			const lineEnd = this.pending.indexOf(LF, position);
			if (lineEnd < 0) {
				return 0;
			}
			const next = lineEnd + 1;
			if (this.pending[next] === LF) {
				return next + 1;
			}
			if (this.pending[next] === CR && this.pending[next + 1] === LF) {
				return next + 2;
			}
			if (next + 1 >= this.pending.length) {
				this.searchStart = lineEnd;
				return 0;
			}
			position = next;
		}
	}
}

/** Returns the value of the first field with the name, which includes the colon; undefined if there is none. */
function readField(bytes: Buffer, name: Buffer): string | undefined {
	let start = 0;
	while (start < bytes.length) {
		const lineEnd = bytes.indexOf(LF, start);
		const end = lineEnd < 0 ? bytes.length : lineEnd;
		if (bytes.subarray(start, start + name.length).equals(name)) {
			return bytes.toString('utf8', start + name.length, end).trim();
		}
		start = end + 1;
	}
	return undefined;
}
