/** Calls between routers: sends outgoing calls and answers incoming ones. */
import type { PeerResponse, PeerError, PeerRequest, Result, RouterInstance } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import { CallServer } from './callServer.js';
import type { CallHandler } from './callServer.js';
import { PendingCalls } from './pendingCalls.js';
import type { Frame } from './frameCodec.js';
import type { Logger } from './logger.js';
import type { PeerLink } from './peerLink.js';
import { decodeAnswer, decodeCall } from './wireCalls.js';

export interface PeerCallsOptions {
	readonly self: string;
	readonly connect: (router: RouterInstance) => Promise<PeerLink | undefined>;
	readonly getLink: (instance: string) => PeerLink | undefined;
	readonly sendNow: (link: PeerLink) => void;
	readonly readNowMs: () => number;
	readonly logger: Logger;
}

export class PeerCalls {
	private readonly pending = new PendingCalls();
	private readonly server: CallServer;

	constructor(private readonly options: PeerCallsOptions) {
		this.server = new CallServer(options.logger);
	}

	public setHandler(handler: CallHandler): void {
		this.server.setHandler(handler);
	}

	/** Calls another router, opening a stream first if needed. */
	public async call(
		router: RouterInstance,
		request: PeerRequest,
		timeoutMs: number,
	): Promise<Result<PeerResponse, PeerError>> {
		const startedAtMs = this.options.readNowMs();
		const link = await withTimeout(this.options.connect(router), timeoutMs);
		if (link === undefined) {
			return Err({ kind: 'unreachable', message: `Could not open a stream to ${router.instance}.` });
		}
		link.lastCallAtMs = this.options.readNowMs();
		const remainingMs = Math.max(0, timeoutMs - (link.lastCallAtMs - startedAtMs));
		return this.pending.start(router.instance, remainingMs, (id) => {
			link.outbox.addCall({ id, request });
			this.options.sendNow(link);
		});
	}

	/** Handles a call from this router to itself. */
	public async callSelf(request: PeerRequest): Promise<Result<PeerResponse, PeerError>> {
		const answer = await this.server.runHandler(this.options.self, request);
		return answer === undefined
			? Err({ kind: 'unreachable', message: 'No call handler is registered, or it failed.' })
			: Ok(answer);
	}

	/** Handles the calls and answers in a frame. */
	public receive(link: PeerLink, frame: Frame): void {
		for (const wire of frame.answers) {
			void this.pending.receive(link.instance, wire.id ?? 0, decodeAnswer(wire));
		}
		for (const wire of frame.calls) {
			link.lastCallAtMs = this.options.readNowMs();
			void this.sendAnswer(link.instance, wire.id ?? 0, decodeCall(wire));
		}
	}

	public failPeer(instance: string): void {
		this.pending.failPeer(instance);
	}

	public failAll(): void {
		this.pending.failAll();
	}

	/** Sends the answer on the stream that is then open, which may not be the one that the call came on. */
	private async sendAnswer(from: string, id: number, request: PeerRequest | undefined): Promise<void> {
		const bodies = await this.server.buildAnswer(from, request);
		const link = this.options.getLink(from);
		if (link === undefined) {
			return;
		}
		for (const body of bodies) {
			link.outbox.addAnswer({ id, body });
		}
		this.options.sendNow(link);
	}
}

/** Resolves to undefined if `promise` takes longer than `timeoutMs`. */
async function withTimeout<T>(promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>((resolve) => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, timeoutMs);
	});
	try {
		return await Promise.race([promise, timeout]);
	} finally {
		clearTimeout(timer);
	}
}
