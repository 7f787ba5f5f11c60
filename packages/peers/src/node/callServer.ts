/** Runs the handler for calls from other routers and builds the answers. */
import type { PeerResponse, PeerRequest } from '@papayawell/core';
import type { AnswerBody } from '../common/outbox.js';
import { makeVersionedDocument, splitDocument } from './documentTransfer.js';
import type { Logger } from './logger.js';

export type CallHandler = (from: string, request: PeerRequest) => PeerResponse | Promise<PeerResponse>;

export class CallServer {
	private handler: CallHandler | undefined;

	constructor(private readonly logger: Logger) {}

	public setHandler(handler: CallHandler): void {
		this.handler = handler;
	}

	/** Returns undefined if no handler is registered or if it threw. */
	public async runHandler(from: string, request: PeerRequest): Promise<PeerResponse | undefined> {
		try {
			return await this.handler?.(from, request);
		} catch (error) {
			this.logger('error', `call ${request.kind} from ${from} failed: ${String(error)}`);
			return undefined;
		}
	}

	/** Returns the bodies to send in order: one, or one for each chunk if the answer contains a document. */
	public async buildAnswer(from: string, request: PeerRequest | undefined): Promise<readonly AnswerBody[]> {
		const answer = request && (await this.runHandler(from, request));
		if (answer === undefined) {
			return [{ kind: 'failed' }];
		}
		if (answer.kind !== 'configuration' || answer.document === undefined) {
			return [answer];
		}
		const target = makeVersionedDocument(answer.version, answer.document);
		const chunks = await splitDocument(target, undefined);
		return chunks.map((transfer) => ({ kind: 'transfer', transfer }));
	}
}
