/** Affinity keys: requests with the same key prefer the same target, which may hold their cached prefixes. */
import type { CallerRequest } from '@papayawell/callers';
import type { Rule } from '@papayawell/core';
import { hashTextToHex } from '@papayawell/core';

const MAX_UNHASHED_NAME_LENGTH = 64;

/** Returns the affinity key, or undefined if the request prefers no target. Customers never share a key. */
export function computeAffinityKey(request: CallerRequest, rule: Rule): string | undefined {
	switch (rule.affinity) {
		case 'chat':
			return makeScopedKey(
				request,
				request.chat ?? request.generation?.chat ?? request.generation?.promptPrefix,
			);
		case 'customer':
			return request.customer;
		case 'prefix':
			return makeScopedKey(request, request.generation?.promptPrefix);
		case 'none':
			return undefined;
	}
}

/** Makes the affinity key of a named chat. Long names are hashed to bound the memory of the table of moved chats. */
export function makeChatKey(customer: string, chat: string): string {
	const name = chat.length > MAX_UNHASHED_NAME_LENGTH ? hashTextToHex(chat) : chat;
	return `${customer}\n${name}`;
}

function makeScopedKey(request: CallerRequest, key: string | undefined): string | undefined {
	return key === undefined ? undefined : makeChatKey(request.customer, key);
}
