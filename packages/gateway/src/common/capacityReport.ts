/** What an instance reports of its use of a service whose capacity is short. */

/** Use of a service by one instance, as gossiped: its demand, then alternating customers and requests in flight. */
export type CapacityReport = readonly [demand: number, ...use: (string | number)[]];

/** Whether a value from a peer is its use by service. */
export function isCapacityReportMap(value: unknown): value is Readonly<Record<string, CapacityReport>> {
	return typeof value === 'object' && value !== null && Object.values(value).every(isCapacityReport);
}

function isCapacityReport(value: unknown): value is CapacityReport {
	return (
		Array.isArray(value) &&
		value.length % 2 === 1 &&
		value.every((entry, index) => (index % 2 === 1 ? typeof entry === 'string' : isCount(entry)))
	);
}

function isCount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
