/** Buffers the prompts that are new to an engine until they have been gossiped to the other instances. */
import { computePeerInterval } from './gossipInterval.js';
import type { PromptUpdate } from './peerState.js';
import type { CachedLink, PromptChain } from './promptChain.js';
import { listSharedLinks } from './promptChain.js';

/** Each peer receives an update in this many messages, since a message may be lost. */
const MESSAGES_PER_UPDATE = 2;
/** Added to the time-to-live of an update, since rounds begin late on a busy instance. */
const ROUND_DELAY_MS = 100;
/** Most recent updates that a message contains; peers receive the omitted ones with a snapshot. */
const MAX_UPDATES = 150;
/** Limit of the links in these updates; as text they take up to half of a datagram, which holds the whole state. */
const MAX_LINKS = 1500;
/** Hash and token count. */
const NUMBERS_PER_LINK = 2;

export class PromptUpdateBuffer {
	private entries: { readonly update: PromptUpdate; readonly expiresAtMs: number }[] = [];

	/** @param computeInterval returns the time between two messages to the same peer in ms, by the number of peers */
	constructor(private readonly computeInterval = computePeerInterval) {}

	/** @param peers number of peers that are to receive the update */
	public add(target: string, chain: PromptChain, peers: number, nowMs: number): void {
		const links = listSharedLinks(chain).flatMap(({ hash, tokens }) => [hash, tokens]);
		if (links.length > MAX_LINKS * NUMBERS_PER_LINK) {
			return;
		}
		const update = { target, links };
		const ttlMs = MESSAGES_PER_UPDATE * this.computeInterval(peers) + ROUND_DELAY_MS;
		this.entries.push({ update, expiresAtMs: nowMs + ttlMs });
		this.trim();
	}

	public list(nowMs: number): readonly PromptUpdate[] {
		this.entries = this.entries.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
		return this.entries.map(({ update }) => update);
	}

	/** Omits the oldest updates beyond the limits. */
	private trim(): void {
		let kept = 0;
		let numbers = 0;
		for (const { update } of this.entries.toReversed()) {
			numbers += update.links.length;
			if (kept === MAX_UPDATES || numbers > MAX_LINKS * NUMBERS_PER_LINK) {
				break;
			}
			kept += 1;
		}
		this.entries.splice(0, this.entries.length - kept);
	}
}

export function decodeUpdateLinks({ links: encoded }: PromptUpdate): readonly CachedLink[] {
	const links: CachedLink[] = [];
	for (let index = 0; index + 1 < encoded.length; index += 2) {
		links.push({ hash: encoded[index] ?? 0, tokens: encoded[index + 1] ?? 0 });
	}
	return links;
}
