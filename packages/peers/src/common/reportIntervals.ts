/**
 * Computes how often a router sends load reports and flushes its streams, given the size of the fleet.
 * docs/design/control-budget.md derives the formulas.
 */

/** Share of the control-traffic budget for the content of reports of load and of limit usage. */
const REPORT_SHARE = 0.4;
/** Encoded size of one load in a report: instance name number, request count, age. */
const LOAD_ENTRY_BYTES = 6;
/** Encoded size of a report without its entries. */
const REPORT_HEADER_BYTES = 22;
/** On average, a router receives each report once and sends it once. */
const TRANSMISSIONS_PER_ROUTER = 2;
const MIN_REPORT_INTERVAL_MS = 750;
const MAX_REPORT_INTERVAL_MS = 60_000;
/** Share of the budget for the overhead of the frames that carry reports. */
const FRAME_SHARE = 0.3;
/** Overhead of one frame: gRPC, HTTP/2 and TLS framing, and two packet headers. */
const FRAME_OVERHEAD_BYTES = 140;
const MIN_FLUSH_INTERVAL_MS = 250;
const MAX_FLUSH_INTERVAL_MS = 5_000;

export interface ReportIntervals {
	/** Interval between the reports of one router. */
	readonly reportIntervalMs: number;
	/** Interval between flushes of reports on one stream. */
	readonly flushIntervalMs: number;
}

export interface ReportIntervalParameters {
	readonly routers: number;
	/** Engines whose load is known. */
	readonly engines: number;
	/** Streams on which reports are sent. */
	readonly links: number;
	readonly bytesPerSecond: number;
}

/**
 * Computes the shortest intervals, between the bounds above, that keep reports within their shares of the
 * budget.
 */
export function computeReportIntervals(parameters: ReportIntervalParameters): ReportIntervals {
	const roundBytes =
		TRANSMISSIONS_PER_ROUTER *
		(parameters.engines * LOAD_ENTRY_BYTES + parameters.routers * REPORT_HEADER_BYTES);
	const reportIntervalMs = cap(
		(roundBytes / (REPORT_SHARE * parameters.bytesPerSecond)) * 1_000,
		MIN_REPORT_INTERVAL_MS,
		MAX_REPORT_INTERVAL_MS,
	);
	const frameBytes = TRANSMISSIONS_PER_ROUTER * parameters.links * FRAME_OVERHEAD_BYTES;
	const flushIntervalMs = cap(
		(frameBytes / (FRAME_SHARE * parameters.bytesPerSecond)) * 1_000,
		MIN_FLUSH_INTERVAL_MS,
		MAX_FLUSH_INTERVAL_MS,
	);
	return { reportIntervalMs, flushIntervalMs };
}

function cap(value: number, min: number, max: number): number {
	return Math.min(max, Math.max(min, value));
}
