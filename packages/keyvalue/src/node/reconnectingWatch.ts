/** A watch of the key-value service that reconnects with back-off and emits a `gap` for each lost connection. */
import type { BackOffPolicy, Disposable, WatchEvent } from '@papayawell/core';
import { computeBackOffMs } from '@papayawell/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import type { WatchResponse } from '../common/etcdMessages.js';
import { sleep } from './sleep.js';
import { computePrefixEnd, decodeEvents, encodeText, watchResponse } from '../common/etcdMessages.js';

/** How long the service may take to send the response headers of a watch. */
const ESTABLISH_TIMEOUT_MS = 3000;

export interface ReconnectingWatchOptions {
	readonly dispatcher: Dispatcher;
	readonly prefix: string;
	/** Returns the origin for the given zero-based connection attempt. */
	readonly pickOrigin: (attempt: number) => string;
	/** Acquires a permit for one call from the rate limiter. */
	readonly tryAcquireCall: () => boolean;
	readonly backOff: BackOffPolicy;
	readonly onEvent: (event: WatchEvent) => void;
}

export class ReconnectingWatch implements Disposable {
	private readonly controller = new AbortController();
	/** Revision from which the next connection resumes; 0: from the current one. */
	private nextRevision = 0;
	/** Connections lost or failed since the last one was established. */
	private attempt = 0;
	private connectionAttempts = 0;

	constructor(private readonly options: ReconnectingWatchOptions) {
		void this.run();
	}

	public dispose(): void {
		this.controller.abort();
	}

	private isDisposed(): boolean {
		return this.controller.signal.aborted;
	}

	private async run(): Promise<void> {
		while (!this.isDisposed()) {
			const reason = await this.connect();
			if (this.isDisposed()) {
				return;
			}
			this.attempt += 1;
			this.options.onEvent({ kind: 'gap', message: reason });
			await sleep(computeBackOffMs(this.options.backOff, this.attempt), this.controller.signal);
		}
	}

	/** Opens one connection and resolves with the reason when it ends. */
	private async connect(): Promise<string> {
		if (!this.options.tryAcquireCall()) {
			return 'the rate limit for key-value calls is exceeded';
		}
		const { prefix } = this.options;
		const range = { key: encodeText(prefix), range_end: encodeText(computePrefixEnd(prefix)) };
		const start = this.nextRevision > 0 ? { start_revision: String(this.nextRevision) } : {};
		try {
			const response = await request(`${this.options.pickOrigin(this.connectionAttempts)}/v3/watch`, {
				dispatcher: this.options.dispatcher,
				method: 'POST',
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify({ create_request: { ...range, ...start } }),
				headersTimeout: ESTABLISH_TIMEOUT_MS,
				bodyTimeout: 0,
				signal: this.controller.signal,
			});
			return await this.readLines(response.body);
		} catch (error) {
			return error instanceof Error ? error.message : String(error);
		} finally {
			this.connectionAttempts += 1;
		}
	}

	private async readLines(body: AsyncIterable<Buffer>): Promise<string> {
		const decoder = new TextDecoder();
		let incompleteLine = '';
		for await (const chunk of body) {
			incompleteLine += decoder.decode(chunk, { stream: true });
			const lines = incompleteLine.split('\n');
			incompleteLine = lines.pop() ?? '';
			for (const line of lines) {
				const reason = this.handleLine(line);
				if (reason !== undefined) {
					return reason;
				}
			}
		}
		return 'the service closed the watch stream';
	}

	/** Handles one message; returns a reason if the watch has to be reconnected. */
	private handleLine(line: string): string | undefined {
		if (line.trim() === '') {
			return undefined;
		}
		const message = watchResponse.safeParse(JSON.parse(line));
		if (!message.success) {
			return 'malformed watch message';
		}
		const answer = message.data.result;
		if (answer.canceled) {
			this.nextRevision = 0;
			return `the watch was cancelled: events up to revision ${answer.compact_revision} have been compacted`;
		}
		if (answer.created) {
			return this.handleCreated(answer);
		}
		this.handleEvents(answer);
		return undefined;
	}

	private handleCreated(answer: WatchResponse): string | undefined {
		const { revision } = answer.header;
		if (revision + 1 < this.nextRevision) {
			this.nextRevision = 0;
			return `the store was reset to revision ${revision}, below the last received one`;
		}
		const isResumed = this.nextRevision > 0;
		this.attempt = 0;
		if (!isResumed) {
			this.nextRevision = revision + 1;
			this.options.onEvent({ kind: 'gap', message: 'the watch is established; read the keys again' });
		}
		return undefined;
	}

	private handleEvents(answer: WatchResponse): void {
		for (const event of decodeEvents(answer)) {
			const revision = event.kind === 'put' ? event.entry.revision : answer.header.revision;
			this.nextRevision = Math.max(this.nextRevision, revision + 1);
			this.options.onEvent(event);
		}
	}
}
