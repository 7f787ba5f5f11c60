/**
 * Tracks the streamed response of one chat completion across its attempts: the last event, the text so far, and
 * whether an interrupted stream can be resumed at the same engine or at another one.
 */
import type { StreamEvent } from './eventStream.js';

export type ResumeMode =
	/** The engine resumes its own stream after the last event ID. */
	| 'same-engine'
	/** Another engine generates the continuation of the text so far. */
	| 'other-engine';

/** Decision on a received event. */
export type EventDecision =
	| { readonly kind: 'pass'; readonly text: string }
	| { readonly kind: 'drop' }
	/** Events are missing: the stream must be aborted. */
	| { readonly kind: 'gap'; readonly message: string };

const END_MARKER = '[DONE]';

interface ContentDelta {
	readonly content: string;
	/** Whether the chunk contains only text of a single choice. */
	readonly isTextOnly: boolean;
	readonly hasFinishReason: boolean;
}

export class TokenStream {
	private lastId = 0;
	private hasIds = true;
	private isTextOnly = true;
	private hasFinishReason = false;
	private hasEndMarker = false;
	private content = '';
	private contentEventCount = 0;
	private mode: ResumeMode | undefined;

	/** Whether the end marker was received. */
	public get isComplete(): boolean {
		return this.hasEndMarker;
	}

	/** Text that was sent to the caller. */
	public get text(): string {
		return this.content;
	}

	/** Number of events with text that were sent to the caller; engines send one event per token. */
	public get textEventCount(): number {
		return this.contentEventCount;
	}

	public get lastEventId(): number {
		return this.lastId;
	}

	/** Whether an interrupted stream can be resumed in the given mode. */
	public isResumable(mode: ResumeMode): boolean {
		if (this.hasEndMarker || this.lastId === 0) {
			return false;
		}
		switch (mode) {
			case 'same-engine':
				return this.hasIds && this.mode !== 'other-engine';
			case 'other-engine':
				return this.isTextOnly && !this.hasFinishReason && this.content !== '';
		}
	}

	/** Sets the mode in which the next attempt resumes; to be called before its first event. */
	public beginResume(mode: ResumeMode): void {
		this.mode = mode;
	}

	/**
	 * Processes the next event of the current attempt. Duplicates of earlier events are dropped; events of another
	 * engine are renumbered to follow the last event.
	 */
	public accept(event: StreamEvent): EventDecision {
		if (event.data === undefined) {
			return { kind: 'pass', text: event.text };
		}
		const id = Number(event.id);
		if (event.id === undefined || !Number.isSafeInteger(id)) {
			this.hasIds = false;
		} else if (this.mode !== 'other-engine') {
			if (id <= this.lastId) {
				return { kind: 'drop' };
			}
			if (id > this.lastId + 1) {
				return { kind: 'gap', message: `Event ${id} came after event ${this.lastId}.` };
			}
		}
		this.recordData(event.data);
		this.lastId += 1;
		const text = this.mode === 'other-engine' ? `id: ${this.lastId}\ndata: ${event.data}` : event.text;
		return { kind: 'pass', text };
	}

	private recordData(data: string): void {
		if (data === END_MARKER) {
			this.hasEndMarker = true;
			return;
		}
		const delta = readDelta(data);
		this.isTextOnly &&= delta.isTextOnly;
		this.hasFinishReason ||= delta.hasFinishReason;
		this.content += delta.content;
		this.contentEventCount += delta.content === '' ? 0 : 1;
	}
}

interface ChunkDelta {
	readonly content?: unknown;
	readonly [field: string]: unknown;
}

interface Chunk {
	readonly choices?: readonly {
		readonly index?: number;
		readonly delta?: ChunkDelta;
		readonly finish_reason?: string | null;
	}[];
}

const UNPARSABLE_DELTA: ContentDelta = { content: '', isTextOnly: false, hasFinishReason: false };
const TEXT_DELTA_FIELDS: ReadonlySet<string> = new Set(['role', 'content']);

function readDelta(data: string): ContentDelta {
	const choices = parseChunk(data)?.choices;
	if (choices === undefined || choices.length > 1) {
		return UNPARSABLE_DELTA;
	}
	const [choice] = choices;
	const { delta = {}, finish_reason: finishReason } = choice ?? {};
	const content = typeof delta.content === 'string' ? delta.content : '';
	const isTextOnly = Object.entries(delta).every(
		([name, value]) => TEXT_DELTA_FIELDS.has(name) || value === null,
	);
	return { content, isTextOnly, hasFinishReason: typeof finishReason === 'string' };
}

function parseChunk(data: string): Chunk | undefined {
	try {
		const value: unknown = JSON.parse(data);
		return typeof value === 'object' && value !== null ? value : undefined;
	} catch {
		return undefined;
	}
}
