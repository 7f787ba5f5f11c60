/** Holds the state of all known targets and chooses one for a request. */
import { chooseByCachedPrefix } from './cacheAwarePlacement.js';
import { copyState } from './copyState.js';
import type { RegionLookup } from './homeRegions.js';
import { isZoneIn } from './homeRegions.js';
import type { Placement, PlacementReason, PlacementRequest } from './placement.js';
import type { StepRecorder } from './placementTrace.js';
import type { TargetLoad } from './peerState.js';
import { ServiceLoad } from './serviceLoad.js';
import { chooseByDrawnLoad } from './targetChoice.js';
import type { TargetRecord } from './targetRecord.js';
import { TargetState } from './targetState.js';
import type { TargetListChange } from './targetView.js';

/** Cost of a target in another availability zone, in requests. */
const CROSS_ZONE_COST = 0.5;
/** Number of slots by which the cost in requests is converted into utilization. */
const ZONE_COST_SLOTS = 10;
/** Utilization added to each target. Without it the response time of idle targets would not count. */
const BASE_UTILIZATION = 0.2;
/**
 * Cost of a target in another availability zone by which a target is chosen on load reports, in times of a request: a
 * round trip of 3 to 10 ms against about 21 ms of work, of which the time to the response head already shows a part.
 */
const CROSS_ZONE_TIME = 0.1;
/** Differences of the time to the response head below this factor are the spread of single requests. */
const MIN_SPEED_RATIO = 1.3;
/** Random part of the cost, so that instances with equal information do not all choose the same target. */
const RANDOM_COST = 0.02;

/** A target whose failure rate exceeds the mean by this factor and margin is not used twice by one request. */
const HIGH_FAILURE_RATIO = 1.5;
const HIGH_FAILURE_MARGIN = 0.1;

export class TargetTable {
	private readonly states = new Map<string, TargetState>();
	private readonly byService = new Map<string, TargetState[]>();
	private evacuatedZones: ReadonlySet<string> = new Set();
	/** No target is chosen before. */
	private pausedUntilMs = -Infinity;
	private readonly serviceLoads = new Map<string, ServiceLoad>();

	/**
	 * @param savesZoneTrafficAlways whether `savesZoneTraffic` holds in any case
	 * @param random returns random numbers in [0, 1)
	 */
	constructor(
		private readonly ownZone: string,
		private readonly findRegion: RegionLookup = () => undefined,
		private readonly savesZoneTrafficAlways = false,
		private readonly random: () => number = Math.random,
	) {}

	/**
	 * Whether to save bytes between availability zones. Where targets report how long work takes, these reports are gossiped
	 * as well, and they must be young, so that direct gossip would cost most.
	 */
	public get savesZoneTraffic(): boolean {
		return this.savesZoneTrafficAlways || [...this.serviceLoads.values()].some(({ isInUse }) => isInUse);
	}

	public get all(): Iterable<TargetState> {
		return this.states.values();
	}

	public find(id: string): TargetState | undefined {
		return this.states.get(id);
	}

	/** Lists all targets of a service. */
	public listMembers(service: string): readonly TargetState[] {
		return this.byService.get(service) ?? [];
	}

	/**
	 * Copies the table with the targets of one service only, so that a choice can be tried without a change here. Cached
	 * prefixes, which a choice only reads, are not copied.
	 */
	public copyService(service: string, random: () => number): TargetTable {
		const copies = new Map<unknown, unknown>([[this.random, random]]);
		const members = this.listMembers(service);
		for (const { prefixCache } of members) {
			copies.set(prefixCache, prefixCache);
		}
		const copied = copyState(members, copies);
		copies.set(this.byService, new Map([[service, copied]]));
		copies.set(this.states, new Map(copied.map((target) => [target.record.id, target])));
		return copyState<TargetTable>(this, copies);
	}

	/** Applies a change of the list of targets. The state of a target is retained until it restarts. */
	public applyChange({ added, changed, removed }: TargetListChange): void {
		for (const { id } of removed) {
			this.states.delete(id);
		}
		for (const record of [...added, ...changed]) {
			const known = this.states.get(record.id);
			if (known?.record.startedAtMs === record.startedAtMs) {
				known.record = record;
			} else {
				const state = new TargetState(record);
				state.brittleness.state(this.findBrittleness(record.service));
				if (known !== undefined) {
					state.coldness.copySends(known.coldness);
				}
				state.statedLoad.service = this.getServiceLoad(record.service);
				this.states.set(record.id, state);
			}
		}
		this.byService.clear();
		for (const state of this.states.values()) {
			const { service } = state.record;
			const states = this.byService.get(service) ?? [];
			states.push(state);
			this.byService.set(service, states);
		}
		for (const [service, load] of this.serviceLoads) {
			load.setMembers((this.byService.get(service) ?? []).map(({ statedLoad }) => statedLoad.average));
		}
	}

	/** Sets the zones to whose targets nothing is sent. */
	public setEvacuatedZones(zones: ReadonlySet<string>): void {
		this.evacuatedZones = zones;
	}

	/** Chooses no target until the given time, since it is not known which zones are evacuated. */
	public pause(untilMs: number): void {
		this.pausedUntilMs = untilMs;
	}

	/** Whether nothing may be sent to a target, since its zone is evacuated. */
	public isEvacuated({ record }: TargetState): boolean {
		return this.evacuatedZones.has(record.zone);
	}

	/** Whether a service has targets of a version in these regions, all of them in evacuated zones. */
	public isServiceEvacuated(
		service: string,
		version: string | undefined,
		regions?: ReadonlySet<string>,
	): boolean {
		const staying = this.listStaying(service, version, regions);
		return staying.length > 0 && staying.every((target) => this.isEvacuated(target));
	}

	/** Replaces the loads of the other instances. */
	public setPeerLoads(peers: readonly (readonly TargetLoad[])[]): void {
		for (const load of this.serviceLoads.values()) {
			load.hearsPeers = peers.length > 0;
		}
		for (const state of this.states.values()) {
			state.peerRequests = 0;
			state.peerPrefillTokens = 0;
		}
		for (const [id, requests, prefillTokens] of peers.flat()) {
			const state = this.states.get(id);
			if (state !== undefined) {
				state.peerRequests += requests;
				state.peerPrefillTokens += prefillTokens;
			}
		}
	}

	/** Records that the targets of an availability zone are taken back into service; they may be cold. */
	public recordZoneReturn(zone: string, nowMs: number): void {
		for (const { record, coldness } of this.states.values()) {
			if (record.zone === zone) {
				coldness.recordAssumption('regained', nowMs);
			}
		}
	}

	/** Whether a target fails clearly more often than the mean of its service. */
	public hasAboveAverageFailureRate(target: TargetState): boolean {
		const states = this.byService.get(target.record.service) ?? [];
		const sum = states.reduce((total, { health }) => total + health.failureRate, 0);
		const mean = sum / Math.max(1, states.length);
		return target.health.failureRate > HIGH_FAILURE_RATIO * mean + HIGH_FAILURE_MARGIN;
	}

	/**
	 * Returns the time until a target of a service takes requests of this instance again, in ms; 0 if one does, or if none
	 * is known that will, and infinity if only other instances may use the targets.
	 * @param version version that the target must have; undefined if any may serve
	 * @param regions regions in which the target must be; undefined if any
	 */
	public computePause(
		service: string,
		version: string | undefined,
		nowMs: number,
		regions?: ReadonlySet<string>,
	): number {
		const staying = this.listStaying(service, version, regions).filter((target) => !this.isEvacuated(target));
		return staying.length === 0 ? 0 : Math.min(...staying.map((target) => target.computePause(nowMs)));
	}

	/** Lists the targets of a service that can be reached, are not leaving, and are in no evacuated zone. */
	public listReachable(service: string, nowMs: number): readonly TargetState[] {
		return this.listStaying(service, undefined).filter(
			(target) => !this.isEvacuated(target) && isReachable(target, nowMs),
		);
	}

	/** Whether a service has a target of a version that is not leaving. */
	public hasVersion(service: string, version: string): boolean {
		return this.listStaying(service, version).length > 0;
	}

	/** @param recordStep told which targets are left after each step */
	public choose(request: PlacementRequest, nowMs: number, recordStep?: StepRecorder): Placement | undefined {
		if (nowMs < this.pausedUntilMs) {
			recordStep?.('unpaused', []);
			return undefined;
		}
		const all = this.listUsable(request);
		recordStep?.('usable', all);
		const serving = all.filter((target) => !target.record.isLeaving && target.computePause(nowMs) === 0);
		recordStep?.('serving', serving);
		const live = serving.filter((target) => isReachable(target, nowMs));
		recordStep?.('reachable', live);
		const healthy = selectHealthy(live, nowMs);
		recordStep?.('healthy', healthy);
		const candidates = healthy.filter((target) => isAllowed(target, request));
		recordStep?.('allowed', candidates);
		if (candidates.length === 0) {
			return this.chooseLastResort(serving, request, nowMs);
		}
		const counted = [...live, ...this.listIdle(request.service, nowMs)];
		const meanLoad =
			counted.reduce((sum, target) => sum + target.estimateLoad(nowMs).requests, 0) / counted.length;
		if (request.prompt.length === 0) {
			return this.chooseLowestCost(candidates, 'leastLoaded', meanLoad, nowMs, recordStep);
		}
		// Cached prompts can still be fetched from a leaving target.
		const sources = request.hasCacheTransfer ? all.filter((target) => isReachable(target, nowMs)) : [];
		const preferredZone = this.savesZoneTraffic ? this.ownZone : undefined;
		const cacheRequest = { ...request, preferredZone, recordStep };
		const choice = chooseByCachedPrefix(candidates, cacheRequest, sources, meanLoad, nowMs);
		if (choice === undefined) {
			return this.chooseLowestCost(candidates, 'leastLoaded', meanLoad, nowMs, recordStep);
		}
		const { isOverflow, ...placed } = choice;
		return { ...placed, reason: isOverflow ? 'overflow' : 'cached', meanLoad };
	}

	/**
	 * Lists targets that get no requests because their zone is evacuated or they are cold. They count in the mean load of the
	 * service: without them the load limit of the others would exceed the bound of 2 x mean + 3.
	 */
	private listIdle(service: string, nowMs: number): readonly TargetState[] {
		return this.listMembers(service).filter(
			(target) =>
				!target.record.isLeaving && (this.isEvacuated(target) || target.coldness.computeDelay(nowMs) > 0),
		);
	}

	private getServiceLoad(service: string): ServiceLoad {
		let load = this.serviceLoads.get(service);
		if (load === undefined) {
			load = new ServiceLoad();
			this.serviceLoads.set(service, load);
		}
		return load;
	}

	/** A target that starts is as brittle as the others of its service until it says something else. */
	private findBrittleness(service: string): number | undefined {
		const states = this.byService.get(service) ?? [];
		return states.find(({ brittleness }) => brittleness.rejectionsPerSecond !== undefined)?.brittleness
			.rejectionsPerSecond;
	}

	/** Lists the targets of a service that are in allowed regions, and whose zones are not evacuated. */
	private listUsable({ service, regions }: PlacementRequest): readonly TargetState[] {
		const states = this.byService.get(service) ?? [];
		if (this.evacuatedZones.size === 0 && regions === undefined) {
			return states;
		}
		return states.filter(
			(target) => !this.isEvacuated(target) && isZoneIn(target.record.zone, regions, this.findRegion),
		);
	}

	private listStaying(
		service: string,
		version: string | undefined,
		regions?: ReadonlySet<string>,
	): readonly TargetState[] {
		return (this.byService.get(service) ?? []).filter(
			({ record }) =>
				!record.isLeaving && isOfVersion(record, version) && isZoneIn(record.zone, regions, this.findRegion),
		);
	}

	/** Chooses an unhealthy target if there is no other. */
	private chooseLastResort(
		serving: readonly TargetState[],
		request: PlacementRequest,
		nowMs: number,
	): Placement | undefined {
		const candidates = serving.filter((target) => isAllowed(target, request));
		if (candidates.length === 0) {
			return undefined;
		}
		return this.chooseLowestCost(candidates, 'lastResort', 0, nowMs);
	}

	private chooseLowestCost(
		candidates: readonly TargetState[],
		reason: PlacementReason,
		meanLoad: number,
		nowMs: number,
		recordStep?: StepRecorder,
	): Placement {
		return {
			target:
				this.findByReports(candidates, meanLoad, nowMs, recordStep) ?? this.findLowestCost(candidates, nowMs),
			reason,
			meanLoad,
			cachedTokens: 0,
			cacheSource: undefined,
		};
	}

	/** Finds a target by the load reports of the service; undefined if its targets report no fourth figure. */
	private findByReports(
		candidates: readonly TargetState[],
		meanLoad: number,
		nowMs: number,
		recordStep: StepRecorder | undefined,
	): TargetState | undefined {
		if (candidates[0]?.statedLoad.isInUse !== true) {
			return undefined;
		}
		const fastestMs = findFastest(candidates);
		const choices = candidates.map((target) => ({
			target,
			estimate: target.estimateLoad(nowMs),
			slots: target.record.slots,
			relativeTime: Math.max(1, target.computeSlowdown(fastestMs, nowMs) / MIN_SPEED_RATIO),
			extraCost: target.record.zone === this.ownZone ? 0 : CROSS_ZONE_TIME,
		}));
		return chooseByDrawnLoad(choices, meanLoad, this.random, recordStep);
	}

	/** Finds the target with the lowest cost by load, response time and availability zone. */
	private findLowestCost(candidates: readonly TargetState[], nowMs: number): TargetState {
		const fastestMs = findFastest(candidates);
		return findLowest(candidates, (target) => {
			const zoneCost = target.record.zone === this.ownZone ? 0 : CROSS_ZONE_COST;
			const slowdown = target.computeSlowdown(fastestMs, nowMs);
			return (
				(target.load / target.record.slots + BASE_UTILIZATION + zoneCost / ZONE_COST_SLOTS) * slowdown +
				this.random() * RANDOM_COST
			);
		});
	}
}

/** Returns the shortest average time to the response head, in ms; 1 if none is known. */
function findFastest(targets: readonly TargetState[]): number {
	const timesMs = targets.map(({ timeToHeadMs }) => timeToHeadMs).filter((timeMs) => timeMs !== undefined);
	return timesMs.length === 0 ? 1 : Math.min(...timesMs);
}

function selectHealthy(live: readonly TargetState[], nowMs: number): TargetState[] {
	const lowestFailureRate = live.reduce((lowest, { health }) => Math.min(lowest, health.failureRate), 1);
	return live.filter(({ health, ownRequests }) => !health.isOutlier(lowestFailureRate, ownRequests, nowMs));
}

function isAllowed({ record }: TargetState, { excluded, allowed, version }: PlacementRequest): boolean {
	return !excluded.has(record.id) && (allowed?.has(record.id) ?? true) && isOfVersion(record, version);
}

function isOfVersion(record: TargetRecord, version: string | undefined): boolean {
	return version === undefined || record.version === version;
}

function isReachable(target: TargetState, nowMs: number): boolean {
	return !target.health.isSuspended(target.ownRequests, nowMs) && !target.isUnresponsive(nowMs);
}

function findLowest(
	targets: readonly TargetState[],
	computeCost: (target: TargetState) => number,
): TargetState {
	let best: TargetState | undefined;
	let lowest = Infinity;
	for (const target of targets) {
		const cost = computeCost(target);
		if (best === undefined || cost < lowest) {
			best = target;
			lowest = cost;
		}
	}
	if (best === undefined) {
		throw new RangeError('Cannot choose a target from an empty list.');
	}
	return best;
}
