/** Encodes the list of targets for transfer to a peer. */
import type { TargetRecord } from './targetRecord.js';
import type { ListedColdness, ListedTargets } from './targetView.js';

export interface PeerTargetList {
	readonly list: ListedTargets;
	/** Time since the list was last confirmed by the store, in ms. */
	readonly ageMs: number;
	/** What the entries state of the remaining time in which targets are cold; undefined from older instances. */
	readonly coldness?: ReadColdness | undefined;
}

export interface ReadColdness {
	readonly entries: readonly ListedColdness[];
	/** Time since the entries were read from the store, in ms. */
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
	const { list, ageMs, coldness } = (value ?? {}) as Partial<PeerTargetList>;
	return (
		typeof ageMs === 'number' &&
		(coldness === undefined || isReadColdness(coldness)) &&
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

function isReadColdness(value: unknown): value is ReadColdness {
	const { entries, ageMs } = (value ?? {}) as Partial<ReadColdness>;
	return typeof ageMs === 'number' && Array.isArray(entries) && entries.every(isListedColdness);
}

function isListedColdness(value: unknown): value is ListedColdness {
	const entry = (value ?? {}) as Partial<ListedColdness>;
	return (
		typeof entry.id === 'string' &&
		typeof entry.startedAtMs === 'number' &&
		typeof entry.leftMs === 'number' &&
		typeof entry.revision === 'number'
	);
}
