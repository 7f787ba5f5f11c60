/** Sends requests to targets over pooled connections and records when targets send data. */
import type { Disposable } from '@papayawell/core';
import type { TargetResponseInfo, GatewayRequest, HeaderCodec } from '../common/gatewayRequest.js';
import type { ResponseHead } from '../common/responseParser.js';
import type { BackOffRequest } from '../common/targetBackOff.js';
import { parseBackOff } from '../common/targetBackOff.js';
import type { TargetState } from '../common/targetState.js';
import { ConnectionPool } from './connectionPool.js';
import type {
	ConnectionFailure,
	ConnectionListener,
	EndEvidence,
	TargetConnection,
} from './targetConnection.js';
import { isNotExecutedStatus } from '../common/gatewayRequest.js';
import { fetchDocument } from './documentFetch.js';

/**
 * After a reset on a connection that was idle for long, it is not known whether the request ran. Requests that must
 * not run twice are therefore not sent on connections that were idle for longer than this.
 */
const NON_REPEATABLE_IDLE_LIMIT_MS = 1000;
/** Limit of the body of a response to another request, which is read to get to the awaited one. */
const MAX_CROSSED_BYTES = 1_048_576;
const CRLF = '\r\n';
const HTTP_SERVICE_UNAVAILABLE = 503;

export interface CallListener {
	/** Called right before the first byte of the request is written. */
	onRequestWriting(): void;
	onHead(head: ResponseHead, facts: TargetResponseInfo): void;
	onBody(chunk: Buffer): void;
	onEnd(): void;
	/** @param mayHaveRun whether any byte of the request was written */
	onFailure(failure: ConnectionFailure, mayHaveRun: boolean, message: string): void;
}

/** A request as it is sent to a target or to another instance. */
export interface OutgoingRequest {
	readonly request: GatewayRequest;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer;
	readonly isRepeatable: boolean;
	/** Whether another instance gets the request, and answers for a target. */
	readonly isRelayed: boolean;
}

export interface Call {
	cancel(): void;
	pause(): void;
	resume(): void;
}

export interface TargetClientOptions {
	readonly codec: HeaderCodec;
	/** Returns how many connections this instance may open to one target of a service. */
	readonly getConnectionLimit: (service: string) => number;
	readonly onConnectionOpened: () => void;
	/** Called when a response is dropped because it belongs to another request. */
	readonly onCrossedResponse: (target: string, attemptId: string) => void;
	/** Whether a connection may be opened to see whether a target lives. */
	readonly mayProbe: (target: TargetState) => boolean;
	/** Called when a response without a length counts as complete at the end of its connection. */
	readonly onUnframedEnd: (target: string, attemptId: string, evidence: EndEvidence) => void;
	/** Called when a target has sent something. */
	readonly onTargetContact: () => void;
	/** Called when a target announces in a response that it leaves. */
	readonly onTargetLeaving: (target: TargetState) => void;
	/**
	 * Called when a target says in a response how many requests a second it takes from the whole fleet.
	 * @param text undefined if it names no limit
	 */
	readonly onLimitStated: (target: TargetState, text: string | undefined) => void;
	/**
	 * Called when a target says in a response whether it is brittle.
	 * @param text requests that it may have to reject in a second; undefined if it is not brittle
	 * @param isRejection whether the target rejected the request, so that it has not run
	 * @param load its load report; undefined if the response carries none
	 */
	readonly onBrittlenessStated: (
		target: TargetState,
		text: string | undefined,
		isRejection: boolean,
		load: string | undefined,
	) => void;
	/**
	 * Called when a target has responded.
	 * @param text for how long it stays cold; undefined if it does not tell
	 */
	readonly onColdnessStated: (target: TargetState, text: string | undefined) => void;
	/**
	 * Called when a target says in a response how loaded it is.
	 * @param text undefined if it does not tell
	 * @param isCounted whether the request is still on the target
	 */
	readonly onLoadStated: (target: TargetState, text: string | undefined, isCounted: boolean) => void;
	/** Called when a target that rejects a request states, validly or not, for how long it wants no further one. */
	readonly onBackOffRequested: (target: TargetState, request: BackOffRequest) => void;
}

export class TargetClient implements Disposable {
	private readonly pools = new Map<string, ConnectionPool>();

	constructor(private readonly options: TargetClientOptions) {}

	/** Sends a request; undefined if the connection limit is reached. */
	public send(target: TargetState, outgoing: OutgoingRequest, listener: CallListener): Call | undefined {
		const { request, headers, body, isRepeatable, isRelayed } = outgoing;
		const limit = isRelayed ? target.record.slots : this.options.getConnectionLimit(target.record.service);
		const idleLimitMs = isRepeatable ? undefined : NON_REPEATABLE_IDLE_LIMIT_MS;
		const connection = this.getPool(target).acquire(performance.now(), limit, idleLimitMs);
		if (connection === undefined) {
			return undefined;
		}
		const head = encodeHead(request, headers, body.length);
		const call = new TargetCall(connection, target, outgoing, listener, this.options);
		call.send(body.length === 0 ? [head] : [head, body]);
		return call;
	}

	/**
	 * Checks whether a target accepts connections; the connection stays in the pool for the next request.
	 * @param holdMs how long the connection has to stay open
	 */
	public probe(target: TargetState, holdMs: number): Promise<boolean> {
		return new Promise((resolve) => {
			this.getPool(target)
				.open()
				.probe(holdMs, (result) => {
					resolve(result === 'open');
				});
		});
	}

	/** Fetches a document from a target; undefined, after a call of `onFailure`, if the fetch fails. */
	public fetchDocument(
		target: TargetState,
		path: string,
		timeoutMs: number,
		onFailure: (detail: string) => void,
	): Promise<string | undefined> {
		const { service, address } = target.record;
		if (target.computePause(performance.now()) > 0) {
			onFailure('the target wants no requests for now');
			return Promise.resolve(undefined);
		}
		target.requestLimit.consume(performance.now());
		target.coldness.recordSent(performance.now());
		const limit = this.options.getConnectionLimit(service);
		const connection = this.getPool(target).acquire(performance.now(), limit);
		if (connection === undefined) {
			onFailure(`the limit of ${limit} connections to the target is reached`);
			return Promise.resolve(undefined);
		}
		return fetchDocument(connection, address, path, timeoutMs, onFailure);
	}

	/** Closes the idle connections to a target that was removed or is leaving. */
	public closePools(id: string): void {
		for (const [key, pool] of this.pools) {
			if (key.startsWith(`${id}@`)) {
				this.pools.delete(key);
				pool.dispose();
			}
		}
	}

	public dispose(): void {
		for (const pool of this.pools.values()) {
			pool.dispose();
		}
		this.pools.clear();
	}

	private getPool(target: TargetState): ConnectionPool {
		const { id, address, startedAtMs } = target.record;
		const key = `${id}@${address}@${startedAtMs}`;
		let pool = this.pools.get(key);
		if (pool === undefined) {
			pool = new ConnectionPool(address, this.options.onConnectionOpened, () =>
				this.options.mayProbe(target),
			);
			this.pools.set(key, pool);
		}
		return pool;
	}
}

/** One request to one target. Responses that carry the id of another attempt are dropped. */
class TargetCall implements Call, ConnectionListener {
	private sentAtMs = 0;
	private isSent = false;
	private isCancelled = false;
	private isPaused = false;
	private isEnded = false;
	private isCrossed = false;
	private crossedBytes = 0;

	constructor(
		private readonly connection: TargetConnection,
		private readonly target: TargetState,
		private readonly outgoing: OutgoingRequest,
		private readonly listener: CallListener,
		private readonly options: TargetClientOptions,
	) {}

	public send(bytes: readonly Buffer[]): void {
		this.connection.send(this.outgoing.request.method, bytes, () => this.handleRequestWriting(), this);
	}

	public cancel(): void {
		this.isCancelled = true;
		this.end();
		this.connection.close();
	}

	/** Has no effect once the call has ended: nothing more of it is read. */
	public pause(): void {
		if (!this.isPaused && !this.isEnded) {
			this.isPaused = true;
			this.target.recordReadingPaused();
			this.connection.pause();
		}
	}

	/** Has no effect once the call has ended: its connection may carry another one by then. */
	public resume(): void {
		if (this.isPaused) {
			this.endPause();
			this.connection.resume();
		}
	}

	public onHead(head: ResponseHead): void {
		const nowMs = performance.now();
		this.target.recordActivity(nowMs);
		const { request, isRelayed } = this.outgoing;
		const info = this.options.codec.readResponse(head.status, head.headers);
		const facts = isRelayed ? toRelayedInfo(head.status, info) : info;
		if (facts.attemptId === undefined && this.connection.isReused) {
			// It may be a second copy of an earlier answer, so nothing that it says is taken for this request.
			this.cancel();
			this.listener.onFailure('malformed', true, 'an answer without an id on a reused connection');
			return;
		}
		this.isCrossed = facts.attemptId !== undefined && facts.attemptId !== request.attemptId;
		if (this.isCrossed) {
			this.options.onCrossedResponse(this.target.record.id, request.attemptId);
			return;
		}
		if (!isRelayed) {
			this.options.onTargetContact();
		}
		if (!facts.isMisdirected && !isRelayed) {
			this.handleTargetState(head.status, facts, nowMs);
		}
		this.target.recordTimeToHead(nowMs - this.sentAtMs, nowMs);
		this.listener.onHead(head, facts);
	}

	/** Handles what the target says of itself. It applies to the start of the target that the request was sent to. */
	private handleTargetState(status: number, facts: TargetResponseInfo, nowMs: number): void {
		const { onBackOffRequested, onBrittlenessStated, onColdnessStated } = this.options;
		const { onLimitStated, onLoadStated, onTargetLeaving } = this.options;
		if (facts.isLeaving) {
			onTargetLeaving(this.target);
		}
		if (facts.isSigned || facts.isNotRun) {
			onLimitStated(this.target, facts.requestLimit);
			const isRejection = facts.isNotRun && status === HTTP_SERVICE_UNAVAILABLE;
			onBrittlenessStated(this.target, facts.brittleness, isRejection, facts.load);
			onColdnessStated(this.target, facts.coldTime);
			// The head of a stream precedes its events; that of another answer follows the work.
			const isStream = this.outgoing.request.prompt.length > 0;
			onLoadStated(this.target, facts.load, isStream && !facts.isNotRun);
		}
		if (status !== HTTP_SERVICE_UNAVAILABLE) {
			return;
		}
		const request = parseBackOff(facts.retryAfter);
		if (request.kind === 'wait') {
			this.target.recordBackOff(nowMs + request.waitMs);
		}
		if (request.kind !== 'none') {
			onBackOffRequested(this.target, request);
		}
	}

	public onBody(chunk: Buffer): void {
		this.target.recordActivity(performance.now());
		if (!this.outgoing.isRelayed) {
			this.options.onTargetContact();
		}
		if (!this.isCrossed) {
			this.listener.onBody(chunk);
			return;
		}
		this.crossedBytes += chunk.length;
		if (this.crossedBytes > MAX_CROSSED_BYTES) {
			this.cancel();
			this.listener.onFailure('malformed', true, 'the answer to another request is too long');
		}
	}

	public onEnd(): boolean {
		if (this.isCrossed) {
			this.isCrossed = false;
			return false;
		}
		const { endEvidence } = this.connection;
		if (endEvidence !== undefined) {
			this.options.onUnframedEnd(this.target.record.id, this.outgoing.request.attemptId, endEvidence);
		}
		this.end();
		this.listener.onEnd();
		return true;
	}

	public onFailure(failure: ConnectionFailure, message: string): void {
		this.end();
		if (!this.isCancelled) {
			this.listener.onFailure(failure, this.isSent, message);
		}
	}

	private end(): void {
		this.isEnded = true;
		this.endPause();
	}

	private endPause(): void {
		if (this.isPaused) {
			this.isPaused = false;
			this.target.recordReadingResumed(performance.now());
		}
	}

	private handleRequestWriting(): boolean {
		if (this.isCancelled) {
			return false;
		}
		this.isSent = true;
		this.sentAtMs = performance.now();
		this.listener.onRequestWriting();
		return true;
	}
}

/** An instance that refuses a request promises by the status that it has not run; only a target signs its answers. */
function toRelayedInfo(status: number, info: TargetResponseInfo): TargetResponseInfo {
	return { ...info, isNotRun: !info.isSigned && isNotExecutedStatus(status) };
}

function encodeHead(request: GatewayRequest, headers: readonly string[], bodyBytes: number): Buffer {
	const lines = [`${request.method} ${request.url} HTTP/1.1`];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		lines.push(`${headers[index] ?? ''}: ${headers[index + 1] ?? ''}`);
	}
	if (bodyBytes > 0 || (request.method !== 'GET' && request.method !== 'HEAD')) {
		lines.push(`Content-Length: ${bodyBytes}`);
	}
	return Buffer.from(lines.join(CRLF) + CRLF + CRLF, 'latin1');
}
