/**
 * Cache-aware placement: chooses the engine that has the most of a prompt cached, within a load limit that
 * grows with the cached tokens. A long cached prefix may use nearly all of the load bound, while prompts
 * that are cheap to prefill leave that headroom free. Without that headroom, hot prefixes would
 * overflow and be prefilled on engine after engine.
 */
import { hashPair } from '@papayawell/core';
import type { StepRecorder } from './placementTrace.js';
import type { PromptChain } from './promptChain.js';
import { countTokens } from './promptChain.js';
import type { TargetState } from './targetState.js';

/** Load limit for prompts without cached tokens: a multiple of the mean load, plus a slack in requests. */
const BASE_LOAD_FACTOR = 1.15;
const BASE_LOAD_SLACK = 1;
/**
 * Load limit for prompts with at least `MAX_LIMIT_CACHED_TOKENS` cached tokens. It stays below the load
 * bound of 2 x mean + 3, since the loads reported by peers are stale.
 */
const MAX_LOAD_FACTOR = 1.7;
const MAX_LOAD_SLACK = 2.5;
/** Cached tokens from which the highest load limit applies: about 65 ms of prefill. */
const MAX_LIMIT_CACHED_TOKENS = 2000;

/** Lowest prefill rate of an engine that also decodes running requests. */
const PREFILL_TOKENS_PER_MS = 25;
/** Share of the latency objective that prefill may take, including the prompts queued before this one. */
const PREFILL_OBJECTIVE_SHARE = 0.5;
/** How much more than on the engine with the shortest wait a long prompt may wait, as a share of the limit. */
const LONG_PROMPT_MARGIN_SHARE = 0.4;

/**
 * An engine with more of the prompt cached is passed over if another one is faster at this moment by this factor, and has
 * the first event sooner by it. A prefix is then prefilled, and takes memory, a second time. Without the first condition,
 * for the sake of a shorter queue alone, more shared tokens are prefilled again and more prompts are late.
 */
const FASTER_ELSEWHERE_RATIO = 1.25;

/** Time to fetch cached tokens from another engine, relative to the time to prefill them. */
export const FETCH_TIME_RATIO = 0.3;
/** Fewest tokens for which a fetch is worth its set-up. */
const MIN_FETCH_TOKENS = 200;

/** Share of the engines on which prompts with the same first part (the root) are placed. */
const ROOT_ENGINE_SHARE = 0.34;
const MIN_ROOT_ENGINES = 2;

/** Requests by which an engine of the own zone may be busier than the one that is chosen otherwise, of about 64 slots. */
const ZONE_LOAD_MARGIN = 2;
/** Prompt tokens by which its prefill queue may be longer: about 20 ms. */
const ZONE_PREFILL_MARGIN_TOKENS = 1000;

/** Prefixes with fewer uncached tokens are not placed by prefill queue: they take less than 70 ms to prefill. */
export const MIN_QUEUED_TOKENS = 4000;
/** Engines among which the one for a long uncached prefix is chosen. */
const QUEUE_CANDIDATES = 6;
/** Tokens by which the prefill queue of the first of them may exceed the shortest. */
const QUEUE_MARGIN_TOKENS = 1000;

export interface CacheRequest {
	readonly prompt: PromptChain;
	/** Latency objective: time to the first event, in ms. */
	readonly objectiveMs: number;
	/** Availability zone whose engines are preferred, so that requests and answers do not cross; undefined if all are alike. */
	readonly preferredZone?: string | undefined;
	/** Told which engines are left after each step. */
	readonly recordStep?: StepRecorder | undefined;
}

export interface CacheChoice {
	readonly target: TargetState;
	/** Tokens of the prompt that the engine probably has cached. */
	readonly cachedTokens: number;
	/** Whether an engine with more of the prompt cached was passed over. */
	readonly isOverflow: boolean;
	/** Engine from which to fetch more of the prompt's KV cache. */
	readonly cacheSource: TargetState | undefined;
}

interface Candidate {
	readonly target: TargetState;
	readonly cachedTokens: number;
	/** Requests on the engine, more if it is slower than the others. */
	readonly load: number;
	readonly slowdown: number;
	readonly isWithinLoadLimit: boolean;
	/** Whether the engine is within the load limit of a prompt that it has cached. */
	readonly isWithinCachedLoadLimit: boolean;
	/**
	 * Tokens that an engine of usual speed would prefill in the time until the first event, including those of the prompts
	 * queued before.
	 */
	readonly prefillTokens: number;
}

/** The engine with the most of a prompt cached, among those from which it can be fetched. */
interface CacheSource {
	readonly target: TargetState;
	readonly cachedTokens: number;
}

/**
 * @param targets engines that may run the request
 * @param sources engines from which cached tokens can be fetched; empty if the service does not support it
 * @param meanLoad mean load of all targets of the service that can be reached, including those that are not in `targets`
 */
export function chooseByCachedPrefix(
	targets: readonly TargetState[],
	request: CacheRequest,
	sources: readonly TargetState[],
	meanLoad: number,
	nowMs: number,
): CacheChoice | undefined {
	const source = findSource(sources, request.prompt);
	const estimates = targets.map((target) => target.estimateLoad(nowMs));
	const meanSlowdown = estimates.reduce((sum, { slowdown }) => sum + slowdown, 0) / estimates.length;
	const candidates = targets.map((target, index) => {
		const { requests, slowdown } = estimates[index] ?? target.estimateLoad(nowMs);
		const load = requests * Math.max(1, slowdown / meanSlowdown);
		return buildCandidate(target, request.prompt, source, meanLoad, load, slowdown, nowMs);
	});
	const choice = chooseCandidate(candidates, request);
	if (choice === undefined) {
		return undefined;
	}
	const isFetching = source !== undefined && countFetchedTokens(source, choice.cachedTokens) > 0;
	if (!isFetching) {
		return { ...choice, cacheSource: undefined };
	}
	const cacheSource =
		request.preferredZone === undefined
			? source.target
			: findEqualSource(sources, source, request.prompt, choice.target.record.zone);
	return { ...choice, cacheSource };
}

function chooseCandidate(
	candidates: readonly Candidate[],
	{ prompt: chain, objectiveMs, preferredZone, recordStep }: CacheRequest,
): Omit<CacheChoice, 'cacheSource'> | undefined {
	const withinLoadLimit = candidates.filter(({ isWithinLoadLimit }) => isWithinLoadLimit);
	recordStep?.('withinLoadLimit', listTargets(withinLoadLimit));
	if (withinLoadLimit.length === 0) {
		return findLowest(candidates, ({ load }) => load);
	}
	const prefillLimit = computePrefillLimit(withinLoadLimit, objectiveMs);
	const withinObjective = withinLoadLimit.filter(({ prefillTokens }) => prefillTokens <= prefillLimit);
	recordStep?.('withinObjective', listTargets(withinObjective));
	const cached = findMostCached(withinObjective);
	const missingTokens = countSharedTokens(chain) - cached.cachedTokens;
	const faster = listFaster(withinObjective, cached);
	const best =
		cached.target.statedLoad.isInUse && missingTokens >= MIN_QUEUED_TOKENS
			? chooseByPrefillQueue(withinObjective, chain)
			: missingTokens > 0
				? chooseUncached(candidates, withinObjective, prefillLimit, chain)
				: faster.length === 0
					? cached
					: pickByPrefixHash(faster, candidates.length, chain);
	// A prefix that is not cached yet goes to the engine that all zones choose, so that it is prefilled once.
	const mayMove = preferredZone !== undefined && best.cachedTokens >= countSharedTokens(chain);
	const choice = mayMove ? (findInZone(withinObjective, best, preferredZone) ?? best) : best;
	return { ...choice, isOverflow: choice.cachedTokens < findMostCached(candidates).cachedTokens };
}

/**
 * Returns how many tokens an engine may have to prefill before the first event. A prompt that is too long for its
 * objective on every engine is placed like the others among those that come close to the shortest wait: the engine
 * with the shortest one seems the same to all instances, so that they would all choose it at once.
 */
function computePrefillLimit(candidates: readonly Candidate[], objectiveMs: number): number {
	const limit = PREFILL_OBJECTIVE_SHARE * objectiveMs * PREFILL_TOKENS_PER_MS;
	const lowest = candidates.reduce((least, { prefillTokens }) => Math.min(least, prefillTokens), Infinity);
	return lowest <= limit ? limit : lowest + LONG_PROMPT_MARGIN_SHARE * limit;
}

/**
 * Chooses an engine for a prompt whose shared prefix no engine is known to have cached. Another instance may have
 * placed the prefix a moment ago, which this one has not heard of yet. It is then cached on the engine that its hash
 * selects among all, so that one is chosen even if it is only within the load limit of cached prompts.
 */
function chooseUncached(
	candidates: readonly Candidate[],
	withinObjective: readonly Candidate[],
	prefillLimit: number,
	chain: PromptChain,
): Candidate {
	const home = pickByPrefixHash(candidates, candidates.length, chain);
	return home.isWithinCachedLoadLimit && home.prefillTokens <= prefillLimit
		? home
		: pickByPrefixHash(withinObjective, candidates.length, chain);
}

/**
 * Lists the candidates on which the first event comes so much sooner that it is worth another copy of the prefix. Only
 * load reports tell the speed of an engine.
 */
function listFaster(candidates: readonly Candidate[], cached: Candidate): readonly Candidate[] {
	return cached.target.statedLoad.isInUse
		? candidates.filter(
				({ prefillTokens, slowdown }) =>
					FASTER_ELSEWHERE_RATIO * slowdown < cached.slowdown &&
					FASTER_ELSEWHERE_RATIO * prefillTokens < cached.prefillTokens,
			)
		: [];
}

/**
 * Chooses an engine for a long prefix that no engine is known to have cached, among the few that its hash ranks first:
 * the first of them unless another has much less to prefill. Instances that know little of one another choose the same
 * one, and those that know of a queue choose the same next one.
 */
function chooseByPrefillQueue(candidates: readonly Candidate[], chain: PromptChain): Candidate {
	const sharedPrefixHash = chain.at(chain.length > 1 ? -2 : -1)?.hash ?? 0;
	const ranked = [...candidates]
		.sort((a, b) => computeRendezvousScore(sharedPrefixHash, b) - computeRendezvousScore(sharedPrefixHash, a))
		.slice(0, QUEUE_CANDIDATES);
	const fewestTokens = Math.min(...ranked.map(({ prefillTokens }) => prefillTokens));
	const choice = ranked.find(({ prefillTokens }) => prefillTokens <= fewestTokens + QUEUE_MARGIN_TOKENS);
	return choice ?? findMostCached(candidates);
}

/**
 * Finds an engine of a zone that can take the place of `best` without loss to the caller: it has as much of the prompt
 * cached, and is hardly busier. A prefix is not copied for the sake of the zone: a token of a KV cache is larger than a
 * whole request.
 */
function findInZone(
	withinObjective: readonly Candidate[],
	best: Candidate,
	zone: string,
): Candidate | undefined {
	if (best.target.record.zone === zone) {
		return best;
	}
	const equal = withinObjective.filter(
		({ target, cachedTokens, load, prefillTokens }) =>
			target.record.zone === zone &&
			cachedTokens >= best.cachedTokens &&
			load <= best.load + ZONE_LOAD_MARGIN &&
			prefillTokens <= best.prefillTokens + ZONE_PREFILL_MARGIN_TOKENS,
	);
	return equal.length === 0 ? undefined : findMostCached(equal);
}

function listTargets(candidates: readonly Candidate[]): readonly TargetState[] {
	return candidates.map(({ target }) => target);
}

/** Returns the candidate with the most cached tokens; among equals the one with the lowest load. */
function findMostCached(candidates: readonly Candidate[]): Candidate {
	return candidates.reduce((best, candidate) => {
		const isEqual = candidate.cachedTokens === best.cachedTokens;
		const isBetter = candidate.cachedTokens > best.cachedTokens || (isEqual && candidate.load < best.load);
		return isBetter ? candidate : best;
	});
}

/** Counts the tokens of all parts but the last, which is specific to the request. */
function countSharedTokens(chain: PromptChain): number {
	return countTokens(chain.length > 1 ? chain.slice(0, -1) : chain);
}

function findSource(sources: readonly TargetState[], prompt: PromptChain): CacheSource | undefined {
	let best: CacheSource | undefined;
	for (const target of sources) {
		const cachedTokens = target.prefixCache.countCachedTokens(prompt);
		if (cachedTokens > (best?.cachedTokens ?? 0)) {
			best = { target, cachedTokens };
		}
	}
	return best;
}

/** Finds a source that has as much cached in the zone of the engine that fetches, since a fetch moves most bytes of all. */
function findEqualSource(
	sources: readonly TargetState[],
	best: CacheSource,
	prompt: PromptChain,
	zone: string,
): TargetState {
	const equal = sources.find(
		({ record, prefixCache }) =>
			record.zone === zone && prefixCache.countCachedTokens(prompt) >= best.cachedTokens,
	);
	return equal ?? best.target;
}

function countFetchedTokens(source: CacheSource | undefined, cachedTokens: number): number {
	const tokens = (source?.cachedTokens ?? 0) - cachedTokens;
	return tokens >= MIN_FETCH_TOKENS ? tokens : 0;
}

function buildCandidate(
	target: TargetState,
	prompt: PromptChain,
	source: CacheSource | undefined,
	meanLoad: number,
	load: number,
	slowdown: number,
	nowMs: number,
): Candidate {
	const cachedTokens = target.prefixCache.countCachedTokens(prompt);
	const savedShare = Math.min(1, cachedTokens / MAX_LIMIT_CACHED_TOKENS);
	const loadFactor = BASE_LOAD_FACTOR + (MAX_LOAD_FACTOR - BASE_LOAD_FACTOR) * savedShare;
	const loadSlack = BASE_LOAD_SLACK + (MAX_LOAD_SLACK - BASE_LOAD_SLACK) * savedShare;
	const { slots } = target.record;
	const uncachedTokens = countTokens(prompt) - cachedTokens;
	const fetchSavingTokens = (1 - FETCH_TIME_RATIO) * countFetchedTokens(source, cachedTokens);
	const queuedTokens = target.computePrefillTokens(nowMs);
	const prefillTokens = slowdown * (queuedTokens + uncachedTokens - fetchSavingTokens);
	return {
		target,
		cachedTokens,
		load,
		slowdown,
		isWithinLoadLimit: load + 1 <= Math.min(slots, loadFactor * meanLoad + loadSlack),
		isWithinCachedLoadLimit: load + 1 <= Math.min(slots, MAX_LOAD_FACTOR * meanLoad + MAX_LOAD_SLACK),
		prefillTokens,
	};
}

/**
 * Places a prompt whose shared prefix no candidate has cached, by rendezvous hashing: the hash of the first
 * part (the root) selects a subset of the engines, and the hash of the shared prefix selects one of these.
 * Instances with equal information choose the same engine, and prompts with the same root do not all go to
 * one engine.
 */
function pickByPrefixHash(
	candidates: readonly Candidate[],
	engineCount: number,
	chain: PromptChain,
): Candidate {
	const rootHash = chain[0]?.hash ?? 0;
	const sharedPrefixHash = chain.at(chain.length > 1 ? -2 : -1)?.hash ?? 0;
	const ranked = [...candidates].sort(
		(a, b) => computeRendezvousScore(rootHash, b) - computeRendezvousScore(rootHash, a),
	);
	const count = Math.max(MIN_ROOT_ENGINES, Math.ceil(engineCount * ROOT_ENGINE_SHARE));
	return ranked
		.slice(0, count)
		.reduce((best, candidate) =>
			computeRendezvousScore(sharedPrefixHash, candidate) > computeRendezvousScore(sharedPrefixHash, best)
				? candidate
				: best,
		);
}

function computeRendezvousScore(hash: number, { target }: Candidate): number {
	return hashPair(hash, target.nameHash);
}

function findLowest(
	candidates: readonly Candidate[],
	computeCost: (candidate: Candidate) => number,
): Omit<CacheChoice, 'cacheSource'> | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		if (best === undefined || computeCost(candidate) < computeCost(best)) {
			best = candidate;
		}
	}
	return best === undefined ? undefined : { ...best, isOverflow: true };
}
