/**
 * Chooses an engine for a prompt: the one that has most of it cached, within a load limit that grows with what is
 * saved. A long cached prefix may use nearly all of the promised bound; a prompt that is cheap to read again keeps
 * out of its way, so that hot subjects do not overflow and get read on one engine after the other.
 */
import { hashPair } from '@papayawell/core';
import type { PromptChain } from './promptChain.js';
import { countTokens } from './promptChain.js';
import type { TargetState } from './targetState.js';

/** Load limit as a multiple of the mean plus a slack, for prompts that save nothing. */
const BASE_FACTOR = 1.15;
const BASE_SLACK = 1;
/** The same for prompts that save most; the deployment promises 2 x mean + 3, and the loads of peers are late. */
const FULL_FACTOR = 1.7;
const FULL_SLACK = 2.5;
/** Saved tokens from which the full limit holds: about 65 ms of reading. */
const FULL_SAVING_TOKENS = 2000;

/** Prompt tokens that an engine reads in a ms beside its running requests, at least. */
const READ_TOKENS_PER_MS = 25;
/** Part of the latency objective that may pass with reading, the queue of prompts before it included. */
const READING_SHARE = 0.5;

/** Fetching a cached part from another engine takes this part of the time of reading it. */
const FETCH_TIME_SHARE = 0.3;
/** Tokens that a fetch has to save to be worth its set-up. */
const MIN_FETCH_TOKENS = 200;

export interface CacheRequest {
	readonly prompt: PromptChain;
	/** Time to the first event that is aimed at, in ms. */
	readonly objectiveMs: number;
}

export interface CacheChoice {
	readonly target: TargetState;
	/** Tokens of the prompt that it probably has. */
	readonly cachedTokens: number;
	/** Whether a better cached one was at its limit. */
	readonly isOverflow: boolean;
	/** The engine to fetch the rest of the cached prompt from. */
	readonly source: TargetState | undefined;
}

interface Candidate {
	readonly target: TargetState;
	readonly cachedTokens: number;
	readonly isWithinLimit: boolean;
	/** Whether it can have read the prompt in time for the objective. */
	readonly isInTime: boolean;
	/** Tokens to read until the first event, those of the prompts before it included. */
	readonly tokensToRead: number;
}

/** The engine that has most of a prompt, among all that can be asked for it. */
interface CacheSource {
	readonly target: TargetState;
	readonly cachedTokens: number;
}

/**
 * @param targets engines that may take the prompt
 * @param sources engines that cached parts may be fetched from; empty if they cannot
 * @param meanLoad mean over all healthy targets of the service, those not among the candidates included
 */
export function chooseByCache(
	targets: readonly TargetState[],
	request: CacheRequest,
	sources: readonly TargetState[],
	meanLoad: number,
): CacheChoice | undefined {
	const source = findSource(sources, request.prompt);
	const candidates = targets.map((target) => weighCandidate(target, request, source, meanLoad));
	const choice = chooseCandidate(candidates, request.prompt);
	if (choice === undefined) {
		return undefined;
	}
	const isFetching = source !== undefined && countFetched(source, choice.cachedTokens) > 0;
	return { ...choice, source: isFetching ? source.target : undefined };
}

function chooseCandidate(
	candidates: readonly Candidate[],
	chain: PromptChain,
): Omit<CacheChoice, 'source'> | undefined {
	const allowed = candidates.filter(({ isWithinLimit }) => isWithinLimit);
	if (allowed.length === 0) {
		return findLowest(candidates, ({ target }) => target.load);
	}
	const within = allowed.filter(({ isInTime }) => isInTime);
	if (within.length === 0) {
		return findLowest(allowed, ({ tokensToRead }) => tokensToRead);
	}
	const best = Math.max(...within.map(({ cachedTokens }) => cachedTokens));
	const bestAnywhere = Math.max(...candidates.map(({ cachedTokens }) => cachedTokens));
	const equal = within.filter(({ cachedTokens }) => cachedTokens === best);
	const choice = pickByHash(equal, findPlacingHash(chain, best));
	return choice === undefined ? undefined : { ...choice, isOverflow: best < bestAnywhere };
}

function findSource(sources: readonly TargetState[], prompt: PromptChain): CacheSource | undefined {
	let best: CacheSource | undefined;
	for (const target of sources) {
		const cachedTokens = target.promptCache.countCached(prompt);
		if (cachedTokens > (best?.cachedTokens ?? 0)) {
			best = { target, cachedTokens };
		}
	}
	return best;
}

function countFetched(source: CacheSource | undefined, cachedTokens: number): number {
	const tokens = (source?.cachedTokens ?? 0) - cachedTokens;
	return tokens >= MIN_FETCH_TOKENS ? tokens : 0;
}

function weighCandidate(
	target: TargetState,
	{ prompt, objectiveMs }: CacheRequest,
	source: CacheSource | undefined,
	meanLoad: number,
): Candidate {
	const cachedTokens = target.promptCache.countCached(prompt);
	const saving = Math.min(1, cachedTokens / FULL_SAVING_TOKENS);
	const factor = BASE_FACTOR + (FULL_FACTOR - BASE_FACTOR) * saving;
	const slack = BASE_SLACK + (FULL_SLACK - BASE_SLACK) * saving;
	const limit = Math.min(target.record.slots, factor * meanLoad + slack);
	const missing = countTokens(prompt) - cachedTokens;
	const saved = (1 - FETCH_TIME_SHARE) * countFetched(source, cachedTokens);
	const tokensToRead = target.readingTokens + missing - saved;
	return {
		target,
		cachedTokens,
		isWithinLimit: target.load + 1 <= limit,
		isInTime: tokensToRead <= READING_SHARE * objectiveMs * READ_TOKENS_PER_MS,
		tokensToRead,
	};
}

/**
 * Returns the hash by which instances that know the same pick the same engine: that of the first part that is not
 * cached, so that prompts with a common beginning gather.
 */
function findPlacingHash(chain: PromptChain, cachedTokens: number): number {
	let sum = 0;
	for (const { hash, tokens } of chain) {
		sum += tokens;
		if (sum > cachedTokens) {
			return hash;
		}
	}
	return chain.at(-1)?.hash ?? 0;
}

function pickByHash(candidates: readonly Candidate[], hash: number): Candidate | undefined {
	let best: Candidate | undefined;
	let highest = -1;
	for (const candidate of candidates) {
		const score = hashPair(hash, candidate.target.nameHash);
		if (score > highest) {
			best = candidate;
			highest = score;
		}
	}
	return best;
}

function findLowest(
	candidates: readonly Candidate[],
	weigh: (candidate: Candidate) => number,
): Omit<CacheChoice, 'source'> | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		if (best === undefined || weigh(candidate) < weigh(best)) {
			best = candidate;
		}
	}
	return best === undefined ? undefined : { ...best, isOverflow: true };
}
