/** Faults around the routers: a crashing request, a leaving target, a faulty instance list, a lost zone. */
import type { CallReport } from '../../load/caller.js';
import type { TargetProcess } from '../targetProcess.js';
import type { FaultCase, FaultContext, FaultOutcome } from './faultCase.js';
import { listIncomplete } from './faultCase.js';
import { ENGINE_POOL, makeBooking, makeGeneration, makeRequests, sendAll, sleep } from './traffic.js';

const RESENDS = 50;
/** Targets that a request which crashes engines may take down before it is quarantined. */
const MAX_LOST_TARGETS = 2;
const CRASH_MARKER = 'chat-that-crashes';
const INSTANCE_LIST_LAG_MS = 1_500;
const INSTANCE_LIST_POLL_MS = 300;
/** Time after which a leaving target must not receive new requests, in ms. */
const LEAVING_LIMIT_MS = 3_000;
const LOST_ZONE = 'b';
/** Time within which the fleet must stop routing to a lost zone, in ms. */
const ZONE_LOSS_LIMIT_MS = 4_000;

export const FLEET_CASES: readonly FaultCase[] = [
	{
		name: 'crashing-request-resent',
		plan: { pools: [{ pool: ENGINE_POOL, kind: 'engine', instances: 6, capacity: 16 }] },
		run: runCrashingRequest,
	},
	{
		name: 'leaving-target-with-lagging-list',
		plan: { listLagMs: INSTANCE_LIST_LAG_MS, instanceListPollMs: INSTANCE_LIST_POLL_MS },
		run: runLeavingTarget,
	},
	{ name: 'instance-list-shrinks', run: async (context) => runWithInstanceListFault(context, 'shrink') },
	{
		name: 'instance-list-unreachable',
		run: async (context) => runWithInstanceListFault(context, 'unreachable'),
	},
	{ name: 'zone-loss', run: runZoneLoss },
];

async function runCrashingRequest(context: FaultContext): Promise<FaultOutcome> {
	const engines = context.fleet.listPool(ENGINE_POOL);
	for (const engine of engines) {
		await engine.addFault({ kind: 'crash-marker', marker: CRASH_MARKER });
	}
	const otherRequests = sendAll(
		context,
		makeRequests(RESENDS, (index) => makeGeneration('innocent', index, { outputTokens: 40 })),
		60,
	);
	const crashing = await sendCrashingRequest(context);
	const reports = await otherRequests;
	const crashed = engines.filter((engine) => engine.hasExited);
	const violations = listIncomplete(reports);
	if (crashed.length > MAX_LOST_TARGETS) {
		violations.push(`${crashed.length} of ${engines.length} targets were lost to one request`);
	}
	const completed = crashing.filter(({ result }) => result.kind === 'completed');
	violations.push(...completed.map(({ request }) => `${request.id}: a crashing request completed`));
	return { reports: [...reports, ...crashing], violations };
}

/** Resends a request that crashes engines, through each router in turn. */
async function sendCrashingRequest(context: FaultContext): Promise<CallReport[]> {
	const request = makeGeneration('crashing', 0, { chat: CRASH_MARKER });
	const { routers } = context.fleet;
	const reports: CallReport[] = [];
	for (let index = 0; index < RESENDS; index += 1) {
		const { origin } = context.fleet.findRouter(index % routers.length);
		reports.push(await context.caller.sendTo(origin, request));
		await sleep(50);
	}
	return reports;
}

/** Marks a target as leaving and later lists it as live again, as a stale replica of the instance list would. */
async function runLeavingTarget(context: FaultContext): Promise<FaultOutcome> {
	const { fleet } = context;
	const leaving = fleet.findTarget('drafting-1');
	const sent = sendAll(
		context,
		makeRequests(220, (index) => makeGeneration('leaving', index, { outputTokens: 10 })),
		40,
	);
	await fleet.instanceList.markLeaving(leaving.name);
	const leavingSeenAtMs = Date.now() + INSTANCE_LIST_LAG_MS + INSTANCE_LIST_POLL_MS;
	await sleep(INSTANCE_LIST_LAG_MS + INSTANCE_LIST_POLL_MS + 500);
	await fleet.instanceList.put({ target: leaving.target, state: 'live' });
	const reports = await sent;
	const violations = await listStartsAfter(leaving, leavingSeenAtMs + LEAVING_LIMIT_MS);
	return { reports, violations: [...violations, ...listIncomplete(reports)] };
}

async function listStartsAfter(target: TargetProcess, deadlineMs: number): Promise<string[]> {
	const log = await target.readEngineLog();
	return log
		.filter((entry) => entry.event === 'started' && entry.atMs > deadlineMs)
		.map((entry) => `${target.name} got request ${entry.requestId} ${entry.atMs - deadlineMs} ms too late`);
}

async function runWithInstanceListFault(
	context: FaultContext,
	kind: 'shrink' | 'unreachable',
): Promise<FaultOutcome> {
	const { fleet } = context;
	const sent = sendAll(
		context,
		makeRequests(100, (index) =>
			index % 2 === 0
				? makeBooking(`list-${kind}`, index)
				: makeGeneration(`list-${kind}`, index, { outputTokens: 20 }),
		),
		40,
	);
	await sleep(500);
	await fleet.instanceList.addFault(kind === 'shrink' ? { kind, keep: 1 } : { kind });
	const reports = await sent;
	await fleet.instanceList.clearFaults();
	return { reports, violations: listIncomplete(reports) };
}

/** Kills all routers and targets of one availability zone at once. */
async function runZoneLoss(context: FaultContext): Promise<FaultOutcome> {
	const { fleet } = context;
	const during = sendMixed(context, 'during', 60);
	await sleep(500);
	const lost = [
		...fleet.targets.filter(({ target }) => target.zone === LOST_ZONE),
		...fleet.routers.filter(({ router }) => router.zone === LOST_ZONE),
	];
	await Promise.all(lost.map((process) => process.kill()));
	const duringReports = await during;
	await sleep(ZONE_LOSS_LIMIT_MS);
	const afterReports = await sendMixed(context, 'after', 60);
	return { reports: [...duringReports, ...afterReports], violations: listIncomplete(afterReports) };
}

async function sendMixed(context: FaultContext, label: string, count: number): Promise<CallReport[]> {
	const requests = makeRequests(count, (index) =>
		index % 3 === 0 ? makeBooking(label, index) : makeGeneration(label, index),
	);
	return sendAll(context, requests, 25);
}
