/** Aggregates the results of a load run into counts and latency histograms, and formats them. */
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { CallReport, CallResult } from './caller.js';

const MICROSECONDS_PER_MS = 1_000;
const MAX_TRACKABLE_MICROSECONDS = 600_000_000;

export interface Percentiles {
	readonly count: number;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
}

export interface ClassReport {
	readonly requestClass: string;
	readonly requests: number;
	readonly firstByte: Percentiles;
	readonly betweenParts: Percentiles;
	readonly total: Percentiles;
}

export interface LoadReport {
	readonly requests: number;
	readonly outcomes: Readonly<Record<CallResult['kind'], number>>;
	/** Outcomes that must never occur: lost, crossed and truncated answers. */
	readonly violations: number;
	/** Descriptions of the first violations. */
	readonly details: readonly string[];
	readonly retries: number;
	readonly brokenConnections: number;
	/** Counts of reported problems by request class and problem type. */
	readonly problems: Readonly<Record<string, number>>;
	/** Share of the prompt tokens that were found in a prefix cache. */
	readonly cachedShare: number;
	/** Counts of completed requests by target. */
	readonly targets: Readonly<Record<string, number>>;
	readonly durationMs: number;
	/** Maximum delay between the scheduled and the actual send time of a request, in ms. */
	readonly maxSendDelayMs: number;
	readonly classes: readonly ClassReport[];
}

const MAX_DETAILS = 20;

class LatencyHistogram {
	private readonly histogram: Histogram = build({
		highestTrackableValue: MAX_TRACKABLE_MICROSECONDS,
		numberOfSignificantValueDigits: 3,
	});

	public record(durationMs: number): void {
		const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
		this.histogram.recordValue(Math.min(MAX_TRACKABLE_MICROSECONDS, Math.max(1, microseconds)));
	}

	public computePercentiles(): Percentiles {
		const read = (percentile: number): number =>
			this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
		return {
			count: this.histogram.totalCount,
			p50Ms: read(50),
			p95Ms: read(95),
			p99Ms: read(99),
			maxMs: this.histogram.maxValue / MICROSECONDS_PER_MS,
		};
	}
}

class ClassLatencies {
	public requests = 0;
	public readonly firstByte = new LatencyHistogram();
	public readonly betweenParts = new LatencyHistogram();
	public readonly total = new LatencyHistogram();
}

export class LoadRecorder {
	private readonly outcomes = {
		completed: 0,
		crossed: 0,
		truncated: 0,
		'not-run': 0,
		unknown: 0,
		lost: 0,
	};
	private readonly classes = new Map<string, ClassLatencies>();
	private readonly problems = new Map<string, number>();
	private readonly targets = new Map<string, number>();
	private readonly details: string[] = [];
	private requests = 0;
	private retries = 0;
	private brokenConnections = 0;
	private promptTokens = 0;
	private cachedTokens = 0;
	private maxSendDelayMs = 0;

	public recordSendDelay(delayMs: number): void {
		this.maxSendDelayMs = Math.max(this.maxSendDelayMs, delayMs);
	}

	public record(report: CallReport): void {
		const { request, result } = report;
		this.requests += 1;
		this.outcomes[result.kind] += 1;
		this.retries += report.tries - 1;
		this.brokenConnections += report.brokenConnections;
		this.recordViolation(report);
		if (result.kind === 'completed') {
			this.recordCompleted(report);
		}
		const problem = 'answer' in result ? result.answer.problem : '';
		if (problem !== '') {
			addToCount(this.problems, `${request.requestClass}: ${problem}`);
		}
	}

	public finish(durationMs: number): LoadReport {
		return {
			requests: this.requests,
			outcomes: { ...this.outcomes },
			violations: this.outcomes.lost + this.outcomes.crossed + this.outcomes.truncated,
			details: this.details,
			retries: this.retries,
			brokenConnections: this.brokenConnections,
			problems: Object.fromEntries(this.problems),
			cachedShare: this.promptTokens === 0 ? 0 : this.cachedTokens / this.promptTokens,
			targets: Object.fromEntries([...this.targets].sort()),
			durationMs,
			maxSendDelayMs: this.maxSendDelayMs,
			classes: [...this.classes].map(([requestClass, times]) => ({
				requestClass,
				requests: times.requests,
				firstByte: times.firstByte.computePercentiles(),
				betweenParts: times.betweenParts.computePercentiles(),
				total: times.total.computePercentiles(),
			})),
		};
	}

	private recordViolation({ request, result }: CallReport): void {
		if (this.details.length >= MAX_DETAILS) {
			return;
		}
		if (result.kind === 'lost') {
			this.details.push(`${request.id}: lost: ${result.detail}`);
		}
		if (result.kind === 'crossed' || result.kind === 'truncated') {
			const { target, requestId } = result.answer;
			this.details.push(`${request.id}: ${result.kind} answer ${requestId} of ${target}`);
		}
	}

	private recordCompleted({ request, result, totalMs }: CallReport): void {
		if (result.kind !== 'completed') {
			return;
		}
		const { answer } = result;
		const times = this.getClassLatencies(request.requestClass);
		times.requests += 1;
		times.total.record(totalMs);
		times.firstByte.record(answer.partTimesMs[0] ?? totalMs);
		for (let index = 1; index < answer.partTimesMs.length; index += 1) {
			times.betweenParts.record((answer.partTimesMs[index] ?? 0) - (answer.partTimesMs[index - 1] ?? 0));
		}
		addToCount(this.targets, answer.target);
		this.promptTokens += answer.promptTokens;
		this.cachedTokens += answer.cachedTokens;
	}

	private getClassLatencies(requestClass: string): ClassLatencies {
		const known = this.classes.get(requestClass);
		if (known !== undefined) {
			return known;
		}
		const times = new ClassLatencies();
		this.classes.set(requestClass, times);
		return times;
	}
}

/** Formats a report as a text table. */
export function formatLoadReport(report: LoadReport): string {
	const outcomes = Object.entries(report.outcomes).map(([kind, count]) => `${kind} ${count}`);
	return [
		`requests ${report.requests} in ${(report.durationMs / 1_000).toFixed(1)} s, retries ${report.retries}`,
		`outcomes: ${outcomes.join(', ')}`,
		`broken connections ${report.brokenConnections}, sent late by at most ${report.maxSendDelayMs.toFixed(0)} ms`,
		`prompt tokens found in a cache: ${(report.cachedShare * 100).toFixed(1)} %`,
		`by target: ${formatCounts(report.targets)}`,
		...(Object.keys(report.problems).length === 0 ? [] : [`problems: ${formatCounts(report.problems)}`]),
		'',
		formatRow(['class', 'requests', 'first p50', 'p99', 'between p50', 'p99', 'total p50', 'p99', 'ms']),
		...report.classes.map(formatClass),
		...report.details.map((detail) => `violation: ${detail}`),
		'',
	].join('\n');
}

const CELL_WIDTH = 12;

function formatClass({ requestClass, requests, firstByte, betweenParts, total }: ClassReport): string {
	const times = [firstByte, betweenParts, total].flatMap((value) => [value.p50Ms, value.p99Ms]);
	return formatRow([requestClass, String(requests), ...times.map((value) => value.toFixed(1))]);
}

function formatRow(cells: readonly string[]): string {
	return cells.map((cell) => cell.padEnd(CELL_WIDTH)).join('');
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
	return Object.entries(counts)
		.map(([name, count]) => `${name} ${count}`)
		.join(', ');
}

function addToCount(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}
