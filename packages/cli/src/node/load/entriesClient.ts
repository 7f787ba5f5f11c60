/** Queries routers for the entry addresses of a chat and caches each answer for its time-to-live. */
import type { Dispatcher } from 'undici';
import { z } from 'zod';

const entriesSchema = z.object({
	entries: z.array(z.object({ address: z.string() })),
	ttlMs: z.number(),
});

const REQUEST_TIMEOUT_MS = 3_000;
/** Maximum number of cached answers; the oldest is evicted first. */
const MAX_CACHED_ANSWERS = 50_000;

interface CachedOrigins {
	readonly origins: readonly string[];
	readonly expiresAtMs: number;
}

export class EntriesClient {
	private readonly cache = new Map<string, CachedOrigins>();
	/** The seeds and every address that any answer has contained. */
	private readonly knownOrigins: Set<string>;
	private firstOriginIndex = 0;

	/** `seeds`: origins of some routers. */
	constructor(
		seeds: readonly string[],
		private readonly dispatcher: Dispatcher,
	) {
		this.knownOrigins = new Set(seeds);
	}

	/** Returns the origins to use for a chat, in order of preference; empty if no router answers. */
	public async listOrigins(callerKey: string, chat: string | undefined): Promise<readonly string[]> {
		const cacheKey = `${callerKey}\n${chat ?? ''}`;
		const cached = this.cache.get(cacheKey);
		if (cached !== undefined && cached.expiresAtMs > performance.now()) {
			return cached.origins;
		}
		for (const origin of this.listKnownOrigins()) {
			const answer = await this.fetchOrigins(origin, callerKey, chat);
			if (answer !== undefined) {
				this.storeOrigins(cacheKey, answer);
				return answer.origins;
			}
		}
		return [];
	}

	/** Evicts a cached answer whose addresses failed. */
	public evict(callerKey: string, chat: string | undefined): void {
		this.cache.delete(`${callerKey}\n${chat ?? ''}`);
	}

	/** Lists all known origins, rotated by one on each call to spread the queries over the routers. */
	private listKnownOrigins(): readonly string[] {
		const origins = [...this.knownOrigins];
		this.firstOriginIndex = (this.firstOriginIndex + 1) % origins.length;
		return [...origins.slice(this.firstOriginIndex), ...origins.slice(0, this.firstOriginIndex)];
	}

	private async fetchOrigins(
		origin: string,
		callerKey: string,
		chat: string | undefined,
	): Promise<CachedOrigins | undefined> {
		const query = chat === undefined ? '' : `?chat=${encodeURIComponent(chat)}`;
		try {
			const answer = await this.dispatcher.request({
				origin,
				path: `/v1/entries${query}`,
				method: 'GET',
				headers: { authorization: `Bearer ${callerKey}` },
				signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
			});
			const text = await answer.body.text();
			return answer.statusCode === 200 ? parseEntries(text) : undefined;
		} catch {
			return undefined;
		}
	}

	private storeOrigins(cacheKey: string, answer: CachedOrigins): void {
		this.cache.delete(cacheKey);
		this.cache.set(cacheKey, answer);
		answer.origins.forEach((origin) => this.knownOrigins.add(origin));
		const [oldest] = this.cache.keys();
		if (this.cache.size > MAX_CACHED_ANSWERS && oldest !== undefined) {
			this.cache.delete(oldest);
		}
	}
}

function parseEntries(text: string): CachedOrigins | undefined {
	const parsed = entriesSchema.safeParse(JSON.parse(text));
	if (!parsed.success || parsed.data.entries.length === 0) {
		return undefined;
	}
	return {
		origins: parsed.data.entries.map((entry) => `http://${entry.address}`),
		expiresAtMs: performance.now() + parsed.data.ttlMs,
	};
}
