/** One reconciliation round of a pool: reads the state of each engine and orders the difference to the placements. */
import type {
	EngineCommand,
	EngineOrderState,
	OrderLockHold,
	ModelPlacement,
	OrderTimings,
	Result,
	TargetInstance,
} from '@papayawell/core';
import { computeEarliestOrderMs, isWeightLoad, planOrders } from '@papayawell/core';
import type { OrderClient, OrderError } from './orderClient.js';

export interface OrderRoundOptions {
	readonly client: OrderClient;
	readonly holding: OrderLockHold;
	readonly timings: OrderTimings;
	readonly placements: readonly ModelPlacement[];
	readonly targets: readonly TargetInstance[];
	/** Checked immediately before each order. */
	readonly isLeaseSafe: () => boolean;
	/** Acquires one load from the fleet's weight-load budget; false if none is available now. */
	readonly tryAcquireWeightLoad: () => Promise<boolean>;
	readonly onDidDispatchOrder: (event: OrderEvent) => void;
}

/** An order that was dispatched, and its result. */
export interface OrderEvent {
	readonly instance: string;
	readonly command: EngineCommand;
	readonly fencing: number;
	readonly result: 'done' | OrderError['kind'];
}

export type RoundOutcome =
	/** Every engine matches its placements. */
	| { readonly kind: 'settled' }
	/** Some orders are left for a later round. */
	| { readonly kind: 'unfinished' }
	/** The lease has expired or is about to: no further orders may be sent. */
	| { readonly kind: 'leaseEnded' }
	/** An engine has seen a higher fencing token, so another holder has taken over. */
	| { readonly kind: 'superseded' };

interface EngineReading {
	readonly target: TargetInstance;
	readonly state: EngineOrderState;
}

/** Runs one round. Engines are processed in parallel, the orders of each engine sequentially. */
export async function runOrderRound(options: OrderRoundOptions): Promise<RoundOutcome> {
	const orderable = options.targets.filter((target) => isPastTakeoverWait(target, options));
	const results = await Promise.all(orderable.map((target) => readEngine(target, options.client)));
	const readings = results.filter((reading) => reading !== undefined);
	if (readings.some(({ state }) => state.fencing > options.holding.fencing)) {
		return { kind: 'superseded' };
	}
	const outcomes = await Promise.all(readings.map((reading) => orderEngine(reading, options)));
	const isComplete = readings.length === options.targets.length;
	return mergeOutcomes(isComplete ? outcomes : [...outcomes, { kind: 'unfinished' }]);
}

/** Returns the highest fencing token that any of the engines reports, or 0. */
export async function readHighestFencingToken(
	client: OrderClient,
	targets: readonly TargetInstance[],
): Promise<number> {
	const readings = await Promise.all(targets.map((target) => readEngine(target, client)));
	return Math.max(0, ...readings.map((reading) => reading?.state.fencing ?? 0));
}

function isPastTakeoverWait(target: TargetInstance, { holding, timings }: OrderRoundOptions): boolean {
	return performance.now() >= computeEarliestOrderMs(holding.heldSinceMs, target.checksFencing, timings);
}

async function readEngine(target: TargetInstance, client: OrderClient): Promise<EngineReading | undefined> {
	const state = await client.readState(target.origin);
	return state.ok ? { target, state: state.val } : undefined;
}

async function orderEngine(
	{ target, state }: EngineReading,
	options: OrderRoundOptions,
): Promise<RoundOutcome> {
	const instances = options.targets.map(({ instance }) => instance);
	for (const command of planOrders(options.placements, instances, target.instance, state)) {
		if (isWeightLoad(command) && !(await options.tryAcquireWeightLoad())) {
			return { kind: 'unfinished' };
		}
		if (!options.isLeaseSafe()) {
			return { kind: 'leaseEnded' };
		}
		const response = await dispatchOrder(target, command, options);
		if (response.err) {
			return { kind: response.val.kind === 'staleFencing' ? 'superseded' : 'unfinished' };
		}
	}
	return { kind: 'settled' };
}

async function dispatchOrder(
	target: TargetInstance,
	command: EngineCommand,
	{ client, holding, timings, onDidDispatchOrder }: OrderRoundOptions,
): Promise<Result<EngineOrderState, OrderError>> {
	const { fencing } = holding;
	const order = { fencing, expiresAtMs: Date.now() + timings.maxOrderMs, command };
	const response = await client.send(target.origin, order, timings.maxOrderMs);
	const result = response.ok ? 'done' : response.val.kind;
	onDidDispatchOrder({ instance: target.instance, command, fencing, result });
	return response;
}

/** Returns the most severe outcome. */
function mergeOutcomes(outcomes: readonly RoundOutcome[]): RoundOutcome {
	const severityOrder: readonly RoundOutcome['kind'][] = ['superseded', 'leaseEnded', 'unfinished'];
	const kind = severityOrder.find((candidate) => outcomes.some((outcome) => outcome.kind === candidate));
	return { kind: kind ?? 'settled' };
}
