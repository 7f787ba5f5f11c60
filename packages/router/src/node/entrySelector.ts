/**
 * Selects the routers that a caller is directed to. For a chat, the preferred router is the owner of the target
 * that the chat's affinity key ranks first: the owner counts the load of that target exactly and needs no owner
 * query.
 */
import { randomUUID } from 'node:crypto';
import type { EntriesResponse } from '@papayawell/callers';
import { rankEntries } from '@papayawell/callers';
import type { CallerKey, PeerNetwork, Rule, RuleSet } from '@papayawell/core';
import { makeChatKey } from '../common/affinity.js';
import type { PoolRegistry } from './poolRegistry.js';

export class EntrySelector {
	constructor(
		private readonly peers: PeerNetwork,
		private readonly pools: PoolRegistry,
		private readonly readRules: () => RuleSet | undefined,
		private readonly ttlMs: number,
	) {}

	public selectEntries(caller: CallerKey, chat: string | undefined): EntriesResponse {
		const preferred = chat === undefined ? undefined : this.findPreferredRouter(caller, chat);
		return rankEntries(this.peers.readView(), chat ?? randomUUID(), this.ttlMs, preferred);
	}

	/** The pool of a chat is that of the first rule with chat affinity that matches the caller. */
	private findPreferredRouter(caller: CallerKey, chat: string): string | undefined {
		const rule = this.readRules()?.rules.find((candidate) => isChatRule(candidate, caller));
		const key = makeChatKey(caller.customer, chat);
		return rule === undefined ? undefined : this.pools.getOrCreate(rule.pool).findEntryRouter(key);
	}
}

function isChatRule({ affinity, match }: Rule, caller: CallerKey): boolean {
	return (
		affinity === 'chat' &&
		(match.customer ?? caller.customer) === caller.customer &&
		(match.caller ?? caller.caller) === caller.caller &&
		match.kind !== 'call'
	);
}
