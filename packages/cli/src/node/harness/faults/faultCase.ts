/** One fault case: brings a fault about in a running fleet and tells what went wrong. */
import { hashToUnit } from '@papayawell/core';
import type { Caller, CallReport } from '../../load/caller.js';
import { compareExecutions } from '../../load/executionComparison.js';
import type { FleetHarness } from '../fleetHarness.js';
import type { FleetPlan } from '../fleetPlan.js';

export interface FaultContext {
	readonly fleet: FleetHarness;
	/** Asks for addresses and retries, as users' programs do. */
	readonly caller: Caller;
	readonly seed: number;
}

export interface FaultOutcome {
	readonly reports: readonly CallReport[];
	/** Violations beyond those that every report is checked for. */
	readonly violations: readonly string[];
}

export interface FaultCase {
	readonly name: string;
	/** Overrides of the default fleet plan for this case. */
	readonly plan?: Partial<FleetPlan>;
	run(context: FaultContext): Promise<FaultOutcome>;
}

/** Result of one case. */
export interface FaultRow {
	readonly name: string;
	/** Requests that were sent. */
	readonly runs: number;
	readonly violations: readonly string[];
	/** How the requests ended. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly durationMs: number;
}

/** A uniform number in (0, 1) that depends on the seed and `label` only. */
export function pickUnit(context: FaultContext, label: string): number {
	return hashToUnit(`${context.seed}\n${label}`);
}

/** Checks what holds for every request, against the logs of the targets. */
export async function checkReports(fleet: FleetHarness, reports: readonly CallReport[]): Promise<string[]> {
	const wrongAnswers = reports
		.filter(({ result }) => ['lost', 'crossed', 'truncated'].includes(result.kind))
		.map(describeReport);
	const executions = compareExecutions(reports, await fleet.readTargetLogs());
	return [
		...wrongAnswers,
		...executions.map(({ kind, subject, detail }) => `${kind}: ${subject}: ${detail}`),
	];
}

/** Lists the requests that did not end completed; for faults that leave enough targets. */
export function listIncomplete(reports: readonly CallReport[]): string[] {
	return reports.filter(({ result }) => result.kind !== 'completed').map(describeReport);
}

export function describeReport({ request, result }: CallReport): string {
	if (result.kind === 'lost') {
		return `${request.id}: lost: ${result.detail}`;
	}
	const { problem, requestId, target } = result.answer;
	return `${request.id}: ${result.kind} ${problem} (request ${requestId}, target ${target})`;
}

export function countOutcomes(reports: readonly CallReport[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const { result } of reports) {
		counts[result.kind] = (counts[result.kind] ?? 0) + 1;
	}
	return counts;
}
