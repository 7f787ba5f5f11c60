/** The response to `GET /v1/entries`: the routers that a caller should connect to. */
import type { RouterMember, RouterView } from '@papayawell/core';
import { hashToUnit, RouterState } from '@papayawell/core';

/** Maximum number of routers in one response; a caller tries them in order. */
const MAX_ENTRIES = 4;

export interface Entry {
	readonly instance: string;
	/** Address that the router accepts callers at, `ip:port`. */
	readonly address: string;
	readonly zone: string;
}

export interface EntriesResponse {
	readonly entries: readonly Entry[];
	/** How long the caller may cache this response, in ms. */
	readonly ttlMs: number;
}

/**
 * Ranks the routers that accept requests: `preferred` first if it is one of them, the others by rendezvous hash
 * of `key` (the chat, or a random string if there is none), so that routers with the same view return the same order.
 */
export function rankEntries(
	view: RouterView,
	key: string,
	ttlMs: number,
	preferred?: string,
): EntriesResponse {
	const ranked = view
		.filter((member) => isAcceptingRequests(member))
		.map((member) => ({ member, score: computeScore(member, key, preferred) }))
		.sort((a, b) => b.score - a.score)
		.slice(0, MAX_ENTRIES);
	return { entries: ranked.map(({ member }) => toEntry(member)), ttlMs };
}

function computeScore({ router }: RouterMember, key: string, preferred: string | undefined): number {
	return router.instance === preferred ? Infinity : hashToUnit(`${key}\n${router.instance}`);
}

function isAcceptingRequests(member: RouterMember): boolean {
	return member.state === RouterState.Alive || member.state === RouterState.Suspect;
}

function toEntry(member: RouterMember): Entry {
	const { instance, callersAddress, zone } = member.router;
	return { instance, address: callersAddress, zone };
}
