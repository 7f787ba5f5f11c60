/** Model of an engine's prefix cache: an LRU cache of whole chats, bounded by its number of tokens. */

export class PrefixCacheModel {
	private readonly tokensByChat = new Map<string, number>();
	private usedTokens = 0;

	constructor(private readonly maxTokens: number) {}

	/** Returns how many tokens of the chat's prompt are cached. */
	public countCachedTokens(chat: string, promptTokens: number): number {
		return Math.min(this.tokensByChat.get(chat) ?? 0, promptTokens);
	}

	/**
	 * Stores the chat's tokens as the most recently used entry and evicts the least recently used ones beyond
	 * `maxTokens`.
	 */
	public store(chat: string, tokens: number): void {
		this.usedTokens += tokens - (this.tokensByChat.get(chat) ?? 0);
		this.tokensByChat.delete(chat);
		this.tokensByChat.set(chat, tokens);
		for (const [oldest, tokensOfOldest] of this.tokensByChat) {
			if (this.usedTokens <= this.maxTokens) {
				return;
			}
			this.tokensByChat.delete(oldest);
			this.usedTokens -= tokensOfOldest;
		}
	}

	public clear(): void {
		this.tokensByChat.clear();
		this.usedTokens = 0;
	}
}
