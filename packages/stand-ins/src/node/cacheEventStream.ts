/** Publishes cache events as server-sent events, with a configurable delay and gaps in the sequence numbers. */
import type { ServerResponse } from 'node:http';
import type { CacheEvent, UnsequencedCacheEvent } from '../common/cacheEvent.js';

export interface CacheEventOptions {
	/** Delay between a cache change and its event, in ms. */
	readonly delayMs: number;
	/** Drops every event whose sequence number is a multiple of this; 0 drops none. */
	readonly dropEvery: number;
}

export class CacheEventStream {
	private readonly subscribers = new Set<ServerResponse>();
	private sequence = 0;

	constructor(private readonly options: CacheEventOptions) {}

	public subscribe(response: ServerResponse): void {
		response.writeHead(200, { 'content-type': 'text/event-stream' });
		response.flushHeaders();
		this.subscribers.add(response);
		response.on('close', () => this.subscribers.delete(response));
	}

	public publish(unsequenced: UnsequencedCacheEvent): void {
		this.sequence += 1;
		const event: CacheEvent = { ...unsequenced, sequence: this.sequence };
		if (this.options.dropEvery > 0 && event.sequence % this.options.dropEvery === 0) {
			return;
		}
		setTimeout(() => {
			this.send(event);
		}, this.options.delayMs).unref();
	}

	private send(event: CacheEvent): void {
		for (const response of this.subscribers) {
			response.write(`id: ${event.sequence}\ndata: ${JSON.stringify(event)}\n\n`);
		}
	}
}
