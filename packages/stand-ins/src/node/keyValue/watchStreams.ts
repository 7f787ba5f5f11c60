/** Watch streams of the key-value stand-in, with one JSON message per line. */
import type { ServerResponse } from 'node:http';
import type { RevisionStore, StoreEvent } from '../../common/keyValue/revisionStore.js';
import type { WireWatchRequest } from './etcdWire.js';
import { decodeBase64, encodeEvent, encodeHeader } from './etcdWire.js';

interface OpenWatch {
	readonly response: ServerResponse;
	readonly key: string;
	readonly end: string | undefined;
}

export class WatchStreams {
	private readonly watches = new Set<OpenWatch>();
	/** Delay of each event, in ms; 0 sends it at once. */
	public delayMs = 0;

	public get size(): number {
		return this.watches.size;
	}

	public open(store: RevisionStore, request: WireWatchRequest, response: ServerResponse): void {
		const { key, range_end: rangeEnd, start_revision: startRevision } = request.create_request;
		const watch = { response, key: decodeBase64(key), end: rangeEnd ? decodeBase64(rangeEnd) : undefined };
		response.writeHead(200, { 'content-type': 'application/json' });
		this.write(watch, { header: encodeHeader(store.revision), watch_id: '0', created: true });
		const start = Number(startRevision ?? 0);
		const pastEvents = start > 0 ? store.listEvents(start) : [];
		if (!pastEvents) {
			const compacted = String(store.compacted);
			this.write(watch, {
				header: encodeHeader(store.revision),
				canceled: true,
				compact_revision: compacted,
			});
			response.end();
			return;
		}
		this.watches.add(watch);
		response.on('close', () => this.watches.delete(watch));
		for (const event of pastEvents) {
			this.deliver(watch, event);
		}
	}

	public publish(event: StoreEvent): void {
		for (const watch of this.watches) {
			this.deliver(watch, event);
		}
	}

	public close(): void {
		for (const watch of this.watches) {
			watch.response.destroy();
		}
		this.watches.clear();
	}

	private deliver(watch: OpenWatch, event: StoreEvent): void {
		const key = event.kind === 'put' ? event.entry.key : event.key;
		const isWatched = watch.end === undefined ? key === watch.key : key >= watch.key && key < watch.end;
		if (!isWatched) {
			return;
		}
		const message = {
			header: encodeHeader(event.revision),
			watch_id: '0',
			events: [encodeEvent(event)],
		};
		if (this.delayMs > 0) {
			setTimeout(() => {
				this.write(watch, message);
			}, this.delayMs).unref();
			return;
		}
		this.write(watch, message);
	}

	private write(watch: OpenWatch, result: unknown): void {
		if (!watch.response.destroyed) {
			watch.response.write(`${JSON.stringify({ result })}\n`);
		}
	}
}
