/** Changes of an engine's prefix cache, published over `GET /cache-events`. */

export type CacheEvent =
	/** The first `tokens` tokens of this chat are cached. */
	| { readonly kind: 'stored'; readonly sequence: number; readonly cacheKey: string; readonly tokens: number }
	/** At least one block of the prefix of this chat was evicted. */
	| { readonly kind: 'evicted'; readonly sequence: number; readonly cacheKey: string }
	/** The whole cache was cleared. */
	| { readonly kind: 'cleared'; readonly sequence: number };

/** A cache event that has no sequence number yet. */
export type UnsequencedCacheEvent =
	| { readonly kind: 'stored'; readonly cacheKey: string; readonly tokens: number }
	| { readonly kind: 'evicted'; readonly cacheKey: string }
	| { readonly kind: 'cleared' };
