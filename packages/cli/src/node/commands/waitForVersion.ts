/** Polls router statuses until a configuration version is in force on every known router. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FleetStatus, RouterStatus } from '@papayawell/operators';
import { listUnknownInstances, mergeStatuses } from '@papayawell/operators';

const POLL_INTERVAL_MS = 250;

export interface WaitOutcome {
	readonly isInForce: boolean;
	readonly elapsedMs: number;
	readonly routers: readonly RouterStatus[];
	/** Routers whose version is unknown. */
	readonly unknown: readonly string[];
}

/** Polls until all routers have `version` or a later one in force, or until the time-out. */
export async function waitForVersion(
	readStatuses: () => Promise<readonly FleetStatus[]>,
	version: number,
	timeoutMs: number,
): Promise<WaitOutcome> {
	const startMs = performance.now();
	for (;;) {
		const statuses = await readStatuses();
		const routers = mergeStatuses(statuses);
		const unknown = listUnknownInstances(statuses);
		const isInForce =
			routers.length > 0 &&
			unknown.length === 0 &&
			routers.every((router) => router.configurationVersion >= version);
		const elapsedMs = Math.round(performance.now() - startMs);
		if (isInForce || elapsedMs >= timeoutMs) {
			return { isInForce, elapsedMs, routers, unknown };
		}
		await sleep(POLL_INTERVAL_MS);
	}
}
