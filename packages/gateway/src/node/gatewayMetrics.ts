/** Counters and histograms of one gateway process. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency buckets, in seconds: half decades around the objectives of 0.1 s to 2 s. */
const LATENCY_BUCKETS = [0.01, 0.03, 0.06, 0.1, 0.2, 0.5, 1, 1.5, 2, 4, 6, 15];

export interface GatewayGauges {
	readonly configurationVersion: number;
	readonly targetsAgeMs: number;
	readonly peers: number;
	readonly droppedLogLines: number;
}

export class GatewayMetrics {
	public readonly registry = new Registry();
	private readonly ended = new Counter({
		name: 'papayawell_requests_total',
		help: 'Requests by route and how they ended.',
		labelNames: ['route', 'outcome'] as const,
		registers: [this.registry],
	});
	private readonly latency = new Histogram({
		name: 'papayawell_answer_seconds',
		help: 'Time from the arrival of a request to its first event or whole answer, by kind and stage.',
		labelNames: ['kind', 'stage'] as const,
		buckets: LATENCY_BUCKETS,
		registers: [this.registry],
	});
	private readonly decisions = new Counter({
		name: 'papayawell_decisions_total',
		help: 'Decisions by event.',
		labelNames: ['event'] as const,
		registers: [this.registry],
	});

	/** @param readGauges is asked at each collection */
	constructor(readGauges: () => GatewayGauges) {
		const add = (name: string, help: string, read: (gauges: GatewayGauges) => number): void => {
			new Gauge({
				name,
				help,
				registers: [this.registry],
				collect() {
					this.set(read(readGauges()));
				},
			});
		};
		add(
			'papayawell_configuration_version',
			'Version in force; 0 before the first.',
			(g) => g.configurationVersion,
		);
		add('papayawell_targets_age_seconds', 'Age of the list of targets.', (g) => g.targetsAgeMs / 1000);
		add('papayawell_peers', 'Other instances heard of.', (g) => g.peers);
		add('papayawell_log_lines_dropped', 'Log lines dropped since the start.', (g) => g.droppedLogLines);
	}

	/** Route names come from the configuration, so their number is bounded by it. */
	public countEnd(route: string, outcome: string): void {
		this.ended.inc({ route, outcome });
	}

	public noteLatency(kind: string, stage: 'first' | 'whole', elapsedMs: number): void {
		this.latency.observe({ kind, stage }, elapsedMs / 1000);
	}

	public countDecision(event: string): void {
		this.decisions.inc({ event });
	}
}
