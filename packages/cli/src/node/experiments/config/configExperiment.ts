/** Experiment: two operators make concurrent configuration changes while the key-value service and routers fail. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ConfigurationDocument } from '@papayawell/core';
import { ConfigurationStore } from '@papayawell/operators';
import { EtcdKeyValueStore } from '@papayawell/keyvalue';
import { FleetHarness } from '../../harness/fleetHarness.js';
import { SMALL_FLEET } from '../../harness/fleetPlan.js';
import { FaultScript, ChangeGate } from './faultScript.js';
import { computeQuantile, checkChanges } from './checkChanges.js';
import type { ChangeAttempt } from './operatorLoop.js';
import { OperatorLoop } from './operatorLoop.js';
import { VersionRecorder } from './versionRecorder.js';

const KEY_PREFIX = 'papayawell/harness';
const FIRST_RULE = 'rule all kind=generation -> pool=drafting # requested by the experiment';
const OPERATORS = ['ana', 'eva'];
const MAX_THINK_TIME_MS = 3200;
/** Time within which a change must be in force on all routers, in ms. */
export const HARD_LIMIT_MS = 15_000;
export const GOAL_P99_MS = 5000;

export interface ConfigExperimentOptions {
	readonly seed: string;
	readonly changes: number;
	readonly routers: number;
}

export interface ConfigExperimentResult extends ConfigExperimentOptions {
	readonly outcomes: Readonly<Record<ChangeAttempt['outcome'], number>>;
	/** Time until a change was in force on a running router, over all pairs of change and router, in ms. */
	readonly inForceMs: {
		readonly p50: number;
		readonly p99: number;
		readonly max: number;
		readonly pairs: number;
	};
	readonly faults: readonly string[];
	readonly finalVersion: number;
	readonly durationMs: number;
	readonly violations: readonly string[];
}

/** Runs the experiment in its own fleet, and ends all processes of it. */
export async function runConfigExperiment(options: ConfigExperimentOptions): Promise<ConfigExperimentResult> {
	const startMs = performance.now();
	const plan = { ...SMALL_FLEET, zones: ['a', 'b'], routers: options.routers, pools: [], rules: FIRST_RULE };
	const fleet = await FleetHarness.start(plan);
	const recorder = new VersionRecorder();
	try {
		recorder.start(fleet.routers);
		const gate = new ChangeGate();
		const script = new FaultScript(fleet, gate, options.seed, () => readVersion(fleet));
		const operators = createOperators(fleet, gate, options);
		await Promise.all([script.run(), ...operators.map((operator) => operator.run())]);
		await script.restartAllDuringOutage();
		const documents = await waitForConvergence(fleet, recorder);
		await recorder.stop();
		const attempts = operators.flatMap((operator) => operator.attempts);
		const finalDocument = documents[0];
		const { inForceMs, violations } = checkChanges({
			attempts,
			samples: recorder.samples,
			downtimes: script.downtimes,
			routers: fleet.routers.map(({ name }) => name),
			finalChangeIds: listChangeIds(documents),
			finalVersion: finalDocument?.version ?? 0,
		});
		return {
			...options,
			outcomes: countOutcomes(attempts),
			inForceMs: computePercentiles(inForceMs),
			faults: script.faults,
			finalVersion: finalDocument?.version ?? 0,
			durationMs: Math.round(performance.now() - startMs),
			violations: [...violations, ...listExceededLimits(inForceMs)],
		};
	} finally {
		await recorder.stop();
		await fleet.close();
	}
}

async function readVersion(fleet: FleetHarness): Promise<number> {
	const keyValue = new EtcdKeyValueStore({ origins: [fleet.keyValue.origin], callsPerSecond: 50 });
	const stored = await new ConfigurationStore(keyValue, KEY_PREFIX).read();
	keyValue.dispose();
	return stored.ok ? (stored.val?.document.version ?? 0) : 0;
}

function createOperators(
	fleet: FleetHarness,
	gate: ChangeGate,
	options: ConfigExperimentOptions,
): readonly OperatorLoop[] {
	const changes = Math.ceil(options.changes / OPERATORS.length);
	return OPERATORS.map(
		(name) =>
			new OperatorLoop({
				fleet,
				prefix: KEY_PREFIX,
				name,
				seed: options.seed,
				changes,
				maxThinkMs: MAX_THINK_TIME_MS,
				runWhenAllowed: (change) => gate.run(change),
			}),
	);
}

/** Waits, at most `HARD_LIMIT_MS`, until every router has the stored version in force; returns the stored documents. */
async function waitForConvergence(
	fleet: FleetHarness,
	recorder: VersionRecorder,
): Promise<readonly ConfigurationDocument[]> {
	const keyValue = new EtcdKeyValueStore({ origins: [fleet.keyValue.origin], callsPerSecond: 50 });
	const store = new ConfigurationStore(keyValue, KEY_PREFIX);
	const deadlineMs = performance.now() + HARD_LIMIT_MS;
	for (;;) {
		const history = await store.listHistory();
		const documents = history.ok ? history.val : [];
		const version = documents[0]?.version;
		const hasConverged = fleet.routers.every(
			({ name }) => recorder.samples.filter(({ router }) => router === name).at(-1)?.version === version,
		);
		if ((hasConverged && version !== undefined) || performance.now() > deadlineMs) {
			keyValue.dispose();
			return documents;
		}
		await sleep(200);
	}
}

function listChangeIds(documents: readonly ConfigurationDocument[]): readonly string[] {
	return [...documents, ...(documents[0]?.history ?? [])].map(({ changeId }) => changeId);
}

function countOutcomes(attempts: readonly ChangeAttempt[]): Record<ChangeAttempt['outcome'], number> {
	const counts = { accepted: 0, raced: 0, unavailable: 0, unsettled: 0 };
	for (const { outcome } of attempts) {
		counts[outcome]++;
	}
	return counts;
}

function computePercentiles(sorted: readonly number[]): ConfigExperimentResult['inForceMs'] {
	return {
		p50: Math.round(computeQuantile(sorted, 0.5)),
		p99: Math.round(computeQuantile(sorted, 0.99)),
		max: Math.round(computeQuantile(sorted, 1)),
		pairs: sorted.length,
	};
}

function listExceededLimits(sorted: readonly number[]): readonly string[] {
	const p99 = computeQuantile(sorted, 0.99);
	const max = computeQuantile(sorted, 1);
	return [
		...(p99 > GOAL_P99_MS ? [`p99 of ${Math.round(p99)} ms is over the goal of ${GOAL_P99_MS} ms`] : []),
		...(max > HARD_LIMIT_MS ? [`${Math.round(max)} ms is over the limit of ${HARD_LIMIT_MS} ms`] : []),
	];
}
