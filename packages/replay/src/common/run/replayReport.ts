/** The results of a replay, and their table format. */

/** Queue times of one customer's completed requests. */
export interface CustomerReport {
	readonly customer: string;
	readonly requests: number;
	readonly queueP99Ms: number;
}

export interface ReplayReport {
	readonly policy: string;
	readonly routers: number;
	readonly engines: number;
	/** Interval at which the owner of an engine polls its load. */
	readonly reportMs: number;
	/** Interval between two gossiped load reports of one router. */
	readonly gossipMs: number;
	readonly seed: number;
	readonly requests: number;
	readonly completed: number;
	readonly notRun: number;
	readonly unknown: number;
	/**
	 * Cached prompt tokens as a share of those that a single cache of the engines' total size, without churn,
	 * would hold.
	 */
	readonly cacheReuse: number;
	/** Cached prompt tokens as a share of all prompt tokens. */
	readonly cachedShare: number;
	/** Share of the requests with an affinity key that ran on the first choice of their ranking. */
	readonly firstChoiceShare: number;
	/**
	 * Highest load of an engine as a multiple of its pool's mean, while the mean is high enough for the bound
	 * to be meaningful.
	 */
	readonly skewMax: number;
	/** 99th percentile, over engines and time, of load as a multiple of the pool's mean; measured like `skewMax`. */
	readonly skewP99: number;
	/** Time during which an engine of a pool exceeded the load bound, while the bound is meaningful. */
	readonly overBoundMs: number;
	/**
	 * Time during which an engine exceeded the load bound while the bound allows less than one request above
	 * the mean.
	 */
	readonly overBoundSmallMeanMs: number;
	/** Time during which the load bound is meaningful, summed over all pools. */
	readonly meaningfulMs: number;
	/** Largest number of requests by which an engine exceeded the load bound. */
	readonly overBoundRequests: number;
	readonly bound: number;
	/**
	 * Mean Jain index of what customers were served relative to their fair share, while requests were queued; 1
	 * if none were.
	 */
	readonly fairness: number;
	readonly saturatedMs: number;
	readonly queued: number;
	readonly queueP99Ms: number;
	readonly customers: readonly CustomerReport[];
	readonly controlBytesPerRouterSecond: number;
	readonly controlBytes: {
		readonly polls: number;
		readonly reports: number;
		readonly reservations: number;
	};
	readonly reservationsPerRequest: number;
	/** Calls to the key-value service for operations with at-most-once semantics. */
	readonly kvCalls: number;
	/** Length of the trace. */
	readonly traceMs: number;
}

const COLUMNS: readonly [title: string, read: (report: ReplayReport) => string][] = [
	['policy', (report) => report.policy],
	['reuse', (report) => formatPercent(report.cacheReuse)],
	['first choice', (report) => formatPercent(report.firstChoiceShare)],
	['skew max', (report) => report.skewMax.toFixed(2)],
	['skew p99', (report) => report.skewP99.toFixed(2)],
	['over bound ms', (report) => report.overBoundMs.toFixed(0)],
	['fairness', (report) => report.fairness.toFixed(3)],
	['queue p99 ms', (report) => report.queueP99Ms.toFixed(0)],
	['reservations/request', (report) => report.reservationsPerRequest.toFixed(3)],
	['control B/s', (report) => report.controlBytesPerRouterSecond.toFixed(0)],
	['not run', (report) => String(report.notRun)],
	['unknown', (report) => String(report.unknown)],
];

/** Formats reports as a Markdown table. */
export function formatReportTable(reports: readonly ReplayReport[]): string {
	const rows = [
		COLUMNS.map(([title]) => title),
		COLUMNS.map(() => '---'),
		...reports.map((report) => COLUMNS.map(([, read]) => read(report))),
	];
	return rows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

function formatPercent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}
