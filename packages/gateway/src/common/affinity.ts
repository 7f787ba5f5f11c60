/** What a target should have cached to serve a request cheaply. */
import { hashTextTo32 } from '@papayawell/core';
import type { GatewayRequest } from './gatewayRequest.js';

/** Hashes the parts that the request shares with others; undefined without a prompt. */
export function computeAffinityHash({ prompt }: GatewayRequest): number | undefined {
	if (prompt.length === 0) {
		return undefined;
	}
	const shared = prompt.length === 1 ? prompt : prompt.slice(0, -1);
	return hashTextTo32(shared.map(({ id }) => id).join(','));
}
