/** Runs the demo: starts a local fleet, sends 45 s of traffic and faults, and reports latency, cache reuse and load skew. */
import { generateTrace } from '@papayawell/replay';
import { z } from 'zod';
import { FleetHarness } from '../harness/fleetHarness.js';
import { makeCallerKey } from '../harness/fleetRules.js';
import { DEMO_CACHE_TOKENS, DEMO_SCENARIO, DEMO_TOKEN_MS } from './demoScenario.js';
import type { ExecutionFinding } from './executionComparison.js';
import { compareExecutions } from './executionComparison.js';
import { applyFleetEvents } from './fleetEvents.js';
import type { LoadReport } from './loadReport.js';
import { formatLoadReport } from './loadReport.js';
import { sendAll } from './loadRun.js';
import type { CacheReuse } from './cacheReuse.js';
import { computeCacheReuse } from './cacheReuse.js';
import type { LoadChange, LoadSkew } from './loadSkew.js';
import { computeLoadSkew } from './loadSkew.js';
import { listRequests, planFleet } from './tracePlan.js';

const ROUTERS = 4;
const ENGINE_POOL = 'drafting';
const LOAD_BOUND = 2;

const trafficSchema = z.object({
	traffic: z.object({
		sent: z.record(z.string(), z.number()),
		received: z.record(z.string(), z.number()),
	}),
});

export interface DemoResult {
	readonly startMs: number;
	readonly load: LoadReport;
	readonly reuse: CacheReuse;
	readonly skew: LoadSkew;
	/** Control traffic per router, sent and received, in bytes per second. */
	readonly controlBytesPerSecond: Readonly<Record<string, number>>;
	readonly keyValueCalls: number;
	readonly executions: readonly ExecutionFinding[];
	readonly violations: number;
}

/** Runs the demo and stops all processes that it started. */
export async function runDemo(seed: number): Promise<DemoResult> {
	const events = generateTrace(DEMO_SCENARIO, seed);
	const startedAtMs = performance.now();
	const fleet = await FleetHarness.start({
		...planFleet(events, ROUTERS, LOAD_BOUND),
		tokenMs: DEMO_TOKEN_MS,
	});
	try {
		const startMs = performance.now() - startedAtMs;
		const bytesBefore = await readControlBytes(fleet);
		const options = { entries: fleet.entries, findKey: makeCallerKey };
		const startEpochMs = Date.now();
		const [{ load, reports }] = await Promise.all([
			sendAll(listRequests(events, 1), options),
			applyFleetEvents(fleet, events, 1),
		]);
		const bytesAfter = await readControlBytes(fleet);
		const logs = await fleet.readTargetLogs();
		const executions = compareExecutions(reports, logs);
		const generations = listRequests(events, 1)
			.map((request) => request.plan())
			.filter((request) => request.kind === 'generation');
		const engineLogs = await Promise.all(fleet.listPool(ENGINE_POOL).map((engine) => engine.readEngineLog()));
		return {
			startMs,
			load,
			reuse: computeCacheReuse(generations, logs.engines, DEMO_CACHE_TOKENS * engineLogs.length),
			skew: computeLoadSkew(engineLogs, LOAD_BOUND, listExternalChanges(startEpochMs)),
			controlBytesPerSecond: computeRates(bytesBefore, bytesAfter, load.durationMs),
			keyValueCalls: await fleet.keyValue.countCalls(),
			executions,
			violations: load.violations + executions.length,
		};
	} finally {
		await fleet.close();
	}
}

/** Lists the changes of the load that another system puts on the engines, as the scenario defines them. */
function listExternalChanges(startEpochMs: number): LoadChange[] {
	const requests = new Map<number, number>();
	return DEMO_SCENARIO.externalLoads.map(({ atMs, instance, requests: count }) => {
		const change = count - (requests.get(instance) ?? 0);
		requests.set(instance, count);
		return { atMs: startEpochMs + atMs, engine: instance, change };
	});
}

/** Formats the result as text. */
export function formatDemo(result: DemoResult): string {
	const { reuse, skew, load } = result;
	const rates = Object.entries(result.controlBytesPerSecond);
	return [
		`4 routers in 3 zones, 8 engines, 3 applications: started in ${(result.startMs / 1_000).toFixed(1)} s`,
		'',
		formatLoadReport(load),
		`cache reuse: ${formatPercent(reuse.share)} of what one cache of the same size would find`,
		`             (${reuse.cachedTokens} of ${reuse.promptTokens} prompt tokens were cached)`,
		`skew: busiest engine over mean, max ${skew.max.toFixed(2)}, p99 ${skew.p99.toFixed(2)}; ` +
			`largest load ${skew.largestLoad} at a mean of up to ${skew.largestMean.toFixed(1)}`,
		`      over the bound of ${LOAD_BOUND} (in whole requests) for ${skew.overBoundMs} ms`,
		`control traffic: ${rates.map(([name, rate]) => `${name} ${rate.toFixed(0)} B/s`).join(', ')}`,
		`key-value calls: ${result.keyValueCalls}`,
		...result.executions.map(({ kind, subject, detail }) => `violation: ${kind}: ${subject}: ${detail}`),
		`lost, crossed, truncated, doubled or wrongly refused: ${result.violations}`,
		'',
	].join('\n');
}

async function readControlBytes(fleet: FleetHarness): Promise<Map<string, number>> {
	const totals = new Map<string, number>();
	for (const router of fleet.routers) {
		const { traffic } = trafficSchema.parse(await router.callAdmin('/admin/v1/state'));
		const counts = [...Object.values(traffic.sent), ...Object.values(traffic.received)];
		totals.set(
			router.name,
			counts.reduce((sum, count) => sum + count, 0),
		);
	}
	return totals;
}

function computeRates(
	before: ReadonlyMap<string, number>,
	after: ReadonlyMap<string, number>,
	durationMs: number,
): Record<string, number> {
	const rates = [...after].map(([name, bytes]): [string, number] => [
		name,
		((bytes - (before.get(name) ?? 0)) * 1_000) / durationMs,
	]);
	return Object.fromEntries(rates);
}

function formatPercent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}
