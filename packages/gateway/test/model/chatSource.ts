/** Source of chats that begin with one of a few roots and return within seconds. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

const ROOTS = 58;
const MEAN_ROOT_TOKENS = 1200;
const MEAN_CHAT_TOKENS = 3200;
const MIN_CHAT_TOKENS = 100;
const MAX_CHAT_TOKENS = 18_000;
/** Share of the requests that begin a new chat; the others return to a recent one. */
const NEW_CHAT_SHARE = 0.42;
const RECENT_CHATS_S = 8;

/** Long shared prompts: 8,620 tokens with the root. */
const LONG_ROOTS = 4;
const LONG_ROOT_TOKENS = 2500;
const LONG_PREFIX_TOKENS = 6120;
const HOT_PREFIX_SHARE = 0.16;

export interface Part {
	readonly id: string;
	readonly tokens: number;
}

/** The parts of a chat's prompt that its requests share: a root, which other chats have too, and the chat's own. */
export type Chat = readonly [root: Part, own: Part];

/** Source of the prompts of a model; returns the parts that the next request shares with others. */
export interface PromptSource {
	next(): readonly Part[];
}

/** Source of long prompts that share one of a fixed number of prefixes, of which the first is used most. */
export class SharedPrefixSource implements PromptSource {
	constructor(
		private readonly random: RandomGenerator,
		private readonly prefixes: number,
	) {}

	public next(): readonly Part[] {
		const isHot = uniformFloat64(this.random) < HOT_PREFIX_SHARE;
		const index = isHot ? 0 : uniformInt(this.random, 0, this.prefixes - 1);
		return [
			{ id: `a${index % LONG_ROOTS}`, tokens: LONG_ROOT_TOKENS },
			{ id: `b${index}`, tokens: LONG_PREFIX_TOKENS },
		];
	}
}

export class ChatSource implements PromptSource {
	private readonly roots: readonly Part[];
	private readonly recentChats: Chat[] = [];
	private readonly maxRecentChats: number;
	private chatCount = 0;

	constructor(
		private readonly random: RandomGenerator,
		requestsPerSecond: number,
	) {
		this.maxRecentChats = Math.ceil(requestsPerSecond * NEW_CHAT_SHARE * RECENT_CHATS_S);
		this.roots = Array.from({ length: ROOTS }, (_, index) => ({
			id: `a${index}`,
			tokens: Math.round(MEAN_ROOT_TOKENS * (0.2 + 1.6 * uniformFloat64(random))),
		}));
	}

	/** Picks the chat of the next request. */
	public next(): Chat {
		if (this.recentChats.length > 0 && uniformFloat64(this.random) > NEW_CHAT_SHARE) {
			return pick(this.recentChats, uniformInt(this.random, 0, this.recentChats.length - 1));
		}
		// Roots differ much in use: the first gets about a quarter of the chats.
		const root = pick(this.roots, Math.floor(ROOTS * uniformFloat64(this.random) ** 3));
		this.chatCount += 1;
		const chat: Chat = [root, { id: `b${this.chatCount}`, tokens: this.pickChatTokens() }];
		this.recentChats.push(chat);
		this.recentChats.splice(0, this.recentChats.length - this.maxRecentChats);
		return chat;
	}

	/** Most chats are short, and a few hold a whole dossier. */
	private pickChatTokens(): number {
		const tokens = -Math.log(1 - uniformFloat64(this.random)) * MEAN_CHAT_TOKENS;
		return Math.round(Math.min(MAX_CHAT_TOKENS, Math.max(MIN_CHAT_TOKENS, tokens)));
	}
}

export function pick<T>(items: readonly T[], index: number): T {
	const item = items[index];
	if (item === undefined) {
		throw new RangeError(`There is no item ${index} among ${items.length}.`);
	}
	return item;
}
