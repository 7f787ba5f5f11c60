/** One entry of the list of targets. */

export interface TargetRecord {
	/** Names the instance; an address may pass to another one. */
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	/** Requests that it works on at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Start of its process in epoch ms; tells a restart under the same id. 0 if unknown. */
	readonly startedAtMs: number;
}

/** Whether two records mean the same process in the same state. */
export function isSameRecord(a: TargetRecord, b: TargetRecord): boolean {
	return (
		a.id === b.id &&
		a.service === b.service &&
		a.address === b.address &&
		a.zone === b.zone &&
		a.slots === b.slots &&
		a.isLeaving === b.isLeaving &&
		a.startedAtMs === b.startedAtMs
	);
}
