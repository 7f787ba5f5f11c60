/** Computes from engine logs how evenly load was distributed over the engines of a pool. */
import { computeLoadBound, isBoundMeaningful } from '@papayawell/core';
import type { EngineLogEntry } from '@papayawell/stand-ins';

const SAMPLE_INTERVAL_MS = 50;

export interface LoadSkew {
	/**
	 * Maximum and 99th percentile of the highest engine load divided by the mean. Samples are left out while the mean is
	 * so small that one more request would exceed the load bound.
	 */
	readonly max: number;
	readonly p99: number;
	/** Time during which the load of some engine exceeded the load bound, rounded to whole requests, in ms. */
	readonly overBoundMs: number;
	readonly largestLoad: number;
	readonly largestMean: number;
}

/** A change of the number of requests in flight on an engine. */
export interface LoadChange {
	/** Epoch milliseconds. */
	readonly atMs: number;
	/** Index of the engine. */
	readonly engine: number;
	readonly change: number;
}

/**
 * `logs` has one log per engine of the pool. `factor` is the load bound as a multiple of the mean. `external` is the
 * load of another system on the engines, which is not in their logs.
 */
export function computeLoadSkew(
	logs: readonly (readonly EngineLogEntry[])[],
	factor: number,
	external: readonly LoadChange[] = [],
): LoadSkew {
	const changes = [...logs.flatMap(listChanges), ...external].sort((a, b) => a.atMs - b.atMs);
	const loads = logs.map(() => 0);
	const ratios: number[] = [];
	let overBoundMs = 0;
	let largestLoad = 0;
	let largestMean = 0;
	let next = 0;
	for (let atMs = changes[0]?.atMs ?? 0; next < changes.length; atMs += SAMPLE_INTERVAL_MS) {
		next = applyChanges(changes, next, atMs, loads);
		const total = loads.reduce((sum, load) => sum + load, 0);
		const mean = total / loads.length;
		const busiest = Math.max(...loads);
		largestLoad = Math.max(largestLoad, busiest);
		largestMean = Math.max(largestMean, mean);
		if (busiest > computeLoadBound(factor, total, 1 / loads.length)) {
			overBoundMs += SAMPLE_INTERVAL_MS;
		}
		if (isBoundMeaningful(factor, mean)) {
			ratios.push(busiest / mean);
		}
	}
	ratios.sort((a, b) => a - b);
	const p99 = ratios[Math.floor(ratios.length * 0.99)] ?? 1;
	return { max: ratios.at(-1) ?? 1, p99, overBoundMs, largestLoad, largestMean };
}

function applyChanges(changes: readonly LoadChange[], from: number, atMs: number, loads: number[]): number {
	let next = from;
	for (let item = changes[next]; item !== undefined && item.atMs <= atMs; item = changes[next]) {
		loads[item.engine] = (loads[item.engine] ?? 0) + item.change;
		next += 1;
	}
	return next;
}

function listChanges(log: readonly EngineLogEntry[], engine: number): LoadChange[] {
	return log.map(({ atMs, event }) => {
		const isStart = event === 'started' || event === 'resumed';
		return { atMs, engine, change: isStart ? 1 : -1 };
	});
}
