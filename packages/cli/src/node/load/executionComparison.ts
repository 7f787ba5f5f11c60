/** Compares the outcomes that callers received with the executions that targets logged. */
import type { ApplicationLogEntry } from '@papayawell/stand-ins';
import type { TargetLogs } from '../harness/fleetHarness.js';
import type { CallReport } from './caller.js';

export interface ExecutionFinding {
	readonly kind: 'doubled' | 'completed-without-execution' | 'not-run-but-received';
	/** Idempotency key of the operation, or request ID that the router assigned. */
	readonly subject: string;
	readonly detail: string;
}

/**
 * Reports operations that ran more than once, operations that were reported as completed but never ran, and requests
 * that were reported as `not-run` although a target received them.
 */
export function compareExecutions(reports: readonly CallReport[], logs: TargetLogs): ExecutionFinding[] {
	const executed = countExecutions(logs.applications);
	return [
		...listDoubleExecutions(executed),
		...listMissingExecutions(reports, executed),
		...listFalseRefusals(reports, collectReceivedIds(logs)),
	];
}

function listDoubleExecutions(executed: ReadonlyMap<string, number>): ExecutionFinding[] {
	return [...executed]
		.filter(([, count]) => count > 1)
		.map(([subject, count]) => ({ kind: 'doubled', subject, detail: `executed ${count} times` }));
}

function listMissingExecutions(
	reports: readonly CallReport[],
	executed: ReadonlyMap<string, number>,
): ExecutionFinding[] {
	return reports.flatMap(({ request, result }) => {
		const subject = request.headers['idempotency-key'];
		if (subject === undefined || result.kind !== 'completed' || executed.has(subject)) {
			return [];
		}
		const detail = `${request.id} was answered, but no execution is recorded`;
		return [{ kind: 'completed-without-execution', subject, detail }];
	});
}

function listFalseRefusals(
	reports: readonly CallReport[],
	receivedIds: ReadonlySet<string>,
): ExecutionFinding[] {
	return reports.flatMap(({ request, notRunIds }) =>
		notRunIds
			.filter((id) => receivedIds.has(id))
			.map((subject) => {
				const detail = `${request.id} was refused as not run, but a target received it`;
				return { kind: 'not-run-but-received', subject, detail };
			}),
	);
}

function countExecutions(log: readonly ApplicationLogEntry[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const { event, idempotencyKey } of log) {
		if (event === 'executed' && idempotencyKey !== '') {
			counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
		}
	}
	return counts;
}

function collectReceivedIds(logs: TargetLogs): Set<string> {
	const calls = logs.applications.filter((entry) => entry.event === 'received');
	const generations = logs.engines.filter((entry) => entry.event === 'started');
	return new Set([...calls, ...generations].map((entry) => entry.requestId));
}
