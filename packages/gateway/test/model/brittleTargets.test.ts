/** Brittle targets under a demand far beyond what they can serve, with instances that hear late of one another. */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { TargetBrittleness } from '../../src/common/targetBrittleness.js';

interface Load {
	readonly instances: number;
	readonly targets: number;
	readonly slots: number;
	readonly maxWaiting: number;
	/** From when on fewer requests may wait, and how many; undefined if that does not change. */
	readonly fewerWaiting?: { readonly fromMs: number; readonly maxWaiting: number };
	/** Time that a target works on a request. */
	readonly workMs: number;
	readonly bearableRejections: number;
	/** Demand relative to what the targets can serve. */
	readonly demandFactor: number;
	/** Share of the instances that hear nothing of the others. */
	readonly cutShare: number;
	/** How often an instance is killed and forgets what it knew; infinity for never. */
	readonly killIntervalMs: number;
	readonly durationMs: number;
}

interface Outcome {
	readonly falls: number;
	/** Share of what the targets could serve that they served. */
	readonly usedShare: number;
}

const TICK_MS = 1;
const NETWORK_MS = 5;
const DOWN_MS = 3000;
const WINDOW_MS = 1000;
/** Sends of one request, each to another target. */
const MAX_SENDS = 6;

class ModelTarget {
	public downUntilMs = 0;
	public served = 0;
	private readonly endsAtMs: number[] = [];
	private waiting = 0;
	private rejections: number[] = [];

	constructor(private readonly load: Load) {}

	/** Requests that run or wait. */
	public get heldRequests(): number {
		return this.endsAtMs.length + this.waiting;
	}

	/** Returns whether the target takes a request; it fails if it has rejected too many. */
	public offer(nowMs: number): 'taken' | 'rejected' | 'fell' {
		const { slots, workMs, fewerWaiting, bearableRejections } = this.load;
		const maxWaiting =
			fewerWaiting !== undefined && nowMs >= fewerWaiting.fromMs
				? fewerWaiting.maxWaiting
				: this.load.maxWaiting;
		if (this.endsAtMs.length < slots) {
			this.endsAtMs.push(nowMs + workMs);
			return 'taken';
		}
		if (this.waiting < maxWaiting) {
			this.waiting += 1;
			return 'taken';
		}
		this.rejections = [...this.rejections.filter((atMs) => nowMs - atMs < WINDOW_MS), nowMs];
		if (this.rejections.length <= bearableRejections) {
			return 'rejected';
		}
		this.downUntilMs = nowMs + DOWN_MS;
		this.rejections = [];
		this.endsAtMs.length = 0;
		this.waiting = 0;
		return 'fell';
	}

	/** Returns how many requests have ended. */
	public advance(nowMs: number): number {
		let ended = 0;
		while (this.endsAtMs[0] !== undefined && this.endsAtMs[0] <= nowMs) {
			this.endsAtMs.shift();
			ended += 1;
			if (this.waiting > 0) {
				this.waiting -= 1;
				this.endsAtMs.push(nowMs + this.load.workMs);
			}
		}
		this.served += ended;
		return ended;
	}
}

class FleetOfSenders {
	private readonly random: () => number;
	private readonly targets: readonly ModelTarget[];
	/** What each instance knows of each target. */
	private readonly knowledge: TargetBrittleness[][];
	/** Requests in flight of each instance on each target. */
	private readonly inFlight: number[][];
	/** Requests that each target holds, the one that it got first comes first. */
	private readonly held: { readonly owner: number; readonly sentAtMs: number }[][];
	private readonly agenda = new Map<number, (() => void)[]>();
	private falls = 0;

	constructor(private readonly load: Load) {
		const generator = xoroshiro128plus(load.instances);
		this.random = () => uniformFloat64(generator);
		this.targets = Array.from({ length: load.targets }, () => new ModelTarget(load));
		this.knowledge = Array.from({ length: load.instances }, (_, index) => {
			const row = this.makeKnowledge(this.isCut(index));
			for (const brittleness of row) {
				// The targets have served requests before they became brittle.
				brittleness.recordEnd(load.workMs);
			}
			return row;
		});
		this.inFlight = Array.from({ length: load.instances }, () => new Array<number>(load.targets).fill(0));
		this.held = this.targets.map(() => []);
	}

	public run(): Outcome {
		const { instances, slots, workMs, targets, demandFactor, killIntervalMs, durationMs } = this.load;
		const capacityPerMs = (targets * slots) / workMs;
		let due = 0;
		for (let nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
			for (const work of this.agenda.get(nowMs) ?? []) {
				work();
			}
			this.agenda.delete(nowMs);
			if (nowMs % killIntervalMs === killIntervalMs - 1) {
				const killed = Math.floor(this.random() * instances);
				this.knowledge[killed] = this.makeKnowledge(this.isCut(killed));
			}
			this.advance(nowMs);
			for (due += demandFactor * capacityPerMs * TICK_MS; due >= 1; due--) {
				this.send(Math.floor(this.random() * instances), nowMs);
			}
		}
		const served = this.targets.reduce((sum, target) => sum + target.served, 0);
		return { falls: this.falls, usedShare: served / (capacityPerMs * durationMs) };
	}

	private makeKnowledge(isCut: boolean): TargetBrittleness[] {
		return this.targets.map(() => {
			const brittleness = new TargetBrittleness(this.load.slots, this.random());
			brittleness.instances = this.load.instances;
			brittleness.hearsOthers = !isCut;
			brittleness.state(this.load.bearableRejections);
			return brittleness;
		});
	}

	private advance(nowMs: number): void {
		for (const [index, target] of this.targets.entries()) {
			for (let ended = target.advance(nowMs); ended > 0; ended--) {
				const request = this.held[index]?.shift();
				const held = target.heldRequests;
				if (request !== undefined) {
					const { owner, sentAtMs } = request;
					this.schedule(nowMs + NETWORK_MS, () => {
						this.addInFlight(owner, index, -1);
						this.knowledge[owner]?.[index]?.recordEnd(nowMs - sentAtMs);
						this.knowledge[owner]?.[index]?.recordHeld(held, nowMs + NETWORK_MS);
					});
				}
			}
		}
	}

	/** Sends a request to a target that may have room, and to further ones when it is rejected. */
	private send(instance: number, nowMs: number, tried: ReadonlySet<number> = new Set()): void {
		const candidates = this.targets
			.map((target, index) => ({ target, index, load: this.inFlight[instance]?.[index] ?? 0 }))
			.map((candidate) => ({ ...candidate, cost: candidate.load + this.random() }))
			.filter(
				({ target, index, load }) =>
					!tried.has(index) &&
					nowMs >= target.downUntilMs &&
					this.knowledge[instance]?.[index]?.computeDelay(load, nowMs) === 0,
			);
		const best = candidates.reduce<(typeof candidates)[number] | undefined>(
			(least, candidate) => (least === undefined || candidate.cost < least.cost ? candidate : least),
			undefined,
		);
		if (best === undefined || tried.size >= MAX_SENDS) {
			return;
		}
		const { index } = best;
		this.addInFlight(instance, index, 1);
		this.schedule(nowMs + NETWORK_MS, () => {
			this.deliver(instance, index, nowMs + NETWORK_MS, new Set([...tried, index]));
		});
	}

	private deliver(instance: number, index: number, nowMs: number, tried: ReadonlySet<number>): void {
		const target = this.targets[index];
		const result = target === undefined || nowMs < target.downUntilMs ? 'fell' : target.offer(nowMs);
		if (result === 'taken') {
			this.held[index]?.push({ owner: instance, sentAtMs: nowMs });
			return;
		}
		if (result === 'fell' && target?.downUntilMs === nowMs + DOWN_MS) {
			this.falls += 1;
			for (const { owner } of this.held[index]?.splice(0) ?? []) {
				this.addInFlight(owner, index, -1);
			}
		}
		const held = target?.heldRequests ?? 0;
		this.schedule(nowMs + NETWORK_MS, () => {
			this.addInFlight(instance, index, -1);
			if (result === 'rejected') {
				this.announceRejection(instance, index, held, nowMs + NETWORK_MS);
			}
			this.send(instance, nowMs + NETWORK_MS, tried);
		});
	}

	private announceRejection(instance: number, index: number, held: number, nowMs: number): void {
		this.knowledge[instance]?.[index]?.recordRejection(nowMs, held);
		if (this.isCut(instance)) {
			return;
		}
		this.schedule(nowMs + NETWORK_MS, () => {
			for (const [other, row] of this.knowledge.entries()) {
				if (other !== instance && !this.isCut(other)) {
					row[index]?.recordRejection(nowMs + NETWORK_MS, held);
				}
			}
		});
	}

	private isCut(instance: number): boolean {
		return instance < this.load.cutShare * this.load.instances;
	}

	private addInFlight(instance: number, index: number, change: number): void {
		const row = this.inFlight[instance];
		if (row !== undefined) {
			row[index] = (row[index] ?? 0) + change;
		}
	}

	private schedule(atMs: number, work: () => void): void {
		const works = this.agenda.get(atMs) ?? [];
		works.push(work);
		this.agenda.set(atMs, works);
	}
}

const ENGINES = { slots: 64, maxWaiting: 96, workMs: 1500, bearableRejections: 16, durationMs: 10_000 };
const APPLICATIONS = { slots: 6, maxWaiting: 9, workMs: 21, bearableRejections: 8, durationMs: 20_000 };
const CALM = { demandFactor: 4, cutShare: 0, killIntervalMs: Infinity };
/** Share of what the targets could serve that is served at least: room that is left unused is a refusal too many. */
const MIN_USED_SHARE = 0.6;

describe('brittle targets under a demand far beyond what they serve', () => {
	for (const [instances, engines] of [
		[4, 6],
		[28, 20],
		[79, 42],
		[323, 60],
	] as const) {
		for (const [kind, shape] of [
			['engines', { ...ENGINES, targets: engines }],
			['applications', { ...APPLICATIONS, targets: 4 }],
		] as const) {
			for (const [name, changes] of [
				['no instance is killed or cut off', {}],
				['an instance is killed every second', { killIntervalMs: 1000 }],
				['a quarter of the instances is cut off', { cutShare: 0.25 }],
			] as const) {
				// Guards against LIMIT: a fall puts its load on the others, which fall in turn.
				it(`${instances} instances, ${kind}: hardly any falls, and most room is used, when ${name}`, () => {
					const { falls, usedShare } = new FleetOfSenders({ instances, ...shape, ...CALM, ...changes }).run();
					expect(falls).to.be.at.most(2 + shape.targets / 10);
					expect(usedShare).to.be.at.least(MIN_USED_SHARE);
				});
			}
		}
	}

	// Guards against a room that grew while nothing was rejected: instances overrun the targets when it shrinks at once.
	for (const instances of [4, 28, 79]) {
		it(`${instances} instances, applications: hardly any falls when fewer requests may wait from one moment on`, () => {
			const fewerWaiting = { fromMs: 6000, maxWaiting: 3 };
			const shape = { ...APPLICATIONS, targets: 3, maxWaiting: 60, bearableRejections: 6, fewerWaiting };
			const { falls, usedShare } = new FleetOfSenders({ instances, ...shape, ...CALM }).run();
			expect(falls).to.be.at.most(2);
			expect(usedShare).to.be.at.least(MIN_USED_SHARE);
		});
	}
});
