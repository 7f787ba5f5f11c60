/** Encodes the list of targets for transfer to a peer. */
import type { TargetRecord } from './targetRecord.js';
import type { ListedTargets } from './targetView.js';

export interface PeerTargetList {
	readonly list: ListedTargets;
	/** Time since the list was last confirmed by the store, in ms. */
	readonly ageMs: number;
}

export function encodeTargetList(peerList: PeerTargetList): string {
	return JSON.stringify(peerList);
}

/** Returns undefined if the text is not a list or contains an invalid record. */
export function decodeTargetList(text: string): PeerTargetList | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// The caller logs the failure.
		return undefined;
	}
	return isPeerTargetList(value) ? value : undefined;
}

function isPeerTargetList(value: unknown): value is PeerTargetList {
	const { list, ageMs } = (value ?? {}) as Partial<PeerTargetList>;
	return (
		typeof ageMs === 'number' &&
		typeof list?.era === 'number' &&
		typeof list.revision === 'number' &&
		Array.isArray(list.targets) &&
		list.targets.every(isTargetRecord)
	);
}

function isTargetRecord(value: unknown): value is TargetRecord {
	const record = (value ?? {}) as Partial<TargetRecord>;
	return (
		typeof record.id === 'string' &&
		typeof record.service === 'string' &&
		typeof record.address === 'string' &&
		typeof record.zone === 'string' &&
		typeof record.slots === 'number' &&
		typeof record.isLeaving === 'boolean' &&
		typeof record.startedAtMs === 'number' &&
		typeof record.version === 'string'
	);
}
