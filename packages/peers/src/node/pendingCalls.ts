/** Outgoing calls that await an answer. Answers are matched to calls by ID. */
import type { PeerResponse, PeerError, Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import type { AnswerBody } from '../common/outbox.js';
import { DocumentAssembler } from './documentTransfer.js';

const MAX_PENDING_CALLS = 4_096;

type ResultCallback = (result: Result<PeerResponse, PeerError>) => void;

interface PendingCall {
	readonly to: string;
	readonly settle: ResultCallback;
	readonly timer: NodeJS.Timeout;
	readonly assembler: DocumentAssembler;
}

export class PendingCalls {
	private readonly pending = new Map<number, PendingCall>();
	private lastId = 0;

	/** Registers a call, then invokes `send` with its ID. */
	public start(
		to: string,
		timeoutMs: number,
		send: (id: number) => void,
	): Promise<Result<PeerResponse, PeerError>> {
		if (this.pending.size >= MAX_PENDING_CALLS) {
			return Promise.resolve(
				Err({ kind: 'budget', message: `Too many calls are pending (limit ${MAX_PENDING_CALLS}).` }),
			);
		}
		const id = this.nextId();
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.settle(id, Err({ kind: 'timeout', message: `No answer from ${to} within ${timeoutMs} ms.` }));
			}, timeoutMs);
			this.pending.set(id, { to, settle: resolve, timer, assembler: new DocumentAssembler() });
			send(id);
		});
	}

	/** Settles the matching call. Drops answers to unknown calls and answers that did not come from the callee. */
	public async receive(from: string, id: number, body: AnswerBody): Promise<void> {
		const call = this.pending.get(id);
		if (call?.to !== from) {
			return;
		}
		if (body.kind === 'failed') {
			this.settle(id, Err({ kind: 'unreachable', message: `${from} failed to handle the call.` }));
			return;
		}
		if (body.kind !== 'transfer') {
			this.settle(id, Ok(body));
			return;
		}
		if (body.transfer.hash === '') {
			this.settle(id, Ok({ kind: 'configuration', version: body.transfer.version, document: undefined }));
			return;
		}
		await this.receiveChunk(from, id, call, body.transfer);
	}

	/** Fails all pending calls to a router whose stream has closed. */
	public failPeer(instance: string): void {
		for (const [id, call] of [...this.pending]) {
			if (call.to === instance) {
				this.settle(
					id,
					Err({
						kind: 'unreachable',
						message: `The stream to ${instance} closed before the answer arrived.`,
					}),
				);
			}
		}
	}

	public failAll(): void {
		for (const id of [...this.pending.keys()]) {
			this.settle(id, Err({ kind: 'unreachable', message: 'This router is shutting down.' }));
		}
	}

	private async receiveChunk(
		from: string,
		id: number,
		call: PendingCall,
		transfer: Parameters<DocumentAssembler['add']>[0],
	): Promise<void> {
		const state = call.assembler.add(transfer);
		if (state === 'incomplete') {
			return;
		}
		const document = state === 'complete' ? await call.assembler.decode(undefined) : undefined;
		if (document === undefined) {
			this.settle(
				id,
				Err({
					kind: 'unreachable',
					message: `${from} sent a document that is malformed or does not match its hash.`,
				}),
			);
			return;
		}
		this.settle(id, Ok({ kind: 'configuration', version: transfer.version, document }));
	}

	private settle(id: number, result: Result<PeerResponse, PeerError>): void {
		const call = this.pending.get(id);
		if (call !== undefined) {
			this.pending.delete(id);
			clearTimeout(call.timer);
			call.settle(result);
		}
	}

	private nextId(): number {
		this.lastId = (this.lastId + 1) >>> 0;
		return this.lastId;
	}
}
