/** Copies totals of other components into the metrics: control traffic and calls to the key-value service. */
import type { Disposable } from '@papayawell/core';
import type { RouterMetrics } from '@papayawell/operators';
import type { TrafficTotals } from '@papayawell/peers';
import { TRAFFIC_KINDS } from '@papayawell/peers';

const COLLECTION_INTERVAL_MS = 1000;
const DIRECTIONS = ['sent', 'received'] as const;

export interface MetricsSources {
	readonly readTraffic: () => TrafficTotals;
	/** Calls since the start by kind; `refused` counts calls that the local rate limit rejected. */
	readonly readKeyValueCalls: () => Readonly<Record<string, number>>;
}

/** Owns the timer and the totals collected so far. */
export class MetricsCollector implements Disposable {
	private readonly collectedTotals = new Map<string, number>();
	private readonly timer: NodeJS.Timeout;

	constructor(
		private readonly metrics: RouterMetrics,
		private readonly sources: MetricsSources,
	) {
		this.timer = setInterval(() => {
			this.collect();
		}, COLLECTION_INTERVAL_MS);
	}

	/** Adds the increase of each total since the last collection to its counter. */
	public collect(): void {
		const traffic = this.sources.readTraffic();
		for (const direction of DIRECTIONS) {
			for (const kind of TRAFFIC_KINDS) {
				const increase = this.takeIncrease(`${direction}/${kind}`, traffic[direction][kind]);
				this.metrics.countControlBytes(kind, direction, increase);
			}
		}
		for (const [kind, total] of Object.entries(this.sources.readKeyValueCalls())) {
			const result = kind === 'refused' ? 'budget' : 'sent';
			this.metrics.countKeyValueCalls(kind, result, this.takeIncrease(`keyValue/${kind}`, total));
		}
	}

	public dispose(): void {
		clearInterval(this.timer);
	}

	/** Counters only grow, but a source may correct its total downwards; the decrease is ignored until it is made up. */
	private takeIncrease(name: string, total: number): number {
		const previous = this.collectedTotals.get(name) ?? 0;
		this.collectedTotals.set(name, Math.max(previous, total));
		return Math.max(0, total - previous);
	}
}
