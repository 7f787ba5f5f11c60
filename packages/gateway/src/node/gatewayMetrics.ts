/** Prometheus metrics of one gateway process. */
import type { Counter, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency buckets in seconds, in half decades around the objectives of 0.1 s to 2 s. */
const LATENCY_BUCKETS = [0.01, 0.03, 0.06, 0.1, 0.2, 0.5, 1, 1.5, 2, 4, 6, 15];
/** Around the times within which a report tells the load of requests of 21 ms and the speed of a shared machine. */
const REPORT_AGE_BUCKETS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 2.5];
/** Observations are queued until the library is loaded, which happens at the first scrape or at this number. */
const MAX_PENDING_OBSERVATIONS = 5000;

export interface GatewayGauges {
	readonly configurationVersion: number;
	readonly targetsAgeMs: number;
	readonly peers: number;
	readonly evacuatedZones: number;
	readonly coldTargets: number;
	/** Mean age of the peers' states. */
	readonly peerStateAgeMs: number;
	/** Bytes of gossip and messages sent, by where they went. */
	readonly sentGossipBytes: Readonly<Record<string, number>>;
	readonly droppedLogLines: number;
	readonly targetSends: readonly TargetSends[];
	/** Requests that wait for capacity. */
	readonly waiting: number;
	/** Bytes held for callers, and their limit; 0 without a limit. */
	readonly heldBytes: number;
	readonly heldBytesLimit: number;
}

export interface TargetSends {
	readonly service: string;
	readonly target: string;
	readonly requests: number;
}

/** Response to a scrape. */
export interface MetricsText {
	readonly contentType: string;
	readonly text: string;
}

type Observation =
	| { readonly kind: 'end'; readonly route: string; readonly outcome: string }
	| {
			readonly kind: 'latency';
			readonly requestKind: string;
			readonly stage: string;
			readonly elapsedMs: number;
	  }
	| { readonly kind: 'reportAge'; readonly service: string; readonly ageMs: number }
	| { readonly kind: 'decision'; readonly event: string };

interface LoadedMetrics {
	readonly registry: Registry;
	readonly ended: Counter<'route' | 'outcome'>;
	readonly latency: Histogram<'kind' | 'stage'>;
	readonly reportAge: Histogram<'service'>;
	readonly decisions: Counter<'event'>;
}

/** Loads the metrics library after the start, because a restarting process serves nothing while it loads modules. */
export class GatewayMetrics {
	private loading: Promise<LoadedMetrics> | undefined;
	private loaded: LoadedMetrics | undefined;
	private readonly pendingObservations: Observation[] = [];

	/** @param readGauges called at each scrape */
	constructor(private readonly readGauges: () => GatewayGauges) {}

	/** Route names come from the configuration, which bounds the number of label values. */
	public countRequest(route: string, outcome: string): void {
		this.observe({ kind: 'end', route, outcome });
	}

	public observeLatency(requestKind: string, stage: 'first' | 'whole', elapsedMs: number): void {
		this.observe({ kind: 'latency', requestKind, stage, elapsedMs });
	}

	/** Observes how old the newest load report of a chosen target is. */
	public observeReportAge(service: string, ageMs: number): void {
		this.observe({ kind: 'reportAge', service, ageMs });
	}

	public countDecision(event: string): void {
		this.observe({ kind: 'decision', event });
	}

	/** Renders all metrics in the Prometheus text format. */
	public async render(): Promise<MetricsText> {
		const { registry } = await this.load();
		return { contentType: registry.contentType, text: await registry.metrics() };
	}

	private observe(observation: Observation): void {
		if (this.loaded !== undefined) {
			recordObservation(this.loaded, observation);
			return;
		}
		this.pendingObservations.push(observation);
		if (this.pendingObservations.length >= MAX_PENDING_OBSERVATIONS) {
			void this.load();
		}
	}

	private load(): Promise<LoadedMetrics> {
		this.loading ??= createMetrics(this.readGauges).then((loaded) => {
			this.loaded = loaded;
			for (const observation of this.pendingObservations.splice(0)) {
				recordObservation(loaded, observation);
			}
			return loaded;
		});
		return this.loading;
	}
}

function recordObservation(metrics: LoadedMetrics, observation: Observation): void {
	switch (observation.kind) {
		case 'end':
			metrics.ended.inc({ route: observation.route, outcome: observation.outcome });
			return;
		case 'latency': {
			const { requestKind, stage, elapsedMs } = observation;
			metrics.latency.observe({ kind: requestKind, stage }, elapsedMs / 1000);
			return;
		}
		case 'reportAge':
			metrics.reportAge.observe({ service: observation.service }, observation.ageMs / 1000);
			return;
		case 'decision':
			metrics.decisions.inc({ event: observation.event });
			return;
	}
}

async function createMetrics(readGauges: () => GatewayGauges): Promise<LoadedMetrics> {
	const { Counter, Gauge, Histogram, Registry } = await import('prom-client');
	const registry = new Registry();
	const registers = [registry];
	const add = (name: string, help: string, read: (gauges: GatewayGauges) => number): void => {
		new Gauge({
			name,
			help,
			registers,
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
	add('papayawell_evacuated_zones', 'Zones to whose targets nothing is sent.', (g) => g.evacuatedZones);
	add('papayawell_cold_targets', 'Targets that are treated as cold.', (g) => g.coldTargets);
	add('papayawell_waiting_requests', 'Requests that wait for capacity.', (g) => g.waiting);
	add('papayawell_held_bytes', 'Bytes of requests and answers held for callers.', (g) => g.heldBytes);
	add('papayawell_held_bytes_limit', 'Limit of these bytes; 0 if there is none.', (g) => g.heldBytesLimit);
	add(
		'papayawell_peer_state_age_seconds',
		'Mean age of the states of other instances.',
		(g) => g.peerStateAgeMs / 1000,
	);
	new Counter({
		name: 'papayawell_gossip_bytes_total',
		help: 'Bytes of gossip and messages to other instances, by where they went.',
		labelNames: ['scope'],
		registers,
		collect() {
			this.reset();
			for (const [scope, bytes] of Object.entries(readGauges().sentGossipBytes)) {
				this.inc({ scope }, bytes);
			}
		},
	});
	add('papayawell_log_lines_dropped', 'Log lines dropped since the start.', (g) => g.droppedLogLines);
	new Gauge({
		name: 'papayawell_target_sends',
		help: 'Requests sent to each listed target.',
		labelNames: ['service', 'target'],
		registers,
		collect() {
			// Targets that left are dropped, so that their ids do not accumulate.
			this.reset();
			for (const { service, target, requests } of readGauges().targetSends) {
				this.set({ service, target }, requests);
			}
		},
	});
	return {
		registry,
		ended: new Counter({
			name: 'papayawell_requests_total',
			help: 'Requests by route and how they ended.',
			labelNames: ['route', 'outcome'],
			registers,
		}),
		latency: new Histogram({
			name: 'papayawell_answer_seconds',
			help: 'Time from the arrival of a request to its first event or whole answer, by kind and stage.',
			labelNames: ['kind', 'stage'],
			buckets: LATENCY_BUCKETS,
			registers,
		}),
		reportAge: new Histogram({
			name: 'papayawell_load_report_age_seconds',
			help: 'Age of the newest load report of the target that was chosen, by service.',
			labelNames: ['service'],
			buckets: REPORT_AGE_BUCKETS,
			registers,
		}),
		decisions: new Counter({
			name: 'papayawell_decisions_total',
			help: 'Decisions by event.',
			labelNames: ['event'],
			registers,
		}),
	};
}
