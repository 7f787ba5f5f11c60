/** The HTTP server for callers: authenticates requests, enforces their limits, reads them and dispatches them. */
import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CallerKey, CallersSettings, ProblemKind, Result } from '@papayawell/core';
import { Err, Ok, Outcome, RequestKind } from '@papayawell/core';
import type { CallerRequest } from '../common/callerRequest.js';
import { CHAT_HEADER, TIMEOUT_HEADER } from '../common/callerRequest.js';
import type { EntriesResponse } from '../common/entries.js';
import { parseGenerationBody } from '../common/generationBody.js';
import { makeProblem } from '../common/problems.js';
import { parseBearerKey, parseTimeout, selectForwardedHeaders } from '../common/requestHeaders.js';
import { ResponseWriter } from './responseWriter.js';
import { readBody } from './bodyReader.js';

const ENTRIES_PATH = '/v1/entries';
const GENERATION_PATH = '/v1/chat/completions';
/** Interval at which Node.js checks connections against the head and request time-outs. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;
const NO_CONFIGURATION_RETRY_AFTER_MS = 1000;

/** Functions that the server calls in the rest of the router. */
export interface CallersServerDelegate {
	/** Finds the caller by the SHA-256 of its key. `no-configuration`: no configuration was received yet. */
	findCaller(keyHash: string): CallerKey | undefined | 'no-configuration';
	listEntries(caller: CallerKey, chat: string | undefined): EntriesResponse;
	/** Handles the request and writes the response to `writer`; never rejects. */
	handle(request: CallerRequest, writer: ResponseWriter): Promise<void>;
}

interface RequestError {
	readonly kind: ProblemKind;
	readonly detail: string;
	readonly retryAfterMs?: number;
}

export class CallersServer {
	private readonly server: Server;
	private readonly inFlight = new Set<ServerResponse>();
	private readonly idleListeners: (() => void)[] = [];
	private isDraining = false;

	constructor(
		private readonly settings: CallersSettings,
		private readonly delegate: CallersServerDelegate,
	) {
		this.server = createServer(
			{
				maxHeaderSize: settings.maxHeadBytes,
				headersTimeout: settings.headTimeoutMs,
				requestTimeout: settings.headTimeoutMs + settings.bodyTimeoutMs,
				connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
				keepAliveTimeout: settings.entriesTtlMs,
				noDelay: true,
			},
			(message, response) => {
				void this.serve(message, response);
			},
		);
		this.server.maxConnections = settings.maxConnections;
		this.server.on('clientError', respondToClientError);
	}

	/** Number of requests whose response is not finished. */
	public get inFlightCount(): number {
		return this.inFlight.size;
	}

	/** Starts to listen; resolves with the bound `ip:port`. */
	public async listen(): Promise<string> {
		const split = this.settings.address.lastIndexOf(':');
		const host = this.settings.address.slice(0, split);
		const port = Number(this.settings.address.slice(split + 1));
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, resolve);
		});
		const bound = this.server.address() as AddressInfo;
		return `${bound.address}:${bound.port}`;
	}

	/** Sends `Connection: close` with the responses of all further requests, so that callers reconnect elsewhere. */
	public startDraining(): void {
		this.isDraining = true;
	}

	/** Stops listening; resolves when all requests in flight have finished. */
	public async finish(): Promise<void> {
		this.isDraining = true;
		this.server.close();
		this.server.closeIdleConnections();
		if (this.inFlight.size > 0) {
			await new Promise<void>((resolve) => this.idleListeners.push(resolve));
		}
		this.server.closeIdleConnections();
	}

	/** Closes every connection at once; returns the number of requests that were aborted. */
	public closeAllConnections(): number {
		const abortedCount = this.inFlight.size;
		this.server.close();
		this.server.closeAllConnections();
		return abortedCount;
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		this.trackInFlight(response);
		const writer = new ResponseWriter(response, randomUUID());
		const authenticated = this.findCaller(message);
		if (authenticated.err) {
			this.refuse(writer, authenticated.val);
			return;
		}
		const caller = authenticated.val;
		const url = message.url ?? '/';
		if (message.method === 'GET' && removeQuery(url) === ENTRIES_PATH) {
			this.serveEntries(url, caller, writer);
			return;
		}
		const abort = new AbortController();
		response.once('close', () => {
			// An abort is costly, since it creates an error with its stack trace: only if the response was not sent in full.
			if (!response.writableFinished) {
				abort.abort();
			}
		});
		const request = await this.readRequest(message, writer.requestId, caller, abort.signal);
		if (request.err) {
			// The rest of the body stays unread, so the connection can't be reused for another request.
			response.setHeader('connection', 'close');
			this.refuse(writer, request.val);
			return;
		}
		await this.delegate.handle(request.val, writer);
	}

	private trackInFlight(response: ServerResponse): void {
		this.inFlight.add(response);
		if (this.isDraining) {
			response.setHeader('connection', 'close');
		}
		response.once('close', () => {
			this.inFlight.delete(response);
			if (this.inFlight.size === 0) {
				this.idleListeners.splice(0).forEach((listener) => {
					listener();
				});
			}
		});
	}

	private findCaller(message: IncomingMessage): Result<CallerKey, RequestError> {
		const key = parseBearerKey(message.headers.authorization);
		if (key === undefined) {
			return Err({ kind: 'unauthenticated', detail: 'Send the caller key as a bearer token.' });
		}
		const keyHash = createHash('sha256').update(key).digest('hex');
		const caller = this.delegate.findCaller(keyHash);
		if (caller === 'no-configuration') {
			const detail = 'The router has not received its configuration.';
			return Err({ kind: 'no-configuration', detail, retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS });
		}
		if (caller === undefined) {
			return Err({ kind: 'unauthenticated', detail: 'The caller key is unknown.' });
		}
		return Ok(caller);
	}

	private serveEntries(url: string, caller: CallerKey, writer: ResponseWriter): void {
		const chat = new URL(url, 'http://router').searchParams.get('chat') ?? undefined;
		const body = Buffer.from(JSON.stringify(this.delegate.listEntries(caller, chat)));
		const headers = { 'content-type': 'application/json', 'cache-control': 'no-store' };
		writer.sendComplete(200, headers, body, Outcome.Completed);
	}

	private async readRequest(
		message: IncomingMessage,
		requestId: string,
		caller: CallerKey,
		signal: AbortSignal,
	): Promise<Result<CallerRequest, RequestError>> {
		const receivedAtMs = performance.now();
		const timeoutMs = parseTimeout(readHeader(message, TIMEOUT_HEADER), this.settings.deadlineMs);
		if (timeoutMs === undefined) {
			return Err({ kind: 'malformed-request', detail: `${TIMEOUT_HEADER} is not a positive whole number.` });
		}
		const body = await readBody(message, this.settings.maxBodyBytes, this.settings.bodyTimeoutMs);
		if (body.err) {
			return Err(describeBodyError(body.val, this.settings));
		}
		const url = message.url ?? '/';
		const path = removeQuery(url);
		const method = message.method ?? 'GET';
		const isGeneration = method === 'POST' && path === GENERATION_PATH;
		const generation = isGeneration ? parseGenerationBody(body.val) : undefined;
		if (generation?.err === true) {
			return Err({ kind: 'malformed-request', detail: generation.val });
		}
		return Ok({
			requestId,
			customer: caller.customer,
			caller: caller.caller,
			kind: isGeneration ? RequestKind.Generation : RequestKind.Call,
			method,
			path,
			url,
			headers: selectForwardedHeaders(message.headers),
			body: body.val,
			generation: generation?.val,
			chat: readHeader(message, CHAT_HEADER),
			receivedAtMs,
			deadlineAtMs: receivedAtMs + timeoutMs,
			signal,
		});
	}

	private refuse(writer: ResponseWriter, problem: RequestError): void {
		writer.sendProblem(makeProblem({ ...problem, outcome: Outcome.NotRun, requestId: writer.requestId }));
	}
}

function describeBodyError(
	error: 'body-too-large' | 'slow-sender' | 'cancelled',
	settings: CallersSettings,
): RequestError {
	switch (error) {
		case 'body-too-large':
			return { kind: error, detail: `The limit is ${settings.maxBodyBytes} bytes.` };
		case 'slow-sender':
			return { kind: error, detail: `The body must arrive within ${settings.bodyTimeoutMs} ms.` };
		case 'cancelled':
			return { kind: 'slow-sender', detail: 'The caller went away before the body was whole.' };
	}
}

function removeQuery(url: string): string {
	const query = url.indexOf('?');
	return query < 0 ? url : url.slice(0, query);
}

function readHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Responds to a request that Node.js could not parse or that timed out; the request was not handled. */
function respondToClientError(error: NodeJS.ErrnoException, socket: Socket): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}
	const kind = toProblemKind(error);
	const problem = makeProblem({
		kind,
		detail: 'The request was refused.',
		outcome: Outcome.NotRun,
		requestId: randomUUID(),
	});
	const text = JSON.stringify(problem);
	const head = [
		`HTTP/1.1 ${problem.status} ${problem.title}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(text)}`,
		`papayawell-outcome: ${problem.outcome}`,
		`papayawell-request-id: ${problem.requestId}`,
		'connection: close',
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${text}`);
}

function toProblemKind(error: NodeJS.ErrnoException): ProblemKind {
	if (error.code === 'HPE_HEADER_OVERFLOW') {
		return 'head-too-large';
	}
	return error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'slow-sender' : 'malformed-request';
}
