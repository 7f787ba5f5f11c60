/** Runs a trace against a running fleet, or against a local fleet that is started for the run. */
import type { TraceEvent } from '@papayawell/replay';
import { FleetHarness } from '../harness/fleetHarness.js';
import { makeCallerKey } from '../harness/fleetRules.js';
import type { CallReport } from './caller.js';
import { Caller } from './caller.js';
import type { ExecutionFinding } from './executionComparison.js';
import { compareExecutions } from './executionComparison.js';
import { applyFleetEvents } from './fleetEvents.js';
import type { LoadReport } from './loadReport.js';
import { formatLoadReport, LoadRecorder } from './loadReport.js';
import type { TimedRequest } from './openLoop.js';
import { runOpenLoop } from './openLoop.js';
import { listRequests, planFleet } from './tracePlan.js';

const MAX_TRIES = 8;
const RETRY_TIMEOUT_MS = 60_000;

/** Routers to send requests to, and the API keys of the customers. */
export interface FleetAccess {
	readonly entries: readonly string[];
	readonly findKey: (customer: string) => string;
}

export interface LoadOptions extends FleetAccess {
	/** Factor by which the trace is sped up; 2 sends twice as fast. */
	readonly speed: number;
}

export interface LoadRun {
	/** Violations of all kinds. */
	readonly violations: number;
	readonly load: LoadReport;
	/** Contradictions between outcomes and target logs; undefined unless the fleet was started for the run. */
	readonly executions: readonly ExecutionFinding[] | undefined;
}

/** Sends the requests of a trace to routers that are already running. */
export async function runLoad(events: readonly TraceEvent[], options: LoadOptions): Promise<LoadRun> {
	const { load } = await sendAll(listRequests(events, options.speed), options);
	return { violations: load.violations, load, executions: undefined };
}

/** Starts the fleet that the trace needs, applies its requests and faults, and checks outcomes against target logs. */
export async function runEmbeddedLoad(
	events: readonly TraceEvent[],
	options: { readonly speed: number; readonly routers: number },
): Promise<LoadRun> {
	const fleet = await FleetHarness.start(planFleet(events, options.routers));
	try {
		const { speed } = options;
		const [{ load, reports }] = await Promise.all([
			sendAll(listRequests(events, speed), { entries: fleet.entries, findKey: makeCallerKey }),
			applyFleetEvents(fleet, events, speed),
		]);
		const executions = compareExecutions(reports, await fleet.readTargetLogs());
		return { violations: load.violations + executions.length, load, executions };
	} finally {
		await fleet.close();
	}
}

/** Formats the result of a run as text. */
export function formatLoadRun(run: LoadRun): string {
	const findings = run.executions ?? [];
	const lines = findings.map(({ kind, subject, detail }) => `violation: ${kind}: ${subject}: ${detail}`);
	return [formatLoadReport(run.load), ...lines, `violations: ${run.violations}`, ''].join('\n');
}

/** Sends requests at their scheduled times and records the results. */
export async function sendAll(
	requests: readonly TimedRequest[],
	{ entries, findKey }: FleetAccess,
): Promise<{ readonly load: LoadReport; readonly reports: readonly CallReport[] }> {
	const caller = new Caller({ entries, findKey, maxTries: MAX_TRIES, retryTimeoutMs: RETRY_TIMEOUT_MS });
	const recorder = new LoadRecorder();
	const reports: CallReport[] = [];
	const startMs = performance.now();
	await runOpenLoop(caller, requests, {
		onReport: (report) => {
			reports.push(report);
			recorder.record(report);
		},
		onSendDelay: (delayMs) => {
			recorder.recordSendDelay(delayMs);
		},
	});
	await caller.close();
	return { load: recorder.finish(performance.now() - startMs), reports };
}
