/**
 * One connection to a target, which carries one request at a time. It replaces an HTTP client library for two
 * reasons: a response without a length must not count as complete when its connection is reset, and the gateway
 * has to know whether any byte of a request was written (see docs/design/platform.md for the figures).
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ResponseHandler, ResponseHead } from '../common/responseParser.js';
import { ResponseParser } from '../common/responseParser.js';

/** Idle time after which the kernel probes whether the peer of a connection is still there. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;
/** A target counts its keep-alive time-out from its last byte and states it in rounded seconds: stay well below. */
const KEEP_ALIVE_MARGIN_MS = 500;
/** A target may answer before it has read a longer request, and its kernel resets the connection if it never reads it. */
const MAX_PROMPTLY_READ_BYTES = 65_536;
/** Time after the end of a connection in which such a reset is waited for. */
const RESET_NOTICE_MS = 250;

export type ConnectionFailure =
	/** The connection was not established, so nothing was sent. */
	| 'unreachable'
	/** The connection was reset, or closed before the response was complete. */
	| 'broken'
	/** The received bytes are not a valid response. */
	| 'malformed';

export interface ConnectionListener {
	onHead(head: ResponseHead): void;
	onBody(chunk: Buffer): void;
	/** Called when a response is complete. Returns false if the awaited response may still follow. */
	onEnd(): boolean;
	onFailure(failure: ConnectionFailure, message: string): void;
}

/** What suggests that a target ended its answer by ending the connection, rather than that it died. */
export type EndEvidence =
	/** Another of its connections has stayed open. */
	| 'openConnection'
	/** It has accepted a new connection. */
	| 'newConnection'
	/** No connection may be opened to it. */
	| 'notProbed';

/** What a new connection shows of the address. */
export type ProbeResult =
	| 'open'
	/** It was accepted and then reset, as by a target at its limit of connections. */
	| 'reset'
	| 'unreachable';

export interface ConnectionOptions {
	readonly host: string;
	readonly port: number;
	readonly connectTimeoutMs: number;
	/** Called when the target ends the connection, and thereby an answer without a length; undefined if it has died. */
	readonly findEndEvidence: () => Promise<EndEvidence | undefined>;
	/** Called once, when the connection cannot carry another request. */
	readonly onClosed: () => void;
}

export class TargetConnection implements ResponseHandler {
	private readonly socket: Socket;
	private readonly connectTimer: NodeJS.Timeout;
	private isConnected = false;
	/** Also before the connection is known to be established, if it was accepted and reset at once. */
	private wasReset = false;
	private isClosed = false;
	private parser: ResponseParser | undefined;
	private listener: ConnectionListener | undefined;
	private isPersistent = true;
	private hasCompletedRequest = false;
	/** Undefined while the connection is busy or not established. */
	private idleSinceMs: number | undefined;
	private idleLimitMs: number;
	private pendingWrite: (() => void) | undefined;
	/** Size of the request in flight. */
	private requestBytes = 0;
	/** Whether the target has ended its side of the connection. */
	private hasPeerEnded = false;
	private foundEvidence: EndEvidence | undefined;

	/** @param defaultIdleLimitMs how long an idle connection is reused if the target states no keep-alive time-out */
	constructor(
		private readonly options: ConnectionOptions,
		defaultIdleLimitMs: number,
	) {
		this.idleLimitMs = defaultIdleLimitMs;
		const { host, port, connectTimeoutMs } = options;
		this.socket = connect({
			host,
			port,
			// Half-open, so that the end of a response without a length can be told from a reset.
			allowHalfOpen: true,
			noDelay: true,
			keepAlive: true,
			keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
		});
		this.connectTimer = setTimeout(() => {
			this.fail('unreachable', `no connection within ${connectTimeoutMs} ms`);
		}, connectTimeoutMs);
		this.socket.on('connect', () => {
			this.handleConnect();
		});
		this.socket.on('data', (chunk) => {
			this.handleData(chunk);
		});
		this.socket.on('end', () => {
			this.handleEnd();
		});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this.wasReset = error.code === 'ECONNRESET';
			this.fail(this.isConnected ? 'broken' : 'unreachable', error.message);
		});
		this.socket.on('close', () => {
			this.fail(this.isConnected ? 'broken' : 'unreachable', 'the connection was closed');
		});
	}

	/** Whether the target holds the connection open. While paused it is not noticed when the target closes it. */
	public get isOpen(): boolean {
		return this.isConnected && !this.isClosed && !this.hasPeerEnded && !this.socket.isPaused();
	}

	public get isConnecting(): boolean {
		return !this.isConnected && !this.isClosed;
	}

	/** Why the answer counts as complete; undefined if its framing tells. */
	public get endEvidence(): EndEvidence | undefined {
		return this.foundEvidence;
	}

	/** Whether the connection has carried a request before the present one, whose answer may come a second time. */
	public get isReused(): boolean {
		return this.hasCompletedRequest;
	}

	/** Whether the connection can carry another request now. */
	public isIdle(nowMs: number, idleLimitMs = this.idleLimitMs): boolean {
		return (
			this.idleSinceMs !== undefined && nowMs - this.idleSinceMs < Math.min(idleLimitMs, this.idleLimitMs)
		);
	}

	/** Whether the connection has been idle for longer than the target keeps it open. */
	public isStale(nowMs: number): boolean {
		return this.idleSinceMs !== undefined && nowMs - this.idleSinceMs >= this.idleLimitMs;
	}

	/**
	 * Sends a request once connected. `onRequestWriting` is called right before the first byte; if it returns false,
	 * nothing is written and the connection stays idle.
	 */
	public send(
		method: string,
		bytes: readonly Buffer[],
		onRequestWriting: () => boolean,
		listener: ConnectionListener,
	): void {
		this.idleSinceMs = undefined;
		this.listener = listener;
		const write = (): void => {
			if (!onRequestWriting()) {
				this.listener = undefined;
				this.markIdle();
				return;
			}
			this.parser = new ResponseParser(method, this);
			this.requestBytes = 0;
			this.socket.cork();
			for (const part of bytes) {
				this.requestBytes += part.length;
				this.socket.write(part);
			}
			this.socket.uncork();
		};
		if (this.isConnected) {
			write();
		} else {
			this.pendingWrite = write;
		}
	}

	/**
	 * Reports whether the connection is established and stays open for a time, in which it carries no request. Called
	 * before it is established.
	 */
	public probe(holdMs: number, onResult: (result: ProbeResult) => void): void {
		this.listener = {
			onHead: () => undefined,
			onBody: () => undefined,
			onEnd: () => true,
			onFailure: () => {
				onResult(this.isConnected || this.wasReset ? 'reset' : 'unreachable');
			},
		};
		this.pendingWrite = () => {
			setTimeout(() => {
				if (!this.isClosed) {
					this.listener = undefined;
					this.markIdle();
					onResult('open');
				}
			}, holdMs);
		};
	}

	public pause(): void {
		this.socket.pause();
	}

	public resume(): void {
		this.socket.resume();
	}

	/** Closes the connection and so cancels the request that it carries. */
	public close(): void {
		this.listener = undefined;
		this.markClosed();
	}

	public onHead(head: ResponseHead): void {
		this.isPersistent &&= head.isPersistent;
		const seconds = /(?:^|[ ,])timeout=(\d+)/.exec(head.headers.get('keep-alive') ?? '')?.[1];
		if (seconds !== undefined) {
			this.idleLimitMs = Math.max(0, Number(seconds) * 1000 - KEEP_ALIVE_MARGIN_MS);
		}
		this.listener?.onHead(head);
	}

	public onBody(chunk: Buffer): void {
		this.listener?.onBody(chunk);
	}

	public onComplete(): boolean {
		const { listener } = this;
		if (listener === undefined) {
			return true;
		}
		const isAwaited = listener.onEnd();
		if (isAwaited) {
			this.listener = undefined;
		}
		return isAwaited;
	}

	private handleConnect(): void {
		clearTimeout(this.connectTimer);
		this.isConnected = true;
		if (this.pendingWrite === undefined) {
			this.markIdle();
			return;
		}
		this.pendingWrite();
		this.pendingWrite = undefined;
	}

	private handleData(chunk: Buffer): void {
		if (this.parser === undefined) {
			// No request is in flight, so the connection cannot be reused.
			this.markClosed();
			return;
		}
		const { parser } = this;
		this.handleResponse(() => {
			const surplus = parser.add(chunk);
			if (this.listener === undefined && !this.isClosed) {
				this.finishRequest(surplus.length > 0);
			}
		});
	}

	/** Fails the request in flight if its response cannot be handled, whatever the error: others must not end with it. */
	private handleResponse(handle: () => void): void {
		try {
			handle();
		} catch (error) {
			this.fail('malformed', error instanceof Error ? error.message : String(error));
		}
	}

	/** Keeps the connection only if the request was written completely and no bytes follow its response. */
	private finishRequest(hasSurplus: boolean): void {
		this.parser = undefined;
		this.hasCompletedRequest = true;
		if (hasSurplus || !this.isPersistent || this.socket.writableLength > 0) {
			this.markClosed();
			return;
		}
		this.markIdle();
	}

	private markIdle(): void {
		this.idleSinceMs = performance.now();
		this.socket.resume();
	}

	private handleEnd(): void {
		this.hasPeerEnded = true;
		const { parser, listener } = this;
		if (parser !== undefined && listener !== undefined && parser.endsWithConnection) {
			void this.finishWithConnection(parser);
			return;
		}
		this.fail('broken', 'the connection ended before the answer was whole');
	}

	/** Completes the response, unless the target has reset the connection or died. */
	private async finishWithConnection(parser: ResponseParser): Promise<void> {
		const endedAtMs = performance.now();
		if (!(await this.checkForReset())) {
			return;
		}
		this.foundEvidence = await this.options.findEndEvidence();
		if (!this.isAwaitingResponse()) {
			return;
		}
		if (this.foundEvidence === undefined) {
			// The kernel ends the connections of a process that dies in the same orderly way.
			this.fail('broken', 'the target died as the connection ended');
			return;
		}
		if (this.requestBytes > MAX_PROMPTLY_READ_BYTES) {
			await sleep(RESET_NOTICE_MS - (performance.now() - endedAtMs));
		}
		if (!(await this.checkForReset())) {
			return;
		}
		this.handleResponse(() => {
			parser.finish();
		});
		this.markClosed();
		if (this.isAwaitingResponse()) {
			this.fail('broken', 'the connection ended with the answer to another request');
		}
	}

	/**
	 * Fails the request if the connection was reset, which the event loop does not report after its end, or reports as its
	 * end. A write tells, also of no bytes; others would make a target reset a connection that it has closed in order.
	 * Returns whether the response is still awaited.
	 */
	private checkForReset(): Promise<boolean> {
		return new Promise((resolve) => {
			this.socket.write('', (error) => {
				if (error !== undefined && error !== null) {
					this.fail('broken', 'the connection was reset before the answer was whole');
				}
				resolve(this.isAwaitingResponse());
			});
		});
	}

	private isAwaitingResponse(): boolean {
		return this.listener !== undefined;
	}

	private fail(failure: ConnectionFailure, message: string): void {
		const { listener } = this;
		this.listener = undefined;
		this.markClosed();
		listener?.onFailure(failure, message);
	}

	private markClosed(): void {
		if (this.isClosed) {
			return;
		}
		this.isClosed = true;
		this.idleSinceMs = undefined;
		clearTimeout(this.connectTimer);
		this.socket.destroy();
		this.options.onClosed();
	}
}
