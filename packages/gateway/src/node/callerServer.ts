/** HTTP server for callers: reads complete requests and starts an exchange for each. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { Server as TcpServer } from 'node:net';
import type { Disposable } from '@papayawell/core';
import type { ConfigurationSnapshot } from '../common/activeConfiguration.js';
import { BodyParts } from '../common/bodyParts.js';
import type { CallerLimits, Customer, Route } from '../common/gatewayConfiguration.js';
import { DEFAULT_CALLER_LIMITS } from '../common/gatewayConfiguration.js';
import type { GatewayRequest } from '../common/gatewayRequest.js';
import { listSharedPartKeys } from '../common/promptChain.js';
import type { MemoryBudget } from '../common/memoryBudget.js';
import { estimateRequestBytes } from '../common/memoryBudget.js';
import type { RelayedRequest } from '../common/relayHeaders.js';
import type { RefusalReason } from '../common/refusal.js';
import { CallerResponse } from './callerResponse.js';
import { Exchange } from './exchange.js';
import type { ExchangeParts } from './exchangeParts.js';
import { listenAt } from './listenAt.js';

/** How often Node.js checks connections for header time-outs. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/** Length of the accept queue: many callers reconnect at once after a restart. */
const LISTEN_BACKLOG = 1024;

export interface CallerServerOptions {
	/** IP address and port. */
	readonly address: string;
	readonly exchange: ExchangeParts;
	readonly readSnapshot: () => ConfigurationSnapshot | undefined;
	/** Whether the store that holds the configuration does not answer. */
	readonly isStoreUnreachable: () => boolean;
	/** Undefined if what is held for callers is not limited. */
	readonly memory: MemoryBudget | undefined;
	/** Further connections are closed at once; undefined if they are not limited. */
	readonly maxConnections: number | undefined;
}

interface ReceivedRequest {
	readonly request: GatewayRequest;
	readonly message: IncomingMessage;
	readonly callerResponse: CallerResponse;
	readonly receivedAtMs: number;
	readonly apiKey: string | undefined;
	readonly relayed: RelayedRequest | undefined;
}

export class CallerServer implements Disposable {
	private readonly server: Server;
	private readonly exchanges = new Set<Exchange>();
	/** Responses that have not left the process whole. */
	private readonly responses = new Set<ServerResponse>();
	private isDraining = false;
	private isRefusing = false;
	private limits = DEFAULT_CALLER_LIMITS;

	constructor(private readonly options: CallerServerOptions) {
		this.server = createServer(
			{
				maxHeaderSize: DEFAULT_CALLER_LIMITS.maxHeaderBytes,
				headersTimeout: DEFAULT_CALLER_LIMITS.headerTimeoutMs,
				requestTimeout: 0,
				keepAliveTimeout: DEFAULT_CALLER_LIMITS.idleTimeoutMs,
				connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
				noDelay: true,
			},
			(message, response) => {
				this.runStep(message, response, () => {
					this.handle(message, response);
				});
			},
		);
		if (options.maxConnections !== undefined) {
			this.server.maxConnections = options.maxConnections;
		}
		this.server.on('drop', () => {
			options.exchange.metrics.countDecision('callerConnectionRefused');
		});
	}

	/** Number of requests whose response is not complete. */
	public get requestsInFlight(): number {
		return this.responses.size;
	}

	public listen(): Promise<void> {
		const { address, exchange } = this.options;
		return listenAt(this.server, {
			address,
			backlog: LISTEN_BACKLOG,
			onError: (error) => {
				exchange.log.write('state', 'listenerError', { address, detail: error.message });
			},
		});
	}

	/** Applies the limits of a new configuration. */
	public setLimits(limits: CallerLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** Sends `Connection: close` with all further responses, so that callers reconnect to another instance. */
	public startDraining(): void {
		this.isDraining = true;
	}

	/** Refuses the requests that wait to be sent and may not end before the process exits. */
	public refuseWaiting(): void {
		for (const exchange of this.exchanges) {
			exchange.handleStop();
		}
	}

	/** Refuses all further requests, since no time is left to serve them. */
	public startRefusing(): void {
		this.isRefusing = true;
		this.options.exchange.admission?.refuseAll();
	}

	/** Ends the requests whose answer has not begun, since the process exits. */
	public endUnanswered(): void {
		for (const exchange of this.exchanges) {
			exchange.endBeforeExit();
		}
	}

	/** Breaks off the answers that have not ended, since the process exits now. */
	public resetAnswers(): void {
		for (const exchange of this.exchanges) {
			exchange.resetAtExit();
		}
	}

	/** Stops accepting connections. */
	public closeListener(): void {
		// The method of the HTTP server would also close connections that the runtime takes to be idle; see below.
		TcpServer.prototype.close.call(this.server);
	}

	/** Closes the idle connections, once all answers have left the process. */
	public closeIdleConnections(): void {
		// The runtime takes a connection to be idle as soon as its answer is written, also if most of it waits to be sent.
		if (![...this.responses].some(({ writableEnded }) => writableEnded)) {
			this.server.closeIdleConnections();
		}
	}

	/** Moves requests off targets that have stopped sending. */
	public moveOffUnresponsiveTargets(nowMs: number): void {
		for (const exchange of this.exchanges) {
			exchange.moveOffUnresponsiveTarget(nowMs);
		}
	}

	public dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Handles a request that another instance relays to this one. */
	public handleRelayed(message: IncomingMessage, response: ServerResponse, relayed: RelayedRequest): void {
		this.runStep(message, response, () => {
			this.handle(message, response, relayed);
		});
	}

	/** Runs a step of one request. An error closes its connection, and does not end the process with all other requests. */
	private runStep(message: IncomingMessage, response: ServerResponse, step: () => void): void {
		try {
			step();
		} catch (error) {
			const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
			this.options.exchange.log.write('state', 'requestCrashed', { path: message.url ?? '', detail });
			response.destroy();
		}
	}

	private handle(message: IncomingMessage, response: ServerResponse, relayed?: RelayedRequest): void {
		const receivedAtMs = performance.now();
		closeWithConnection(message, response);
		this.responses.add(response);
		const { memory } = this.options;
		const { codec } = this.options.exchange;
		const request = codec.readRequest(message.method ?? '', message.url ?? '', message.rawHeaders);
		const callerResponse = new CallerResponse(
			response,
			(name) => codec.isForwardedToCaller(name),
			() => this.isDraining,
			(answer) =>
				memory?.open(
					request.attemptId,
					answer,
					estimateRequestBytes(message.rawHeaders, request.prompt.length),
				),
		);
		response.once('close', () => {
			this.responses.delete(response);
			callerResponse.memory?.release();
		});
		const apiKey = codec.readApiKey(message.headers);
		const received: ReceivedRequest = { request, message, callerResponse, receivedAtMs, apiKey, relayed };
		const snapshot = this.options.readSnapshot();
		if (this.isRefusing || snapshot === undefined) {
			const unavailableReason = this.options.isStoreUnreachable() ? 'storeLost' : 'noConfiguration';
			this.refuse(
				received,
				this.isRefusing ? 'draining' : unavailableReason,
				snapshot?.configuration.version ?? 0,
			);
			return;
		}
		if (request.attemptId === '') {
			this.refuse(received, 'missingId', snapshot.configuration.version);
			return;
		}
		const [path = ''] = request.url.split('?', 1);
		const found = snapshot.routes.find(message.headers.host ?? '', path, apiKey);
		switch (found.kind) {
			case 'noRoute':
			case 'unknownKey':
				this.refuse(received, found.kind, snapshot.configuration.version);
				return;
			case 'found':
				this.readBody(received, response, found.route, found.customer, snapshot.configuration.version);
				return;
		}
	}

	private readBody(
		received: ReceivedRequest,
		response: ServerResponse,
		route: Route,
		customer: Customer | undefined,
		configurationVersion: number,
	): void {
		const { message, request, callerResponse, receivedAtMs, apiKey, relayed } = received;
		const { memory } = callerResponse;
		memory?.setCustomer(customer?.name ?? '');
		if (memory?.hasRoomForBody(Number(message.headers['content-length'] ?? 0)) === false) {
			this.refuse(received, 'memoryShort', configurationVersion);
			return;
		}
		const parts = new BodyParts();
		let exchange: Exchange | undefined;
		const timer = setTimeout(() => {
			// The body did not arrive in time; an incomplete request gets no response.
			response.destroy();
		}, this.limits.idleTimeoutMs);
		const refuseBody = (reason: RefusalReason): void => {
			message.removeAllListeners('data');
			message.removeAllListeners('end');
			clearTimeout(timer);
			parts.clear();
			memory?.releaseBody();
			this.refuse(received, reason, configurationVersion);
		};
		message.on('data', (part: Buffer) => {
			parts.add(part);
			if (parts.bytes > this.limits.maxBodyBytes) {
				refuseBody('bodyTooLarge');
			} else if (memory?.addBody(part.length) === false) {
				refuseBody('memoryShort');
			}
		});
		const start = (): void => {
			clearTimeout(timer);
			// The request is reachable until its response is closed, which may be long after the body was needed.
			const body = parts.take();
			const traits = {
				fingerprint: computeFingerprint(customer?.name, request, body),
				promptParts: listSharedPartKeys(request.prompt),
			};
			const input = {
				request,
				route,
				customer,
				body,
				traits,
				receivedAtMs,
				apiKey,
				relayed,
				configurationVersion,
			};
			const started = new Exchange(this.options.exchange, input, callerResponse, () => {
				this.exchanges.delete(started);
				exchange = undefined;
				memory?.releaseBody();
			});
			exchange = started;
			this.exchanges.add(started);
			started.start();
		};
		message.on('end', () => {
			this.runStep(message, response, start);
		});
		response.on('close', () => {
			clearTimeout(timer);
			if (!response.writableFinished) {
				exchange?.cancel();
			}
		});
	}

	/**
	 * Refuses a request. If the connection is closed after the answer, the body is read first: with a part of it unread the
	 * connection would be reset, and a caller that is still sending may not get the answer.
	 */
	private refuse(received: ReceivedRequest, reason: RefusalReason, version: number): void {
		const { message } = received;
		if (!this.isDraining || message.readableEnded) {
			this.sendRefusal(received, reason, version);
			return;
		}
		const timer = setTimeout(() => {
			message.destroy();
		}, this.limits.idleTimeoutMs);
		message.once('end', () => {
			this.sendRefusal(received, reason, version);
		});
		message.once('close', () => {
			clearTimeout(timer);
		});
		message.resume();
	}

	private sendRefusal(
		{ request, callerResponse, receivedAtMs }: ReceivedRequest,
		reason: RefusalReason,
		version: number,
	): void {
		const { codec, log, metrics } = this.options.exchange;
		const { status, retryAfterMs } = callerResponse.refuse(
			reason,
			reason,
			codec.buildGatewayResponseHeaders(request.attemptId),
		);
		metrics.countRequest('', reason);
		log.write('decision', 'requestEnded', {
			id: request.attemptId,
			outcome: 'refused',
			status,
			reason,
			retryAfterMs,
			configurationVersion: version,
			totalMs: Math.round(performance.now() - receivedAtMs),
		});
	}
}

/** The runtime does not close a response that waits for an earlier one on a connection that ends. */
function closeWithConnection({ socket }: IncomingMessage, response: ServerResponse): void {
	const close = (): void => {
		if (!response.closed) {
			response.emit('close');
		}
	};
	// Each of the requests that wait on the connection adds one.
	socket.setMaxListeners(0);
	socket.once('close', close);
	response.once('close', () => {
		socket.off('close', close);
	});
}

/** Hashes the customer and the content of a request; each send of the same request has the same hash. */
function computeFingerprint(customer: string | undefined, request: GatewayRequest, body: Buffer): string {
	const hash = createHash('md5');
	hash.update(`${customer ?? ''}\n${request.method} ${request.url}\n`);
	hash.update(body);
	return hash.digest('base64url');
}
