/** Records the latencies of one request in the metrics of its customer and request class. */
import type { RouterMetrics } from '@papayawell/operators';

export class LatencyRecorder {
	private lastChunkAtMs: number | undefined;

	constructor(
		private readonly metrics: RouterMetrics,
		private readonly customer: string,
		private readonly requestClass: string,
		private readonly receivedAtMs: number,
	) {}

	/** Records a chunk of the answer that arrived at `nowMs` of the monotonic clock. */
	public recordChunk(nowMs: number): void {
		if (this.lastChunkAtMs === undefined) {
			this.metrics.observeFirstToken(this.customer, this.requestClass, nowMs - this.receivedAtMs);
		} else {
			this.metrics.observeBetweenTokens(this.customer, this.requestClass, nowMs - this.lastChunkAtMs);
		}
		this.lastChunkAtMs = nowMs;
	}

	public recordQueueing(queuedMs: number): void {
		this.metrics.observeQueueing(this.customer, this.requestClass, queuedMs);
	}

	public recordEnd(nowMs: number): void {
		this.metrics.observeEndToEnd(this.customer, this.requestClass, nowMs - this.receivedAtMs);
	}
}
