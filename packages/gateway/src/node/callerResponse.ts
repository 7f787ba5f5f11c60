/** Writes one response to a caller. A response that cannot be completed is reset, so that it never looks complete. */
import type { ServerResponse } from 'node:http';
import { HOP_BY_HOP_HEADERS, parseConnectionHeader } from '@papayawell/core';
import type { HeldMemory, UnreadAnswer } from '../common/memoryBudget.js';
import type { ErrorResponse, RefusalReason } from '../common/refusal.js';
import { buildErrorResponse } from '../common/refusal.js';
import type { ResponseHead } from '../common/responseParser.js';

export class CallerResponse implements UnreadAnswer {
	/** What is held for the request; undefined if the process has no budget. */
	public readonly memory: HeldMemory | undefined;
	private hasHead = false;
	private isEnded = false;
	private bufferedBytes = 0;
	/** Whether the caller takes an orderly end of the connection for the end of the body. */
	private endsWithConnection = false;
	private pendingWrites = 0;
	private hasStallListener = false;

	/**
	 * @param isForwardedHeader whether a response header of a target is forwarded to the caller
	 * @param openMemory starts the account of what is held for the request
	 */
	constructor(
		private readonly response: ServerResponse,
		private readonly isForwardedHeader: (name: string) => boolean,
		private readonly isClosing: () => boolean,
		openMemory?: (answer: UnreadAnswer) => HeldMemory | undefined,
	) {
		this.memory = openMemory?.(this);
	}

	public get unreadBytes(): number {
		return this.bufferedBytes + this.response.writableLength;
	}

	public get unreadWrites(): number {
		return this.pendingWrites;
	}

	/** Whether the response head was sent. */
	public get hasStarted(): boolean {
		return this.hasHead;
	}

	/** Sends a target's complete response. */
	public sendComplete(head: ResponseHead, body: Buffer): void {
		this.writeHead(head, head.framing.kind === 'none' ? undefined : body.length);
		this.isEnded = true;
		this.response.end(body);
		this.recordBuffered(0);
	}

	/** Records how much of an answer is buffered before its first byte is sent. Returns whether more may be buffered. */
	public recordBuffered(bytes: number): boolean {
		this.bufferedBytes = bytes;
		this.memory?.recordAnswer(this.unreadBytes, this.unreadWrites);
		return this.memory?.shouldPause() !== true;
	}

	/** Starts a target's response whose body is streamed; its content length is kept if it has one. */
	public start(head: ResponseHead): void {
		this.writeHead(head, head.framing.kind === 'length' ? head.framing.length : undefined);
		this.bufferedBytes = 0;
	}

	/** Starts an event stream, without a length: another target may go on with it, and repeated events are dropped. */
	public startEvents(head: ResponseHead): void {
		this.writeHead(head, undefined);
	}

	/** Returns false under back-pressure that the memory does not allow to absorb: wait for `onDrain`. */
	public write(chunk: Buffer): boolean {
		if (this.memory === undefined) {
			return this.response.write(chunk);
		}
		this.pendingWrites += 1;
		const isTaken = this.response.write(chunk, this.handleWritten);
		this.memory.recordAnswer(this.unreadBytes, this.unreadWrites);
		return isTaken || !this.memory.shouldPause();
	}

	/** Calls the listener once, when the caller has taken all that was written or memory has become free. */
	public onDrain(listener: () => void): void {
		if (this.memory === undefined) {
			this.response.once('drain', listener);
			return;
		}
		let isCalled = false;
		const callOnce = (): void => {
			if (!isCalled) {
				isCalled = true;
				this.response.off('drain', callOnce);
				listener();
			}
		};
		this.response.once('drain', callOnce);
		this.memory.pause(callOnce);
	}

	/** The runtime's socket time-out also counts as progress what the kernel takes of one large write. */
	public watchForStall(limitMs: number): void {
		this.response.setTimeout(limitMs);
		if (this.hasStallListener) {
			return;
		}
		this.hasStallListener = true;
		this.response.on('timeout', () => {
			// A caller cannot take what was not written yet.
			this.memory?.recordStall(this.response.writableLength > 0);
		});
	}

	public end(): void {
		this.isEnded = true;
		this.response.end();
	}

	/** Closes the connection of an incomplete response. */
	public reset(): void {
		this.isEnded = true;
		if (this.endsWithConnection) {
			this.response.socket?.resetAndDestroy();
		}
		this.response.destroy();
	}

	/**
	 * Refuses the request, with a `Retry-After` header if a retry can succeed; returns what was sent.
	 * @param returnDelayMs time after which a retry can succeed, if it is known
	 */
	public refuse(
		reason: RefusalReason,
		detail: string,
		headers: Readonly<Record<string, string>>,
		returnDelayMs?: number,
	): ErrorResponse {
		const refusal = buildErrorResponse(reason, Math.random(), returnDelayMs);
		const { status, retryAfterMs } = refusal;
		const retryAfter: Record<string, string> =
			retryAfterMs === undefined ? {} : { 'Retry-After': (retryAfterMs / 1000).toFixed(3) };
		this.sendOwn(status, { ...headers, ...retryAfter }, detail);
		return refusal;
	}

	private readonly handleWritten = (): void => {
		this.pendingWrites -= 1;
	};

	/** Sends a response that the gateway itself generates. */
	private sendOwn(status: number, headers: Readonly<Record<string, string>>, detail: string): void {
		if (this.hasHead || this.isEnded) {
			this.reset();
			return;
		}
		const body = Buffer.from(JSON.stringify({ status, detail }));
		this.hasHead = true;
		this.isEnded = true;
		this.response.writeHead(status, {
			...headers,
			...(this.isClosing() ? { Connection: 'close' } : {}),
			'Content-Type': 'application/json',
			'Content-Length': String(body.length),
		});
		this.response.end(body);
	}

	private writeHead(head: ResponseHead, bodyBytes: number | undefined): void {
		this.hasHead = true;
		const named = parseConnectionHeader(head.headers.get('connection'));
		const headers: string[] = [];
		for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
			const name = head.rawHeaders[index] ?? '';
			const key = name.toLowerCase();
			if (
				HOP_BY_HOP_HEADERS.has(key) ||
				named.has(key) ||
				key === 'content-length' ||
				!this.isForwardedHeader(key)
			) {
				continue;
			}
			headers.push(name, head.rawHeaders[index + 1] ?? '');
		}
		if (bodyBytes !== undefined) {
			headers.push('Content-Length', String(bodyBytes));
		}
		this.endsWithConnection = bodyBytes === undefined && this.response.req.httpVersion === '1.0';
		if (this.isClosing()) {
			headers.push('Connection', 'close');
		}
		this.response.writeHead(head.status, headers);
	}
}
