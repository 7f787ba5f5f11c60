/**
 * A fleet whose targets fail most requests, while its instances are killed, paused, cut off, added and removed: the
 * retries of all instances stay within the budget of the fleet in every window, and use a good part of it.
 */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import type { NamedInstances } from '../../src/common/instanceRoster.js';
import { InstanceRoster } from '../../src/common/instanceRoster.js';
import type { PeerState } from '../../src/common/peerState.js';
import { PeerTable } from '../../src/common/peerTable.js';
import { MAX_RETRY_DELAY_MS } from '../../src/common/retryBudget.js';
import { RetryBudgets } from '../../src/common/retryBudgets.js';

const RATIO = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 100;
const DURATION_MS = 70_000;
/** Interval at which the instances of a large fleet look at their peers, which bounds the time of the test. */
const LARGE_TICK_MS = 900;
/** Repeats that a failing request asks for. */
const REPEATS = 3;
const SEEDS = 3;
/** Instances that keep an entry in the store, of those that hear one another. */
const REGISTRARS = 6;

interface Scenario {
	readonly instances: number;
	/** When all instances are killed and start again. */
	readonly killsAtMs?: readonly number[];
	/** How often one instance is killed and starts again. */
	readonly restartIntervalMs?: number;
	/** Group of an instance while the fleet is cut; only instances of one group hear one another. */
	readonly group?: (index: number) => number;
	readonly cutMs?: readonly [number, number];
	/** Share of the instances that stand still, and when. */
	readonly pausedShare?: number;
	readonly pauseMs?: readonly [number, number];
	/** Instances that run before `changeAtMs`, and from then on; the others are gone, or do not run yet. */
	readonly running?: readonly [(index: number) => boolean, (index: number) => boolean];
	readonly changeAtMs?: number;
	readonly isStoreDown?: boolean;
	/** When targets fail. */
	readonly failuresMs: readonly (readonly [number, number])[];
}

class ModelInstance {
	public readonly peers: PeerTable;
	public readonly roster: InstanceRoster;
	public readonly budgets: RetryBudgets;
	/** Difference of its clock from that of the model. */
	public readonly clockMs: number;
	public rounds = 0;

	constructor(
		public readonly index: number,
		slack: number,
		isFirstStart: boolean,
		random: number,
	) {
		this.clockMs = Math.floor(random * 1e6);
		this.peers = new PeerTable(this.name);
		const shareWindowMs = WINDOW_MS + MAX_RETRY_DELAY_MS;
		this.roster = new InstanceRoster({ isFirstStart, shareWindowMs, seeds: SEEDS });
		const settings = { ratio: RATIO, windowMs: WINDOW_MS, slack };
		this.budgets = new RetryBudgets(settings, this.roster, { write: () => undefined });
	}

	public get name(): string {
		return `edge-${this.index}`;
	}

	public tick(nowMs: number, named: NamedInstances): void {
		this.peers.expire(nowMs + this.clockMs);
		const heard = this.peers
			.listAll()
			.map(({ instance, rosterSize }) => ({ name: instance.name, instances: rosterSize }));
		this.roster.update(heard, nowMs + this.clockMs, named);
	}

	public buildState(): PeerState {
		return {
			instance: { name: this.name },
			isServing: true,
			rosterSize: this.roster.size,
		} as unknown as PeerState;
	}
}

class ModelFleet {
	private readonly instances: ModelInstance[] = [];
	private readonly random: () => number;
	private readonly requests: number[] = [];
	private readonly retries: number[] = [];
	private readonly slack: number;

	constructor(private readonly scenario: Scenario) {
		const generator = xoroshiro128plus(scenario.instances);
		this.random = () => uniformFloat64(generator);
		this.slack = 40 + 5 * scenario.instances;
		for (let index = 0; index < scenario.instances; index++) {
			this.instances.push(new ModelInstance(index, this.slack, true, this.random()));
		}
	}

	/** Returns the largest part of its budget that the fleet used in any window, and in the last one of failures. */
	public run(): { readonly highest: number; readonly last: number } {
		const { killsAtMs = [], restartIntervalMs = Infinity, failuresMs, instances } = this.scenario;
		for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
			for (const index of this.instances.keys()) {
				const isTurn =
					nowMs % restartIntervalMs === 0 && Math.floor(nowMs / restartIntervalMs) % instances === index;
				const isAdded = nowMs > 0 && this.isRunning(index, nowMs) && !this.isRunning(index, nowMs - STEP_MS);
				const isStarting = isAdded && nowMs === this.scenario.changeAtMs;
				if (killsAtMs.includes(nowMs) || (isTurn && nowMs > 0) || isStarting) {
					this.instances[index] = new ModelInstance(index, this.slack, false, this.random());
				}
			}
			this.advance(nowMs);
			this.send(
				nowMs,
				failuresMs.some(([fromMs, untilMs]) => nowMs >= fromMs && nowMs < untilMs),
			);
		}
		const used = this.requests.map((_, step) => this.computeUse(step));
		const lastFailureMs = failuresMs.at(-1)?.[1] ?? DURATION_MS;
		return { highest: Math.max(...used), last: used[(lastFailureMs - WINDOW_MS) / STEP_MS] ?? 0 };
	}

	private advance(nowMs: number): void {
		for (const instance of this.instances) {
			if (this.isRunning(instance.index, nowMs)) {
				// Each instance gossips at times of its own.
				const turnMs = nowMs + instance.index * STEP_MS;
				if (turnMs % GOSSIP_INTERVAL_MS === 0) {
					this.sendState(instance, nowMs);
				}
				if (turnMs % (this.instances.length > 100 ? LARGE_TICK_MS : GOSSIP_INTERVAL_MS) === 0) {
					instance.tick(nowMs, this.describeNamed(instance, nowMs));
				}
			}
		}
	}

	/** Describes whom the store names: the first of those that hear one another, up to a limit. */
	private describeNamed({ index, peers }: ModelInstance, nowMs: number): NamedInstances {
		const { isStoreDown = false, group = () => 0 } = this.scenario;
		const ranks = new Map<number, number>();
		const named = this.instances.filter((other) => {
			const key = this.isConnected(index, other.index, nowMs) ? -1 : group(other.index);
			const rank = ranks.get(key) ?? 0;
			ranks.set(key, rank + 1);
			return other.index !== index && this.isRunning(other.index, nowMs) && rank < REGISTRARS;
		});
		const heard = new Set(peers.listAll().map(({ instance }) => instance.name));
		const unheard = named.filter(({ name }) => !heard.has(name)).length;
		return isStoreDown ? { count: 0, isComplete: false } : { count: heard.size + unheard, isComplete: true };
	}

	private sendState(instance: ModelInstance, nowMs: number): void {
		const others = this.instances.length - 1;
		const count = Math.min(GOSSIP_FAN_OUT, others);
		const state = instance.buildState();
		for (let sent = 0; sent < count; sent++) {
			const offset = (instance.rounds * count + sent) % others;
			const peer = this.instances[(instance.index + 1 + offset) % this.instances.length];
			if (
				peer !== undefined &&
				this.isRunning(peer.index, nowMs) &&
				this.isConnected(instance.index, peer.index, nowMs)
			) {
				peer.peers.update(state, nowMs + peer.clockMs);
			}
		}
		instance.rounds += 1;
	}

	private isConnected(from: number, to: number, nowMs: number): boolean {
		const { group, cutMs: [fromMs, untilMs] = [Infinity, Infinity] } = this.scenario;
		return group === undefined || nowMs < fromMs || nowMs >= untilMs || group(from) === group(to);
	}

	private isRunning(index: number, nowMs: number): boolean {
		const { pausedShare = 0, pauseMs: [fromMs, untilMs] = [0, 0], running, changeAtMs = 0 } = this.scenario;
		const isPaused = nowMs >= fromMs && nowMs < untilMs && index < pausedShare * this.instances.length;
		return !isPaused && running?.[nowMs < changeAtMs ? 0 : 1](index) !== false;
	}

	/** Callers send five requests a second for each instance of the fleet; some instances get most of them. */
	private send(nowMs: number, isFailing: boolean): void {
		this.requests.push(0);
		this.retries.push(0);
		const running = this.instances.filter(({ index }) => this.isRunning(index, nowMs));
		const requests = (5 * this.instances.length * STEP_MS) / 1000;
		for (let request = 0; request < requests; request++) {
			const instance = running[Math.floor(this.random() ** 1.5 * running.length)];
			if (instance === undefined || this.random() >= requests - request) {
				continue;
			}
			const instanceMs = nowMs + instance.clockMs;
			instance.budgets.recordRequest('engines', instanceMs);
			this.count(this.requests, 1);
			for (let repeat = 0; isFailing && repeat < REPEATS; repeat++) {
				this.count(this.retries, instance.budgets.tryAcquire('engines', instanceMs) ? 1 : 0);
			}
		}
	}

	private count(steps: number[], added: number): void {
		steps.push((steps.pop() ?? 0) + added);
	}

	/** Retries in the window that begins at a step, relative to what the requests allow. */
	private computeUse(step: number): number {
		const steps = WINDOW_MS / STEP_MS;
		const requests = Math.max(
			...[0, steps / 2, steps].map((before) => sumSteps(this.requests, step - before, steps)),
		);
		return sumSteps(this.retries, step, steps) / (RATIO * requests + this.slack);
	}
}

function sumSteps(counts: readonly number[], first: number, steps: number): number {
	return counts.slice(Math.max(0, first), Math.max(0, first + steps)).reduce((sum, count) => sum + count, 0);
}

/** The first scenarios are played with fleets of any size. */
const LARGE_SCENARIOS = 4;
const THROUGHOUT = [[5000, DURATION_MS]] as const;
const LATE = [[46_000, DURATION_MS]] as const;

describe('retries of a fleet whose targets fail most requests', () => {
	for (const instances of [4, 23, 79, 323]) {
		const isFirstHalf = (index: number): boolean => index < instances / 2;
		const isFirstThird = (index: number): boolean => index < Math.floor(instances / 3);
		const always = (): boolean => true;
		const scenarios: readonly (readonly [string, Omit<Scenario, 'instances'>, number])[] = [
			['all instances are killed once', { killsAtMs: [20_000], failuresMs: [[16_000, 60_000]] }, 0.7],
			[
				'each is cut off from all others',
				{ group: (index) => index, cutMs: [10_000, 65_000], failuresMs: LATE },
				0.2,
			],
			[
				'a third is split off',
				{ group: (index) => Number(isFirstThird(index)), cutMs: [10_000, 65_000], failuresMs: LATE },
				0.4,
			],
			[
				'half are added',
				{ running: [isFirstHalf, always], changeAtMs: 30_000, failuresMs: [[28_000, DURATION_MS]] },
				0.7,
			],
			['no instance fails', { failuresMs: THROUGHOUT }, 0.7],
			['targets begin to fail', { failuresMs: [[30_000, DURATION_MS]] }, 0.7],
			[
				'all are killed every 3 s',
				{ killsAtMs: [20_000, 23_000, 26_000, 29_000], failuresMs: THROUGHOUT },
				0.7,
			],
			['one after the other restarts', { restartIntervalMs: 1000, failuresMs: THROUGHOUT }, 0.1],
			[
				'the fleet is split in half',
				{ group: (index) => Number(isFirstHalf(index)), cutMs: [10_000, 65_000], failuresMs: LATE },
				0.2,
			],
			[
				'a cut heals while targets fail',
				{ group: (index) => Number(isFirstThird(index)), cutMs: [10_000, 52_000], failuresMs: LATE },
				0.5,
			],
			[
				'all restart while each is cut off',
				{ killsAtMs: [20_000], group: (index) => index, cutMs: [10_000, 65_000], failuresMs: LATE },
				0.2,
			],
			[
				'a third stands still for 30 s',
				{ pausedShare: 0.34, pauseMs: [10_000, 40_000], failuresMs: [[38_000, DURATION_MS]] },
				0.5,
			],
			[
				'half are lost for good',
				{
					running: [always, (index) => !isFirstHalf(index)],
					changeAtMs: 30_000,
					failuresMs: [[28_000, DURATION_MS]],
				},
				0.2,
			],
		];
		for (const [name, scenario, expectedUse] of instances > 100
			? scenarios.slice(0, LARGE_SCENARIOS)
			: scenarios) {
			// Guards against instances that each take the whole slack, or take it again with every start.
			it(`${instances} instances, ${name}: no window has more retries than allowed`, () => {
				const { highest, last } = new ModelFleet({ instances, ...scenario }).run();
				expect(highest).to.be.at.most(1);
				expect(last).to.be.at.least(expectedUse);
			});
		}
	}
});
