/** Runs fault cases one after the other, each in its own fleet. */
import { Caller } from '../../load/caller.js';
import { FleetHarness } from '../fleetHarness.js';
import { SMALL_FLEET } from '../fleetPlan.js';
import { makeCallerKey } from '../fleetRules.js';
import { APPLICATION_CASES } from './applicationCases.js';
import { ENGINE_CASES } from './engineCases.js';
import type { FaultCase, FaultRow } from './faultCase.js';
import { checkReports, countOutcomes } from './faultCase.js';
import { FLEET_CASES } from './fleetCases.js';
import { KEY_VALUE_CASES } from './keyValueCases.js';
import { ROUTER_CASES } from './routerCases.js';
import { FAULT_RULES } from './traffic.js';

const MAX_ATTEMPTS = 6;
const CALL_TIMEOUT_MS = 20_000;
/** Time for the processes to finish their work and write their logs after the last response, in ms. */
const SETTLE_MS = 500;

export const FAULT_CASES: readonly FaultCase[] = [
	...ENGINE_CASES,
	...APPLICATION_CASES,
	...KEY_VALUE_CASES,
	...ROUTER_CASES,
	...FLEET_CASES,
];

/** Runs one case. A case that throws is reported as a violation. */
export async function runFaultCase(faultCase: FaultCase, seed: number): Promise<FaultRow> {
	const startMs = performance.now();
	try {
		const row = await runInFleet(faultCase, seed);
		return { ...row, durationMs: performance.now() - startMs };
	} catch (error) {
		const violations = [`the case did not run: ${error instanceof Error ? error.message : String(error)}`];
		const durationMs = performance.now() - startMs;
		return { name: faultCase.name, runs: 0, violations, outcomes: {}, durationMs };
	}
}

async function runInFleet(faultCase: FaultCase, seed: number): Promise<Omit<FaultRow, 'durationMs'>> {
	const fleet = await FleetHarness.start({ ...SMALL_FLEET, rules: FAULT_RULES, ...faultCase.plan });
	const caller = new Caller({
		entries: fleet.entries,
		maxTries: MAX_ATTEMPTS,
		retryTimeoutMs: CALL_TIMEOUT_MS,
		findKey: makeCallerKey,
	});
	try {
		const { reports, violations } = await faultCase.run({ fleet, caller, seed });
		await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
		const checked = await checkReports(fleet, reports);
		return {
			name: faultCase.name,
			runs: reports.length,
			violations: [...new Set([...checked, ...violations])],
			outcomes: countOutcomes(reports),
		};
	} finally {
		await caller.close();
		await fleet.close();
	}
}
