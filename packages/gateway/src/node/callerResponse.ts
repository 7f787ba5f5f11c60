/** Writes one response to a caller. A response that cannot be completed is reset, so that it never looks complete. */
import type { ServerResponse } from 'node:http';
import { HOP_BY_HOP_HEADERS, parseConnectionHeader } from '@papayawell/core';
import type { ErrorResponse, RefusalReason } from '../common/refusal.js';
import { buildErrorResponse } from '../common/refusal.js';
import type { ResponseHead } from '../common/responseParser.js';

export class CallerResponse {
	private hasHead = false;
	private isEnded = false;

	/** @param isForwardedHeader whether a response header of a target is forwarded to the caller */
	constructor(
		private readonly response: ServerResponse,
		private readonly isForwardedHeader: (name: string) => boolean,
		private readonly isClosing: () => boolean,
	) {}

	/** Whether the response head was sent. */
	public get hasStarted(): boolean {
		return this.hasHead;
	}

	/** Sends a target's complete response. */
	public sendComplete(head: ResponseHead, body: Buffer): void {
		this.writeHead(head, head.framing.kind === 'none' ? undefined : body.length);
		this.isEnded = true;
		this.response.end(body);
	}

	/** Starts a target's response whose body is streamed; its content length is kept if it has one. */
	public start(head: ResponseHead): void {
		this.writeHead(head, head.framing.kind === 'length' ? head.framing.length : undefined);
	}

	/** Returns false under back-pressure: wait for `onDrain` before the next chunk. */
	public write(chunk: Buffer): boolean {
		return this.response.write(chunk);
	}

	public onDrain(listener: () => void): void {
		this.response.once('drain', listener);
	}

	public end(): void {
		this.isEnded = true;
		this.response.end();
	}

	/** Closes the connection of an incomplete response. */
	public reset(): void {
		this.isEnded = true;
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
		if (this.isClosing()) {
			headers.push('Connection', 'close');
		}
		this.response.writeHead(head.status, headers);
	}
}
