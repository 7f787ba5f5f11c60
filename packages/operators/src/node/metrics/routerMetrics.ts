/** Prometheus metrics of a router. Durations are passed in ms and exported in seconds, as Prometheus expects. */
import type { Outcome } from '@papayawell/core';
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { LabelLimiter } from './labelLimiter.js';

const MS_PER_SECOND = 1000;
const DEFAULT_MAX_LABEL_SETS = 2000;

const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3.2, 6.4];
const BETWEEN_TOKENS_BUCKETS_S = [0.01, 0.02, 0.04, 0.07, 0.15, 0.5, 2];
const QUEUEING_BUCKETS_S = [0.001, 0.01, 0.05, 0.2, 1, 5];
const END_TO_END_BUCKETS_S = [0.05, 0.2, 1, 3, 10, 30, 120];

type RequestLabelName = 'customer' | 'class';
type RequestHistogram = Histogram<RequestLabelName>;

export type Direction = 'sent' | 'received';
/** Source of a configuration that was refused. */
export type RejectedConfigurationSource = 'keyValue' | 'peer';

export interface RouterMetricsOptions {
	/** Whether to export the CPU, memory and event loop metrics of the process as well. */
	readonly collectsProcessMetrics?: boolean;
	/** Maximum number of customer and class pairs; further ones are aggregated as `other`. */
	readonly maxLabelSets?: number;
}

/** Registers the metrics of a router in a separate registry and records their values. */
export class RouterMetrics {
	public readonly registry = new Registry();
	private readonly limiter: LabelLimiter;
	private readonly firstToken = this.createHistogram(
		'papayawell_first_token_seconds',
		'Time from the end of the request head to the first token or byte of the answer',
		FIRST_TOKEN_BUCKETS_S,
	);
	private readonly betweenTokens = this.createHistogram(
		'papayawell_between_tokens_seconds',
		'Time between two parts of a streamed answer',
		BETWEEN_TOKENS_BUCKETS_S,
	);
	private readonly queueing = this.createHistogram(
		'papayawell_queueing_seconds',
		'Time that a request waited for a target',
		QUEUEING_BUCKETS_S,
	);
	private readonly endToEnd = this.createHistogram(
		'papayawell_end_to_end_seconds',
		'Time from the request head to the end of the answer',
		END_TO_END_BUCKETS_S,
	);
	private readonly outcomes = this.createCounter(
		'papayawell_requests_total',
		'Requests that were answered, by outcome',
		['customer', 'class', 'outcome'],
	);
	private readonly controlBytes = this.createCounter(
		'papayawell_control_bytes_total',
		'Bytes of control traffic with other routers, by kind of message',
		['kind', 'direction'],
	);
	private readonly keyValueCalls = this.createCounter(
		'papayawell_key_value_calls_total',
		'Calls to the key-value service, by kind and result',
		['kind', 'result'],
	);
	private readonly events = this.createCounter(
		'papayawell_events_total',
		'Events that operators may want an alert for, by kind',
		['kind'],
	);
	private readonly regressions = this.createCounter(
		'papayawell_configuration_regressions_refused_total',
		'Configurations older than the one in force that were offered and refused',
		['source'],
	);
	private readonly conflicts = this.createCounter(
		'papayawell_configuration_conflicts_total',
		'Configurations that share no history with the one in force',
		['source'],
	);
	private readonly configurationVersion = new Gauge({
		name: 'papayawell_configuration_version',
		help: 'Version of the configuration in force, 0 when there is none',
		registers: [this.registry],
	});

	constructor(options: RouterMetricsOptions = {}) {
		this.limiter = new LabelLimiter(options.maxLabelSets ?? DEFAULT_MAX_LABEL_SETS);
		if (options.collectsProcessMetrics === true) {
			collectDefaultMetrics({ register: this.registry });
		}
	}

	public observeFirstToken(customer: string, requestClass: string, ms: number): void {
		this.observe(this.firstToken, customer, requestClass, ms);
	}

	public observeBetweenTokens(customer: string, requestClass: string, ms: number): void {
		this.observe(this.betweenTokens, customer, requestClass, ms);
	}

	public observeQueueing(customer: string, requestClass: string, ms: number): void {
		this.observe(this.queueing, customer, requestClass, ms);
	}

	public observeEndToEnd(customer: string, requestClass: string, ms: number): void {
		this.observe(this.endToEnd, customer, requestClass, ms);
	}

	public countOutcome(customer: string, requestClass: string, outcome: Outcome): void {
		this.outcomes.inc({ ...this.limiter.limit(customer, requestClass), outcome });
	}

	public countControlBytes(kind: string, direction: Direction, bytes: number): void {
		this.controlBytes.inc({ kind, direction }, bytes);
	}

	/** Counts calls; `result` is `sent`, or `budget` for calls refused by this router's own rate limit. */
	public countKeyValueCalls(kind: string, result: string, calls: number): void {
		this.keyValueCalls.inc({ kind, result }, calls);
	}

	/** Counts an event such as `retry`, `late-answer-dropped` or `quarantine`; the set of kinds is fixed. */
	public countEvent(kind: string): void {
		this.events.inc({ kind });
	}

	public countVersionRegression(source: RejectedConfigurationSource): void {
		this.regressions.inc({ source });
	}

	public countConfigurationConflict(source: RejectedConfigurationSource): void {
		this.conflicts.inc({ source });
	}

	public setConfigurationVersion(version: number): void {
		this.configurationVersion.set(version);
	}

	private observe(histogram: RequestHistogram, customer: string, requestClass: string, ms: number): void {
		const { customer: customerLabel, class: classLabel } = this.limiter.limit(customer, requestClass);
		histogram.observe({ customer: customerLabel, class: classLabel }, ms / MS_PER_SECOND);
	}

	private createHistogram(name: string, help: string, buckets: number[]): RequestHistogram {
		const labelNames: RequestLabelName[] = ['customer', 'class'];
		return new Histogram({ name, help, buckets, labelNames, registers: [this.registry] });
	}

	private createCounter<T extends string>(name: string, help: string, labelNames: T[]): Counter<T> {
		return new Counter({ name, help, labelNames, registers: [this.registry] });
	}
}
