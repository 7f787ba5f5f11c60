/** Calls targets over HTTP, with one connection pool per origin. */
import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import type { Disposable } from '@papayawell/core';
import type {
	TargetCall,
	TargetFailure,
	TargetHeaders,
	TargetListener,
	TargetRequest,
} from '../common/targetCall.js';
import { TargetFailureKind } from '../common/targetCall.js';

export interface TargetClientOptions {
	readonly connectTimeoutMs: number;
	/** Maximum number of connections to one target. */
	readonly maxConnections: number;
	/** Time after which an idle connection is closed, in ms. */
	readonly keepAliveMs: number;
}

export const DEFAULT_TARGET_CLIENT_OPTIONS: TargetClientOptions = {
	connectTimeoutMs: 1000,
	maxConnections: 256,
	keepAliveMs: 4000,
};

/** Receives the reachability of each origin, as seen by the calls to it. */
export interface ReachabilityObserver {
	/** A response head arrived from `origin`. */
	onResponse(origin: string): void;
	onFailure(origin: string, failure: TargetFailure): void;
}

export class TargetClient implements Disposable {
	private readonly pools = new Map<string, Pool>();

	constructor(
		private readonly options: TargetClientOptions = DEFAULT_TARGET_CLIENT_OPTIONS,
		private readonly reachability?: ReachabilityObserver,
	) {}

	/** Sends `request` to the target at `origin` and reports the events of the call to `listener`. */
	public send(origin: string, request: TargetRequest, listener: TargetListener): TargetCall {
		const handler = new CallHandler(origin, listener, this.reachability);
		this.getPool(origin).dispatch(
			{
				method: request.method,
				path: request.url,
				headers: request.headers,
				body: request.body.byteLength === 0 ? null : request.body,
				headersTimeout: request.idleTimeoutMs,
				bodyTimeout: request.idleTimeoutMs,
			},
			handler,
		);
		return handler;
	}

	/** Closes the connections to `origin` once the calls in flight have finished. */
	public closeOrigin(origin: string): void {
		const pool = this.pools.get(origin);
		this.pools.delete(origin);
		void pool?.close();
	}

	public dispose(): void {
		for (const pool of this.pools.values()) {
			void pool.destroy();
		}
		this.pools.clear();
	}

	private getPool(origin: string): Pool {
		const existing = this.pools.get(origin);
		if (existing !== undefined) {
			return existing;
		}
		const pool = new Pool(origin, {
			connections: this.options.maxConnections,
			pipelining: 1,
			connect: { timeout: this.options.connectTimeoutMs },
			keepAliveTimeout: this.options.keepAliveMs,
			keepAliveMaxTimeout: this.options.keepAliveMs,
		});
		this.pools.set(origin, pool);
		return pool;
	}
}

/** Maps the events of one undici dispatch to a `TargetListener`. */
class CallHandler implements Dispatcher.DispatchHandler, TargetCall {
	private controller: Dispatcher.DispatchController | undefined;
	private hasStartedSending = false;
	private isCancelled = false;
	private isSettled = false;

	constructor(
		private readonly origin: string,
		private readonly listener: TargetListener,
		private readonly reachability: ReachabilityObserver | undefined,
	) {}

	public resume(): void {
		this.controller?.resume();
	}

	public cancel(): void {
		if (this.isSettled || this.isCancelled) {
			return;
		}
		this.isCancelled = true;
		this.controller?.abort(new CancelledError());
	}

	/** Called just before the request is written to a connected socket. */
	public onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.isCancelled || !this.listener.onSending()) {
			this.isCancelled = true;
			controller.abort(new CancelledError());
			return;
		}
		this.hasStartedSending = true;
	}

	public onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: TargetHeaders,
	): void {
		// Interim (1xx) responses are ignored.
		if (status >= 200) {
			this.reachability?.onResponse(this.origin);
			this.listener.onHead(status, headers);
		}
	}

	public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (!this.listener.onData(chunk)) {
			controller.pause();
		}
	}

	public onResponseEnd(): void {
		if (this.markSettled()) {
			this.listener.onEnd();
		}
	}

	public onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this.markSettled()) {
			const failure = this.describeError(error);
			this.reachability?.onFailure(this.origin, failure);
			this.listener.onFailure(failure);
		}
	}

	private markSettled(): boolean {
		const isFirst = !this.isSettled;
		this.isSettled = true;
		return isFirst;
	}

	private describeError(error: NodeJS.ErrnoException): TargetFailure {
		return { kind: this.toFailureKind(error), mayHaveRun: this.hasStartedSending, message: error.message };
	}

	private toFailureKind(error: NodeJS.ErrnoException): TargetFailureKind {
		if (this.isCancelled) {
			return TargetFailureKind.Cancelled;
		}
		if (!this.hasStartedSending) {
			return TargetFailureKind.Unreachable;
		}
		const isTimeout = error.code === 'UND_ERR_HEADERS_TIMEOUT' || error.code === 'UND_ERR_BODY_TIMEOUT';
		return isTimeout ? TargetFailureKind.Timeout : TargetFailureKind.Broken;
	}
}

class CancelledError extends Error {
	constructor() {
		super('The call was cancelled.');
	}
}
