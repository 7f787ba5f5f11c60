/** Compares the prefix cache hits of the engines with those of a single cache of their combined size. */
import type { ChatRequest, EngineLogEntry } from '@papayawell/stand-ins';
import { PrefixCache, renderPrompt } from '@papayawell/stand-ins';
import type { PlannedRequest } from './plannedRequest.js';

export interface CacheReuse {
	readonly promptTokens: number;
	readonly cachedTokens: number;
	/** Prompt tokens that a single cache of the pool's combined size would have found. */
	readonly possibleTokens: number;
	/** `cachedTokens / possibleTokens`, or 1 when nothing could be found. */
	readonly share: number;
}

/** `generations` must be in the order in which they were sent; `cacheTokens` is the combined cache size. */
export function computeCacheReuse(
	generations: readonly PlannedRequest[],
	log: readonly EngineLogEntry[],
	cacheTokens: number,
): CacheReuse {
	const started = log.filter((entry) => entry.event === 'started');
	const promptTokens = sumValues(started.map((entry) => entry.promptTokens));
	const cachedTokens = sumValues(started.map((entry) => entry.cachedTokens));
	const possibleTokens = countReusableTokens(generations, cacheTokens);
	const share = possibleTokens === 0 ? 1 : cachedTokens / possibleTokens;
	return { promptTokens, cachedTokens, possibleTokens, share };
}

function countReusableTokens(generations: readonly PlannedRequest[], cacheTokens: number): number {
	const cache = new PrefixCache(cacheTokens);
	return sumValues(
		generations.map((request) => {
			const prompt = renderPrompt((JSON.parse(request.body) as ChatRequest).messages);
			const found = cache.match(prompt);
			cache.store(prompt, '');
			return found;
		}),
	);
}

function sumValues(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
