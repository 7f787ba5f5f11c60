/** Schedules flushes of the outboxes: urgent items after a short delay, reports at the fleet's flush interval. */
import type { Disposable } from '@papayawell/core';
import type { ReportIntervals } from '../common/reportIntervals.js';
import type { Batch } from '../common/outbox.js';
import type { TrafficKind } from '../common/trafficKind.js';
import { encodeBatch } from './frameCodec.js';
import type { PeerLink } from './peerLink.js';

/** Delay during which urgent items are collected into one frame. */
const COALESCE_DELAY_MS = 20;
/** Delay before a stream under back-pressure is tried again. */
const BACKPRESSURE_RETRY_MS = 100;

export interface FlushSchedulerOptions {
	readonly isAllowed: (kind: TrafficKind) => boolean;
	readonly readNowMs: () => number;
	readonly readIntervals: () => ReportIntervals;
	readonly onDidSend: (link: PeerLink, bytes: Uint8Array) => void;
}

export class FlushScheduler implements Disposable {
	private readonly timers = new Map<PeerLink, NodeJS.Timeout>();

	constructor(private readonly options: FlushSchedulerOptions) {}

	/** Schedules a flush of urgent items after the coalescing delay. */
	public schedule(link: PeerLink): void {
		this.startTimer(link, COALESCE_DELAY_MS);
	}

	/** Schedules a flush of urgent items for the next turn of the event loop. */
	public scheduleNow(link: PeerLink): void {
		clearTimeout(this.timers.get(link));
		this.timers.delete(link);
		this.startTimer(link, 0);
	}

	/** Flushes reports on the streams whose flush interval has passed. */
	public tick(links: Iterable<PeerLink>): void {
		const nowMs = this.options.readNowMs();
		const { flushIntervalMs } = this.options.readIntervals();
		for (const link of links) {
			if (nowMs - link.reportsFlushedAtMs >= flushIntervalMs) {
				link.reportsFlushedAtMs = nowMs;
				this.flush(link, true, false);
			}
		}
	}

	/** Sends queued items now. With `isHeartbeat`, a frame is sent even if the queue is empty. */
	public flush(link: PeerLink, withReports: boolean, isHeartbeat: boolean): void {
		if (link.stream.isBackpressured()) {
			this.startTimer(link, BACKPRESSURE_RETRY_MS);
			return;
		}
		const batch = link.outbox.takeBatch(this.options.isAllowed, withReports);
		if (isHeartbeat || !isEmpty(batch)) {
			const bytes = encodeBatch(batch, link.outboundNames);
			link.stream.send(bytes);
			this.options.onDidSend(link, bytes);
		}
		if (link.outbox.hasUrgent()) {
			this.startTimer(link, COALESCE_DELAY_MS);
		}
	}

	public remove(link: PeerLink): void {
		clearTimeout(this.timers.get(link));
		this.timers.delete(link);
	}

	public dispose(): void {
		for (const timer of this.timers.values()) {
			clearTimeout(timer);
		}
		this.timers.clear();
	}

	private startTimer(link: PeerLink, delayMs: number): void {
		if (this.timers.has(link)) {
			return;
		}
		const timer = setTimeout(() => {
			this.timers.delete(link);
			this.flushUrgent(link);
		}, delayMs);
		timer.unref();
		this.timers.set(link, timer);
	}

	/** Includes reports if at least half of their flush interval has passed, which saves a separate frame. */
	private flushUrgent(link: PeerLink): void {
		const nowMs = this.options.readNowMs();
		const withReports = nowMs - link.reportsFlushedAtMs >= this.options.readIntervals().flushIntervalMs / 2;
		if (withReports) {
			link.reportsFlushedAtMs = nowMs;
		}
		this.flush(link, withReports, false);
	}
}

function isEmpty(batch: Batch): boolean {
	const lists = [
		batch.records,
		batch.warnings,
		batch.probes,
		batch.digest,
		batch.wanted,
		batch.transfers,
		batch.calls,
		batch.answers,
		batch.pruned,
		batch.grafted,
	];
	const hasNoConfiguration = batch.configuration === undefined && batch.fetch === undefined;
	return (
		hasNoConfiguration && lists.every((list) => list.length === 0) && batch.loads.size + batch.uses.size === 0
	);
}
