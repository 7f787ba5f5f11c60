/** Incremental parser of server-sent events. An event that was cut off is never returned. */

export interface StreamEvent {
	/** Raw text of the event, without the blank line that terminates it. */
	readonly text: string;
	readonly id: string | undefined;
	/** Undefined for comments and other events without data. */
	readonly data: string | undefined;
}

/** Maximum size of a buffered event, in UTF-16 code units. */
const MAX_EVENT_CODE_UNITS = 1_048_576;
const EVENT_END = /\r?\n\r?\n/;

export class EventStreamParser {
	private readonly decoder = new TextDecoder();
	private buffer = '';

	/** Whether the buffer holds the start of an unterminated event. */
	public get hasPartialEvent(): boolean {
		return this.buffer.trim() !== '';
	}

	/** Whether the unterminated event exceeds the size limit. */
	public get isOverflowing(): boolean {
		return this.buffer.length > MAX_EVENT_CODE_UNITS;
	}

	/** Appends bytes and returns the events that they complete. */
	public append(chunk: Uint8Array): readonly StreamEvent[] {
		this.buffer += this.decoder.decode(chunk, { stream: true });
		const parts = this.buffer.split(EVENT_END);
		this.buffer = parts.pop() ?? '';
		return parts.filter((part) => part !== '').map(parseEvent);
	}
}

function parseEvent(text: string): StreamEvent {
	let id: string | undefined;
	const data: string[] = [];
	for (const line of text.split(/\r?\n/)) {
		const value = line.slice(line.indexOf(':') + 1).replace(/^ /, '');
		if (line.startsWith('id:')) {
			id = value;
		}
		if (line.startsWith('data:')) {
			data.push(value);
		}
	}
	return { text, id, data: data.length > 0 ? data.join('\n') : undefined };
}
