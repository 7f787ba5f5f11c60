/** The list of targets as one instance gives it to another. */
import { hashTextTo32 } from '@papayawell/core';
import type { TargetRecord } from './targetRecord.js';
import type { ListedTargets } from './targetView.js';

export interface PeerTargetList {
	readonly list: ListedTargets;
	/** Time since the store confirmed it, in ms. */
	readonly ageMs: number;
}

export function encodeTargetList(peerList: PeerTargetList): string {
	return JSON.stringify(peerList);
}

/** Undefined if the text is no list, or one with a record that can't be used. */
export function decodeTargetList(text: string): PeerTargetList | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// The caller reports it.
		return undefined;
	}
	return isPeerTargetList(value) ? value : undefined;
}

/** Equal lists have equal digests, whatever their order. */
export function computeDigest(records: readonly TargetRecord[]): number {
	const lines = records.map((record) => JSON.stringify(record));
	return hashTextTo32(lines.sort().join('\n'));
}

function isPeerTargetList(value: unknown): value is PeerTargetList {
	const { list, ageMs } = (value ?? {}) as Partial<PeerTargetList>;
	return (
		typeof ageMs === 'number' &&
		typeof list?.revision === 'number' &&
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
		typeof record.startedAtMs === 'number'
	);
}
