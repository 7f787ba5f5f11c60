/** Digest of a list of targets, by which instances find out that their lists are equal. */
import { hashTextTo32 } from '@papayawell/core';
import type { TargetRecord } from './targetRecord.js';

/** Computes a digest that does not depend on the order of the records. */
export function computeDigest(records: readonly TargetRecord[]): number {
	const lines = records.map((record) => JSON.stringify(record));
	return hashTextTo32(lines.sort().join('\n'));
}
