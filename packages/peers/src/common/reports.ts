/** Reports of the engine loads and the limit usage that one router measured. */
import type { EngineLoad, LimitUsage } from './facts.js';

/** One report of one router. */
export interface Report {
	/** Router that measured the entries. */
	readonly origin: string;
	readonly loads: readonly EngineLoad[];
	readonly uses: readonly LimitUsage[];
}

export type ReportEntry = EngineLoad | LimitUsage;

/** Counts up to this are exact; larger ones keep their five leading bits, an error of at most 3 %. */
const MAX_EXACT_REQUESTS = 32;
/** A rate that changed by at most this share is not reported again. */
const REPORTED_RATE_CHANGE_SHARE = 0.1;

/** Rounds a request count, so that small changes of a large load are not reported. */
export function normalizeRequests(requests: number): number {
	const whole = Math.max(0, Math.round(requests));
	if (whole < MAX_EXACT_REQUESTS) {
		return whole;
	}
	const step = 2 ** (Math.floor(Math.log2(whole)) - 4);
	return Math.round(whole / step) * step;
}

/** Formats the key of an entry: an engine, or a limit and a router. */
export function formatEntryKey(entry: ReportEntry): string {
	return entry.kind === 'load' ? `load/${entry.instance}` : `use/${entry.limit}/${entry.router}`;
}

/** Whether entry `a` has the value of `b`, the entry last reported, within the reporting tolerance. */
export function isSameValue(a: ReportEntry, b: ReportEntry | undefined): boolean {
	if (b === undefined) {
		return false;
	}
	if (a.kind === 'load') {
		return b.kind === 'load' && a.requests === b.requests;
	}
	return (
		b.kind === 'use' && Math.abs(a.rate - b.rate) <= REPORTED_RATE_CHANGE_SHARE * Math.max(a.rate, b.rate)
	);
}
