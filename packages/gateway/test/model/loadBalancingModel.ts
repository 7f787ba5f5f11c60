/** Model of many instances that choose among targets by figures of a given age, by each way that was weighed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { ServiceLoad } from '../../src/common/serviceLoad.js';
import type { ChoiceCandidate } from '../../src/common/targetChoice.js';
import { chooseByDrawnLoad, computeExpectedTime } from '../../src/common/targetChoice.js';
import { TargetLoadEstimate } from '../../src/common/targetLoadEstimate.js';
import { pick } from './chatSource.js';

export const WAYS = [
	'random',
	'leastLoaded',
	'powerOfTwo',
	'freeCapacity',
	'divided',
	'subset',
	'drawnLoad',
	'complete',
] as const;
export type Way = (typeof WAYS)[number];

export interface BalancingCase {
	readonly instances: number;
	readonly targets: number;
	readonly slots: number;
	readonly workMs: number;
	/** Mean age of the figures that come from peers; undefined if the instances hear nobody. */
	readonly figureAgeMs: number | undefined;
	/** The slowest target takes this many times as long as the fastest. */
	readonly speedSpread: number;
	/** Factor of the load in the third second of four. */
	readonly burst: number;
}

export interface BalancingResult {
	/** In times of a request on the fastest target. */
	readonly meanTime: number;
	readonly p99Time: number;
	/** Share of the requests that reach a target which holds more than 2 x the mean + 3. */
	readonly overBoundShare: number;
}

const DURATION_MS = 4000;
const UTILIZATION = 0.6;
const SUBSET_TARGETS = 3;

interface Job {
	readonly arrivedAtMs: number;
	readonly view: View;
}

/** What one instance knows of one target. */
interface View {
	readonly target: ModelTarget;
	readonly load: TargetLoadEstimate;
	own: number;
	ownAtFigure: number;
}

class ModelTarget {
	public running = 0;
	public readonly waiting: Job[] = [];

	constructor(public readonly speed: number) {}

	public get requests(): number {
		return this.running + this.waiting.length;
	}
}

export function runBalancingModel(way: Way, load: BalancingCase, seed: number): BalancingResult {
	return new BalancingModel(way, load, xoroshiro128plus(seed)).run();
}

class BalancingModel {
	private readonly targets: readonly ModelTarget[];
	private readonly views: readonly (readonly View[])[];
	private readonly agenda = new Map<number, (() => void)[]>();
	private readonly times: number[] = [];
	private readonly sample = (): number => uniformFloat64(this.random);
	private nowMs = 0;
	private sends = 0;
	private overBound = 0;

	constructor(
		private readonly way: Way,
		private readonly load: BalancingCase,
		private readonly random: RandomGenerator,
	) {
		const { instances, slots, speedSpread, targets, workMs } = load;
		this.targets = Array.from(
			{ length: targets },
			(_, index) => new ModelTarget(1 + ((speedSpread - 1) * index) / Math.max(1, targets - 1)),
		);
		this.views = Array.from({ length: instances }, () => {
			const service = new ServiceLoad();
			service.recordResidence(workMs);
			const views = this.targets.map((target, index) => {
				const estimate = new TargetLoadEstimate(String(index), slots);
				estimate.service = service;
				return { target, load: estimate, own: 0, ownAtFigure: 0 };
			});
			service.setMembers(views.map((view) => view.load.average));
			return views;
		});
	}

	public run(): BalancingResult {
		const { burst, figureAgeMs, slots, workMs } = this.load;
		const capacity = this.targets.reduce((sum, { speed }) => sum + slots / speed / workMs, 0);
		if (figureAgeMs !== undefined) {
			for (const views of this.views) {
				this.schedule(2 * figureAgeMs * this.sample(), () => {
					this.refresh(views, 2 * figureAgeMs);
				});
			}
		}
		let due = 0;
		for (; this.nowMs < DURATION_MS; this.nowMs++) {
			for (const work of this.agenda.get(this.nowMs) ?? []) {
				work();
			}
			this.agenda.delete(this.nowMs);
			const isBurst = Math.floor(this.nowMs / 1000) === 2;
			for (due += UTILIZATION * capacity * (isBurst ? burst : 1) * 2 * this.sample(); due >= 1; due--) {
				this.serve();
			}
		}
		this.times.sort((a, b) => a - b);
		const meanTime = this.times.reduce((sum, time) => sum + time, 0) / this.times.length;
		const p99Time = this.times[Math.floor(0.99 * this.times.length)] ?? 0;
		return { meanTime, p99Time, overBoundShare: this.overBound / this.sends };
	}

	/** An instance hears the loads of all targets: at the age of 0, and not again for twice the mean age. */
	private refresh(views: readonly View[], intervalMs: number): void {
		for (const view of views) {
			this.recordFigure(view);
		}
		this.schedule(intervalMs, () => {
			this.refresh(views, intervalMs);
		});
	}

	private recordFigure(view: View): void {
		const { requests } = view.target;
		view.load.record({ requests, slowdown: 1, reportedAtMs: this.nowMs, isOwn: true }, view.own);
		view.ownAtFigure = view.own;
	}

	private serve(): void {
		const views = pick(this.views, Math.floor(this.views.length * this.sample()));
		const view = this.choose(views);
		const { target } = view;
		const total = this.targets.reduce((sum, { requests }) => sum + requests, 0);
		this.overBound += target.requests + 1 > (2 * (total + 1)) / this.targets.length + 3 ? 1 : 0;
		this.sends += 1;
		view.own += 1;
		view.load.recordChange(1, this.nowMs);
		target.waiting.push({ arrivedAtMs: this.nowMs, view });
		this.startNext(target);
	}

	private startNext(target: ModelTarget): void {
		const job = target.running < this.load.slots ? target.waiting.shift() : undefined;
		if (job === undefined) {
			return;
		}
		const { arrivedAtMs, view } = job;
		target.running += 1;
		this.schedule(this.load.workMs * target.speed * (0.5 + this.sample()), () => {
			target.running -= 1;
			this.times.push((this.nowMs - arrivedAtMs) / this.load.workMs);
			view.own -= 1;
			view.load.recordChange(-1, this.nowMs);
			this.recordFigure(view);
			this.startNext(target);
		});
	}

	private choose(views: readonly View[]): View {
		const { slots } = this.load;
		const estimate = (view: View): number => view.load.estimate(view.own, 0, this.nowMs).requests;
		const computeTime = (view: View): number =>
			computeExpectedTime(estimate(view), slots) * view.target.speed;
		const random = (): View => pick(views, Math.floor(views.length * this.sample()));
		const findLowest = (among: readonly View[], computeCost: (view: View) => number): View => {
			const costs = among.map((view) => computeCost(view) + 0.02 * this.sample());
			return pick(among, costs.indexOf(Math.min(...costs)));
		};
		switch (this.way) {
			case 'random':
				return random();
			case 'leastLoaded':
				return findLowest(views, computeTime);
			case 'powerOfTwo':
				return findLowest([random(), random()], computeTime);
			case 'freeCapacity':
				return findLowest(views, (view) => {
					const free = Math.max(0.05, 1 - estimate(view) / slots) / view.target.speed;
					return -Math.log(1 - this.sample()) / free;
				});
			case 'divided':
				return findLowest(views, (view) => {
					const free = Math.max(0, slots - (view.load.report?.requests ?? 0)) / this.load.instances;
					return (view.own - view.ownAtFigure - free) * view.target.speed;
				});
			case 'subset': {
				const first = this.views.indexOf(views) * SUBSET_TARGETS;
				const subset = Array.from({ length: SUBSET_TARGETS }, (_, offset) =>
					pick(views, (first + offset) % views.length),
				);
				return findLowest(subset, computeTime);
			}
			case 'complete': {
				const total = this.targets.reduce((sum, { requests }) => sum + requests, 0);
				const bound = (2 * (total + 1)) / this.targets.length + 3;
				return findLowest(views, ({ target: { requests, speed } }) => {
					const overBoundCost = requests + 1 > bound ? requests * 1000 : 0;
					return computeExpectedTime(requests, slots) * speed + overBoundCost;
				});
			}
			case 'drawnLoad': {
				const candidates: ChoiceCandidate<View>[] = views.map((view) => ({
					target: view,
					estimate: view.load.estimate(view.own, 0, this.nowMs),
					slots,
					relativeTime: view.target.speed,
					extraCost: 0,
				}));
				const mean = views.reduce((sum, view) => sum + estimate(view), 0) / views.length;
				return chooseByDrawnLoad(candidates, mean, this.sample) ?? random();
			}
		}
	}

	private schedule(delayMs: number, work: () => void): void {
		const atMs = Math.floor(this.nowMs + Math.max(1, delayMs));
		const works = this.agenda.get(atMs) ?? [];
		works.push(work);
		this.agenda.set(atMs, works);
	}
}
