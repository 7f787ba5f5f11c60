/**
 * Parses HTTP/1.1 responses from the bytes of one connection. By their framing it distinguishes complete from
 * truncated responses, and finds surplus bytes that belong to no request.
 */

export type BodyFraming =
	| { readonly kind: 'none' }
	| { readonly kind: 'length'; readonly length: number }
	| { readonly kind: 'chunked' }
	/** The body ends when the connection is closed in order. */
	| { readonly kind: 'untilClose' };

export interface ResponseHead {
	readonly status: number;
	/** Headers by lower-case name; repeated headers are joined with commas. */
	readonly headers: ReadonlyMap<string, string>;
	/** Headers as received: alternating names and values. */
	readonly rawHeaders: readonly string[];
	readonly framing: BodyFraming;
	/** Whether the connection can be reused for another request (keep-alive). */
	readonly isPersistent: boolean;
}

export interface ResponseHandler {
	onHead(head: ResponseHead): void;
	onBody(chunk: Buffer): void;
	/**
	 * The response is complete. Returns false if another response follows on the connection and is to be
	 * parsed too.
	 */
	onComplete(): boolean;
}

/** The bytes are not a valid HTTP response. The message is part of the `detail` that a caller gets, so the texts stay stable. */
export class ResponseFormatError extends Error {}

const MAX_HEAD_BYTES = 65_536;
/** Limit of the interim responses before a response, and of the trailer after it. */
const MAX_EXTRA_BYTES = 65_536;
const MAX_CHUNK_LINE_BYTES = 4096;
/** No request asks for it, and what follows it is not HTTP. */
const HTTP_SWITCHING_PROTOCOLS = 101;
const HEAD_END = '\r\n\r\n';
/** A field name is a token of RFC 9110, section 5.6.2. */
const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Field values of RFC 9110, section 5.5: tabs, visible characters, spaces and the bytes from 0x80 on. */
const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
const EMPTY = Buffer.alloc(0);

type ParserState =
	| { readonly kind: 'head' }
	| { readonly kind: 'length'; remainingBytes: number }
	| { readonly kind: 'chunkSize' }
	| { readonly kind: 'chunkData'; remainingBytes: number }
	| { readonly kind: 'chunkEnd' }
	| { readonly kind: 'trailer' }
	| { readonly kind: 'untilClose' }
	/** The response to the request in flight is complete. */
	| { readonly kind: 'done' };

export class ResponseParser {
	private state: ParserState = { kind: 'head' };
	private pending: Buffer = EMPTY;
	private extraBytes = 0;

	constructor(
		private readonly method: string,
		private readonly handler: ResponseHandler,
	) {}

	/**
	 * Parses the next bytes. Returns surplus bytes after a complete response. Throws a `ResponseFormatError`.
	 */
	public add(chunk: Buffer): Buffer {
		this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		while (this.state.kind !== 'done' && this.readNext()) {
			// `readNext` consumes the pending bytes.
		}
		if (this.state.kind === 'done') {
			const surplus = this.pending;
			this.pending = EMPTY;
			return surplus;
		}
		return EMPTY;
	}

	/** Whether the response ends with the connection. */
	public get endsWithConnection(): boolean {
		return this.state.kind === 'untilClose';
	}

	/** Called when the connection is closed in order, which completes a response without a length. */
	public finish(): void {
		if (this.state.kind === 'untilClose') {
			this.state = { kind: 'done' };
			this.handler.onComplete();
		}
	}

	/** Returns whether the pending bytes may allow a further step. */
	private readNext(): boolean {
		const { state } = this;
		switch (state.kind) {
			case 'head':
				return this.readHead();
			case 'length':
			case 'chunkData':
				return this.readBody(state);
			case 'chunkSize':
				return this.readChunkSize();
			case 'chunkEnd':
				return this.readChunkEnd();
			case 'trailer':
				return this.readTrailer();
			case 'untilClose':
				return this.readUntilClose();
			case 'done':
				return false;
		}
	}

	private readHead(): boolean {
		const end = this.pending.indexOf(HEAD_END);
		if (end < 0) {
			if (this.pending.length > MAX_HEAD_BYTES) {
				throw new ResponseFormatError('The head of the answer is too long.');
			}
			checkStart(this.pending);
			return false;
		}
		const head = parseHead(this.pending.toString('latin1', 0, end), this.method);
		this.pending = this.pending.subarray(end + HEAD_END.length);
		if (head.status < 200) {
			this.countExtraBytes(end);
			return this.pending.length > 0;
		}
		this.handler.onHead(head);
		this.startBody(head.framing);
		return true;
	}

	private startBody(framing: BodyFraming): void {
		switch (framing.kind) {
			case 'none':
				this.end();
				return;
			case 'length':
				if (framing.length === 0) {
					this.end();
					return;
				}
				this.state = { kind: 'length', remainingBytes: framing.length };
				return;
			case 'chunked':
				this.state = { kind: 'chunkSize' };
				return;
			case 'untilClose':
				this.state = { kind: 'untilClose' };
				return;
		}
	}

	private readBody(state: { readonly kind: 'length' | 'chunkData'; remainingBytes: number }): boolean {
		const taken = this.pending.subarray(0, state.remainingBytes);
		if (taken.length === 0) {
			return false;
		}
		this.pending = this.pending.subarray(taken.length);
		state.remainingBytes -= taken.length;
		this.handler.onBody(taken);
		if (state.remainingBytes === 0) {
			if (state.kind === 'length') {
				this.end();
			} else {
				this.state = { kind: 'chunkEnd' };
			}
		}
		return this.pending.length > 0;
	}

	private readChunkSize(): boolean {
		const line = this.takeLine();
		if (line === undefined) {
			return false;
		}
		const digits = /^([0-9a-f]{1,8})[ \t]*(;.*)?$/i.exec(line)?.[1];
		if (digits === undefined) {
			throw new ResponseFormatError('The size of a chunk is malformed.');
		}
		const remainingBytes = Number.parseInt(digits, 16);
		this.state = remainingBytes === 0 ? { kind: 'trailer' } : { kind: 'chunkData', remainingBytes };
		return true;
	}

	private readChunkEnd(): boolean {
		if (this.pending.length < 2) {
			return false;
		}
		if (this.pending[0] !== 0x0d || this.pending[1] !== 0x0a) {
			throw new ResponseFormatError('A chunk does not end where its size says.');
		}
		this.pending = this.pending.subarray(2);
		this.state = { kind: 'chunkSize' };
		return true;
	}

	private readTrailer(): boolean {
		const line = this.takeLine();
		if (line === undefined) {
			return false;
		}
		if (line === '') {
			this.end();
		}
		this.countExtraBytes(line.length);
		return true;
	}

	private countExtraBytes(bytes: number): void {
		this.extraBytes += bytes;
		if (this.extraBytes > MAX_EXTRA_BYTES) {
			throw new ResponseFormatError('The interim responses or the trailer are too long.');
		}
	}

	private readUntilClose(): boolean {
		const taken = this.pending;
		this.pending = EMPTY;
		if (taken.length > 0) {
			this.handler.onBody(taken);
		}
		return false;
	}

	private takeLine(): string | undefined {
		const end = this.pending.indexOf('\r\n');
		if (end < 0) {
			if (this.pending.length > MAX_CHUNK_LINE_BYTES) {
				throw new ResponseFormatError('A line of the chunked body is too long.');
			}
			return undefined;
		}
		const line = this.pending.toString('latin1', 0, end);
		this.pending = this.pending.subarray(end + 2);
		return line;
	}

	private end(): void {
		this.state = this.handler.onComplete() ? { kind: 'done' } : { kind: 'head' };
	}
}

/** Rejects bytes that are not the start of a response before the head is complete. */
function checkStart(bytes: Buffer): void {
	const start = bytes.toString('latin1', 0, 5);
	if (!'HTTP/'.startsWith(start)) {
		throw new ResponseFormatError('The bytes are not an HTTP response.');
	}
}

function parseHead(text: string, method: string): ResponseHead {
	const lines = text.split('\r\n');
	const match = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: |$)/.exec(lines[0] ?? '');
	if (match === null) {
		throw new ResponseFormatError('The status line is malformed.');
	}
	const status = Number(match[2]);
	if (status === HTTP_SWITCHING_PROTOCOLS) {
		throw new ResponseFormatError('The answer switches to another protocol.');
	}
	const headers = new Map<string, string>();
	const rawHeaders: string[] = [];
	for (const line of lines.slice(1)) {
		const colon = line.indexOf(':');
		const name = line.slice(0, Math.max(0, colon));
		const value = line.slice(colon + 1);
		// Headers are forwarded to callers, and the runtime throws if it is to write any other bytes.
		if (!HEADER_NAME_PATTERN.test(name) || !HEADER_VALUE_PATTERN.test(value)) {
			throw new ResponseFormatError('A header is malformed.');
		}
		const trimmed = value.trim();
		rawHeaders.push(name, trimmed);
		const key = name.toLowerCase();
		const known = headers.get(key);
		headers.set(key, known === undefined ? trimmed : `${known}, ${trimmed}`);
	}
	const framing = findFraming(status, headers, method);
	const connection = headers.get('connection')?.toLowerCase();
	const isPersistent =
		framing.kind !== 'untilClose' &&
		(match[1] === '1' ? connection !== 'close' : connection === 'keep-alive');
	return { status, headers, rawHeaders, framing, isPersistent };
}

function findFraming(status: number, headers: ReadonlyMap<string, string>, method: string): BodyFraming {
	const encoding = headers.get('transfer-encoding')?.toLowerCase();
	const length = headers.get('content-length');
	if (encoding !== undefined && (encoding !== 'chunked' || length !== undefined)) {
		throw new ResponseFormatError('The framing of the answer is ambiguous.');
	}
	if (length !== undefined && !/^\d{1,15}$/.test(length)) {
		throw new ResponseFormatError('The length of the answer is malformed.');
	}
	if (method === 'HEAD' || status < 200 || status === 204 || status === 304) {
		return { kind: 'none' };
	}
	if (encoding !== undefined) {
		return { kind: 'chunked' };
	}
	return length === undefined ? { kind: 'untilClose' } : { kind: 'length', length: Number(length) };
}
