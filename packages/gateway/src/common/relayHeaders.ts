/** Headers by which one instance hands a request to another, which sends it to a target. Their names go over the wire. */
import type { FleetInstance } from './peerState.js';

const RELAYED_BY_HEADER = 'papayawell-relayed-by';
const USED_TARGETS_HEADER = 'papayawell-used-targets';

/** Headers that only instances send. */
export const RELAY_HEADERS: ReadonlySet<string> = new Set([RELAYED_BY_HEADER, USED_TARGETS_HEADER]);

/** What the first instance tells of a request that it relays. */
export interface RelayedRequest {
	/** Name of the instance, and its start, which only its peers know. */
	readonly instance: string;
	readonly incarnation: string;
	/** Targets on which the request ran or may have run. */
	readonly usedTargets: readonly string[];
}

/** @param usedTargets targets on which the request ran or may have run */
export function buildRelayHeaders(
	{ name, incarnation }: FleetInstance,
	usedTargets: readonly string[],
): readonly string[] {
	const headers = [RELAYED_BY_HEADER, `${name} ${incarnation}`];
	return usedTargets.length === 0 ? headers : [...headers, USED_TARGETS_HEADER, usedTargets.join(' ')];
}

/** Returns undefined if the request does not come from an instance. */
export function readRelayHeaders(
	headers: Readonly<NodeJS.Dict<string | string[]>>,
): RelayedRequest | undefined {
	const relayedBy = headers[RELAYED_BY_HEADER];
	if (typeof relayedBy !== 'string') {
		return undefined;
	}
	const [instance = '', incarnation = ''] = relayedBy.split(' ');
	const used = headers[USED_TARGETS_HEADER];
	const usedTargets = typeof used === 'string' ? used.split(' ').filter((id) => id !== '') : [];
	return { instance, incarnation, usedTargets };
}
