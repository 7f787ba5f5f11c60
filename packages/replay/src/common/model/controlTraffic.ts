/**
 * Estimates the bytes that control traffic takes on the wire, following the encoding of the peers package: a load
 * report on `n` engines takes 22 + 6n bytes, and each router receives it once and forwards it once. Each
 * reservation request and each response to one travels in a frame of its own.
 */

/** Share of the control traffic budget that load reports may use. */
const REPORT_BUDGET_SHARE = 0.4;
/** Control traffic budget of one router. */
const CONTROL_BUDGET_BYTES_PER_SECOND = 5_000;
/** Load of one engine within a report. */
const ENGINE_LOAD_BYTES = 6;
const REPORT_HEADER_BYTES = 22;
/** Each router receives a report once and forwards it once. */
const TRANSFERS_PER_ROUTER = 2;
/** TCP/IP and HTTP/2 headers of one frame. */
const FRAME_OVERHEAD_BYTES = 80;
/** Approximate payload of a reservation request or of its response. */
const RESERVATION_PAYLOAD_BYTES = 20;
/** One reservation: request and response, each in a frame of its own. */
export const RESERVATION_BYTES = 2 * (FRAME_OVERHEAD_BYTES + RESERVATION_PAYLOAD_BYTES);
/** One poll of an engine's load over a keep-alive HTTP connection: request and response with their headers. */
export const POLL_BYTES = 400;
/** Gossip streams that one router keeps to its peers. */
const STREAMS_PER_ROUTER = 4;
const MIN_REPORT_INTERVAL_MS = 750;
const MAX_REPORT_INTERVAL_MS = 60_000;
const MIN_FLUSH_INTERVAL_MS = 250;
const MAX_FLUSH_INTERVAL_MS = 2_000;
const FLUSHES_PER_REPORT = 6;

export interface GossipSchedule {
	/** Interval between two load reports of the same router. */
	readonly reportIntervalMs: number;
	/** Time until a report has reached all routers. */
	readonly propagationDelayMs: number;
	/** Framing overhead of the reports that one router sends and receives. */
	readonly framingBytesPerSecond: number;
}

/** Computes the report interval at which load reports stay within their share of the control traffic budget. */
export function computeGossipSchedule(routers: number, engines: number): GossipSchedule {
	const roundBytes = TRANSFERS_PER_ROUTER * (engines * ENGINE_LOAD_BYTES + routers * REPORT_HEADER_BYTES);
	const budgetIntervalMs = (roundBytes / (REPORT_BUDGET_SHARE * CONTROL_BUDGET_BYTES_PER_SECOND)) * 1_000;
	const reportIntervalMs = Math.min(
		MAX_REPORT_INTERVAL_MS,
		Math.max(MIN_REPORT_INTERVAL_MS, budgetIntervalMs),
	);
	const flushIntervalMs = Math.min(
		MAX_FLUSH_INTERVAL_MS,
		Math.max(MIN_FLUSH_INTERVAL_MS, reportIntervalMs / FLUSHES_PER_REPORT),
	);
	const hops = Math.max(1, Math.ceil(Math.log(routers) / Math.log(STREAMS_PER_ROUTER)));
	const framesPerSecond = Math.min(1_000 / flushIntervalMs, ((routers - 1) * 1_000) / reportIntervalMs);
	const streams = Math.min(STREAMS_PER_ROUTER, routers - 1);
	return {
		reportIntervalMs,
		propagationDelayMs: (hops * flushIntervalMs) / 2,
		framingBytesPerSecond: TRANSFERS_PER_ROUTER * streams * framesPerSecond * FRAME_OVERHEAD_BYTES,
	};
}

/** Computes the bytes that one report adds to the traffic of each router that receives it. */
export function computeReportBytes(engines: number): number {
	return TRANSFERS_PER_ROUTER * (REPORT_HEADER_BYTES + engines * ENGINE_LOAD_BYTES);
}
