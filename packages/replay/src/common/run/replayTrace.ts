/**
 * Replays a trace against the placement code in a discrete-event simulation: many simulated routers share one event
 * queue, without sockets or timers. The same trace, options and seed give the same report.
 */
import type { PlacementPolicy, ReserveDecision, SendDecision } from '@papayawell/core';
import { Random } from '../generate/random.js';
import type { GossipSchedule } from '../model/controlTraffic.js';
import {
	computeGossipSchedule,
	computeReportBytes,
	POLL_BYTES,
	RESERVATION_BYTES,
} from '../model/controlTraffic.js';
import { Job } from '../model/job.js';
import type { RouterEnvironment } from '../model/routerModel.js';
import type { EntryPolicy } from '../model/routerFleet.js';
import { RouterFleet } from '../model/routerFleet.js';
import type { RouterModel } from '../model/routerModel.js';
import { TargetFleet } from '../model/targetFleet.js';
import type { EngineSpeed } from '../model/targetModel.js';
import type { RequestEvent, TraceEvent } from '../trace/traceEvent.js';
import { EventQueue } from './eventQueue.js';
import { FairnessSampler } from './fairnessSampler.js';
import { LoadSampler } from './loadSampler.js';
import { computePercentile, OutcomeCounter } from './outcomeCounter.js';
import type { ReplayReport } from './replayReport.js';

/** One-way latency between two routers. */
const PEER_LATENCY_MS = 1;
/** A reservation counts as control traffic of the requesting router and of the owner. */
const ROUTERS_PER_RESERVATION = 2;
const RESERVATION_TIMEOUT_MS = 50;
/** Time until a connection attempt to a stopped target is refused. */
const REFUSED_CONNECTION_MS = 1;
/** The first poll of each router is delayed by a random part of this time. */
const MAX_FIRST_POLL_DELAY_MS = 200;
/** Shortest delay of a router's first gossip, which puts it after the first poll. */
const MIN_FIRST_GOSSIP_DELAY_MS = 200;
/** Largest number of customers in a report. */
const MAX_REPORTED_CUSTOMERS = 20;
const MAX_ATTEMPTS = 4;
const LOAD_SAMPLE_INTERVAL_MS = 50;
const QUEUE_DRAIN_INTERVAL_MS = 50;
const FAIRNESS_INTERVAL_MS = 1_000;
/** Key-value calls of one operation with at-most-once semantics: one for its record and one for its outcome. */
const KEY_VALUE_CALLS_PER_OPERATION = 2;
/** Longest simulated time after the end of the trace in which requests in flight may complete. */
const MAX_COMPLETION_WAIT_MS = 1_800_000;
/** Interval at which the replay checks, after the end of the trace, whether all requests have an outcome. */
const COMPLETION_STEP_MS = 10_000;

export interface ReplayOptions {
	readonly policy: PlacementPolicy;
	readonly routers: number;
	/** Interval at which the owner of an engine polls its load. */
	readonly reportMs: number;
	readonly seed: number;
	/** Load bound of a target, as a multiple of the mean load. */
	readonly loadBound: number;
	readonly speed: EngineSpeed;
	/**
	 * Interval between two gossiped load reports of one router; derived from the control traffic budget if
	 * absent.
	 */
	readonly gossipMs?: number;
	/**
	 * How the router of a request is chosen: the owner of the chat's first choice (`owner`), a router by a hash of the
	 * chat (`chat`), or any router (`random`). Requests without a chat go to any router.
	 */
	readonly entryPolicy: EntryPolicy;
	/** Time of the trace from which load, cache reuse and first choices are measured. */
	readonly fromMs?: number;
}

export const DEFAULT_SPEED: EngineSpeed = { prefillTokensPerMs: 10, tokenMs: 25 };

/** Replays a trace and returns the report. */
export function replayTrace(trace: readonly TraceEvent[], options: ReplayOptions): ReplayReport {
	return new ReplayRun(trace, options).run();
}

class ReplayRun {
	private readonly queue = new EventQueue();
	private readonly random: Random;
	private readonly routers: RouterFleet;
	private readonly targets: TargetFleet;
	private readonly outcomes: OutcomeCounter;
	private readonly loadSampler: LoadSampler;
	private readonly fairnessSampler = new FairnessSampler();
	private readonly gossipSchedule: GossipSchedule;
	private readonly endMs: number;
	private readonly engineCount: number;
	private isKeyValueDown = false;
	private reservations = 0;
	private kvCalls = 0;
	private readonly totalBytes = { polls: 0, reports: 0, reservations: 0 };

	constructor(
		private readonly trace: readonly TraceEvent[],
		private readonly options: ReplayOptions,
	) {
		this.random = new Random(options.seed);
		const instances = trace.filter((event) => event.type === 'instance');
		this.engineCount = new Set(
			instances.filter(({ kind }) => kind === 'engine').map(({ instance }) => instance),
		).size;
		this.endMs = trace.at(-1)?.t ?? 0;
		this.gossipSchedule = this.createGossipSchedule();
		this.outcomes = new OutcomeCounter(
			instances.filter(({ t }) => t === 0),
			options.fromMs ?? 0,
		);
		this.loadSampler = new LoadSampler(options.loadBound, LOAD_SAMPLE_INTERVAL_MS);
		this.targets = new TargetFleet(this.queue, options.speed, {
			finish: (job) => {
				this.finish(job);
			},
			fail: (job) => {
				this.fail(job);
			},
			publish: (pool) => {
				this.routers.publishTargets(pool);
			},
		});
		this.routers = new RouterFleet(this.queue, this.random, this.targets, this.createEnvironment());
	}

	public run(): ReplayReport {
		this.startRouters();
		this.startSamplers();
		for (const event of this.trace) {
			this.queue.advance(event.t);
			this.apply(event);
		}
		for (
			let waitedMs = 0;
			waitedMs < MAX_COMPLETION_WAIT_MS && !this.outcomes.isSettled;
			waitedMs += COMPLETION_STEP_MS
		) {
			this.queue.advance(this.endMs + waitedMs);
		}
		return this.makeReport();
	}

	private createGossipSchedule(): GossipSchedule {
		const schedule = computeGossipSchedule(this.options.routers, this.engineCount);
		return this.options.gossipMs === undefined
			? schedule
			: { ...schedule, reportIntervalMs: this.options.gossipMs };
	}

	private startRouters(): void {
		const zones = this.trace.flatMap((event) => (event.type === 'instance' ? [event.zone] : []));
		this.routers.start(this.options.routers, [...new Set(zones)], (index) => {
			this.startLoadReports(index);
		});
	}

	private createEnvironment(): RouterEnvironment {
		return {
			policy: this.options.policy,
			loadBound: this.options.loadBound,
			readNow: () => this.queue.nowMs,
			send: (job, decision) => {
				this.send(job, decision);
			},
			requestReservation: (job, decision, ownerQueries) => {
				this.requestReservation(job, decision, ownerQueries);
			},
			reject: () => {
				this.outcomes.notRun += 1;
			},
			noteQueued: () => {
				this.fairnessSampler.noteQueued();
			},
		};
	}

	/** Starts to poll the engines that a router owns and to gossip their loads. */
	private startLoadReports(index: number): void {
		const { reportMs } = this.options;
		const isRunning = (): boolean => this.queue.nowMs <= this.endMs;
		this.queue.repeat(this.random.nextUnit() * Math.min(reportMs, MAX_FIRST_POLL_DELAY_MS), reportMs, () => {
			this.poll(this.routers.list()[index]);
			return isRunning();
		});
		this.queue.repeat(
			MIN_FIRST_GOSSIP_DELAY_MS + this.random.nextUnit() * this.gossipSchedule.reportIntervalMs,
			this.gossipSchedule.reportIntervalMs,
			() => {
				this.publishLoads(this.routers.list()[index]);
				return isRunning();
			},
		);
	}

	private startSamplers(): void {
		const fromMs = this.options.fromMs ?? 0;
		this.queue.repeat(fromMs, LOAD_SAMPLE_INTERVAL_MS, () => {
			for (const pool of this.targets.listPools()) {
				const live = this.targets.listLive(pool);
				if (live[0]?.info.kind === 'engine') {
					this.loadSampler.addSample(live);
				}
			}
			return this.queue.nowMs + LOAD_SAMPLE_INTERVAL_MS <= this.endMs;
		});
		this.queue.repeat(FAIRNESS_INTERVAL_MS, FAIRNESS_INTERVAL_MS, () => {
			this.fairnessSampler.closeInterval();
			return this.queue.nowMs <= this.endMs;
		});
		this.queue.repeat(QUEUE_DRAIN_INTERVAL_MS, QUEUE_DRAIN_INTERVAL_MS, () => {
			for (const router of this.routers.list()) {
				router.drainQueues();
			}
			return true;
		});
	}

	private apply(event: TraceEvent): void {
		switch (event.type) {
			case 'instance':
				this.targets.apply(event);
				return;
			case 'request':
				this.accept(event);
				return;
			case 'router':
				this.outcomes.notRun += this.routers.apply(event);
				return;
			case 'externalLoad': {
				const target = this.targets.find(event.instance);
				if (target !== undefined) {
					target.externalLoad = event.requests;
				}
				return;
			}
			case 'kv':
				this.isKeyValueDown = event.event === 'down' || (this.isKeyValueDown && event.event !== 'up');
				return;
		}
	}

	private accept(request: RequestEvent): void {
		this.outcomes.noteRequest(request);
		this.queue.schedule(this.computeIdealDuration(request), () => {
			this.outcomes.storeInIdealCache(request);
		});
		this.fairnessSampler.noteRequest(request.customer);
		const router = this.routers.findEntryRouter(request, this.options.entryPolicy);
		if (router === undefined || (request.idempotencyKey !== undefined && this.isKeyValueDown)) {
			this.outcomes.notRun += 1;
			return;
		}
		this.kvCalls += request.idempotencyKey === undefined ? 0 : KEY_VALUE_CALLS_PER_OPERATION;
		router.accept(new Job(request, router, this.queue.nowMs));
	}

	/** Computes the duration of the request if its whole prompt were cached. */
	private computeIdealDuration({ outputTokens = 0 }: RequestEvent): number {
		return outputTokens * this.options.speed.tokenMs;
	}

	private send(job: Job, decision: SendDecision): void {
		const target = this.targets.find(decision.instance);
		if (target === undefined) {
			this.outcomes.notRun += 1;
			return;
		}
		job.target = target;
		job.sentAtMs = this.queue.nowMs;
		job.isFallbackPlacement = decision.rank > 0;
		job.router.noteSent(job, decision);
		if (target.state === 'gone') {
			this.queue.schedule(REFUSED_CONNECTION_MS, () => {
				job.router.noteFinished(job);
				this.retry(job);
			});
			return;
		}
		this.fairnessSampler.noteServed(job.request.customer);
		target.start(job);
	}

	private finish(job: Job): void {
		if (job.router.state === 'crashed') {
			this.outcomes.unknown += 1;
			return;
		}
		this.outcomes.noteCompleted(job);
		job.router.noteFinished(job);
		job.router.drainQueues();
	}

	private fail(job: Job): void {
		job.router.noteFinished(job);
		if (job.request.idempotencyKey !== undefined || job.router.state === 'crashed') {
			this.outcomes.unknown += 1;
			return;
		}
		this.retry(job);
	}

	private retry(job: Job): void {
		job.addExcludedTarget(job.target?.info.instance ?? '');
		if (job.excluded.size >= MAX_ATTEMPTS) {
			this.outcomes.notRun += 1;
			return;
		}
		job.router.place(job, 0);
	}

	private requestReservation(job: Job, decision: ReserveDecision, ownerQueries: number): void {
		const owner = this.routers.find(decision.owner);
		this.reservations += 1;
		if (owner === job.router) {
			this.reserveAtOwner(job, decision, ownerQueries, owner);
			return;
		}
		this.totalBytes.reservations += ROUTERS_PER_RESERVATION * RESERVATION_BYTES;
		if (owner === undefined || owner.state === 'crashed' || owner.state === 'paused') {
			this.queue.schedule(RESERVATION_TIMEOUT_MS, () => {
				job.router.resolveReservation(job, decision.instance, { kind: 'unreachable' }, ownerQueries);
			});
			return;
		}
		this.queue.schedule(PEER_LATENCY_MS, () => {
			this.reserveAtOwner(job, decision, ownerQueries, owner);
		});
	}

	private reserveAtOwner(
		job: Job,
		decision: ReserveDecision,
		ownerQueries: number,
		owner: RouterModel,
	): void {
		const { instance, count } = decision;
		const response = owner.engineOwner.reserve(job.router.instance, instance, count, this.queue.nowMs);
		if (owner === job.router) {
			job.router.resolveReservation(job, instance, response, ownerQueries);
			return;
		}
		this.queue.schedule(PEER_LATENCY_MS, () => {
			job.router.resolveReservation(job, instance, response, ownerQueries);
		});
	}

	private poll(router: RouterModel | undefined): void {
		if (router === undefined || router.state === 'crashed' || router.state === 'paused') {
			return;
		}
		for (const instance of router.engineOwner.listOwned()) {
			const target = this.targets.find(instance);
			this.totalBytes.polls += POLL_BYTES;
			if (target !== undefined && target.state !== 'gone') {
				const report = { instance, requests: target.load, versionMs: this.queue.nowMs };
				router.engineOwner.noteReport(report);
				router.noteLoad(report);
			}
		}
	}

	private publishLoads(router: RouterModel | undefined): void {
		if (router === undefined || router.state === 'crashed' || router.state === 'paused') {
			return;
		}
		const reports = router.engineOwner.listReports();
		if (reports.length === 0) {
			return;
		}
		const others = this.routers.list().filter((other) => other !== router && other.state !== 'crashed');
		this.totalBytes.reports += others.length * computeReportBytes(reports.length);
		this.queue.schedule(this.gossipSchedule.propagationDelayMs, () => {
			for (const other of others) {
				reports.forEach((report) => {
					other.noteLoad(report);
				});
			}
		});
	}

	private makeReport(): ReplayReport {
		const { options, outcomes, loadSampler } = this;
		const routerSeconds = options.routers * Math.max(1, this.endMs / 1_000);
		const reportBytes = this.totalBytes.reports / routerSeconds + this.gossipSchedule.framingBytesPerSecond;
		const controlBytes = {
			polls: this.totalBytes.polls / routerSeconds,
			reports: reportBytes,
			reservations: this.totalBytes.reservations / routerSeconds,
		};
		return {
			policy: options.policy.kind,
			routers: options.routers,
			engines: this.engineCount,
			reportMs: options.reportMs,
			gossipMs: this.gossipSchedule.reportIntervalMs,
			seed: options.seed,
			requests: outcomes.requests,
			completed: outcomes.completed,
			notRun: outcomes.notRun,
			unknown: outcomes.unknown,
			cacheReuse: outcomes.idealCachedTokens === 0 ? 1 : outcomes.cachedTokens / outcomes.idealCachedTokens,
			cachedShare: outcomes.cachedTokens / Math.max(1, outcomes.promptTokens),
			firstChoiceShare: outcomes.firstChoiceRequests / Math.max(1, outcomes.affinityRequests),
			skewMax: loadSampler.skewMax,
			skewP99: loadSampler.readSkewP99(),
			overBoundMs: loadSampler.overBoundMs,
			overBoundSmallMeanMs: loadSampler.overBoundSmallMeanMs,
			meaningfulMs: loadSampler.meaningfulMs,
			overBoundRequests: loadSampler.overBoundRequests,
			bound: options.loadBound,
			fairness: this.fairnessSampler.computeMeanIndex(),
			saturatedMs: this.fairnessSampler.countSaturatedIntervals() * FAIRNESS_INTERVAL_MS,
			queued: outcomes.queueTimesMs.filter((waitMs) => waitMs > 0).length,
			queueP99Ms: computePercentile(outcomes.queueTimesMs, 0.99),
			customers: outcomes.listCustomers().slice(0, MAX_REPORTED_CUSTOMERS),
			controlBytesPerRouterSecond: controlBytes.polls + controlBytes.reports + controlBytes.reservations,
			controlBytes,
			reservationsPerRequest: this.reservations / Math.max(1, outcomes.requests),
			kvCalls: this.kvCalls,
			traceMs: this.endMs,
		};
	}
}
