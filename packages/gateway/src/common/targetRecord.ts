/**
 * An entry of the list of targets. Records are sent to peers and hashed, so their properties and order are
 * fixed.
 */

export interface TargetRecord {
	/** Identifies the target; its address may be reassigned to a different one. */
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	/** Number of requests that the target runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Start of the process in epoch ms, by which a restart under the same id is detected. 0 if unknown. */
	readonly startedAtMs: number;
	/** Version of the software, not of the models. Empty if unknown. */
	readonly version: string;
}

/** Returns whether two records describe the same process in the same state. */
export function isSameRecord(a: TargetRecord, b: TargetRecord): boolean {
	return (
		a.id === b.id &&
		a.service === b.service &&
		a.address === b.address &&
		a.zone === b.zone &&
		a.slots === b.slots &&
		a.isLeaving === b.isLeaving &&
		a.startedAtMs === b.startedAtMs &&
		a.version === b.version
	);
}
