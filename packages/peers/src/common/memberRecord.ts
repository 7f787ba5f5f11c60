/** Member records exchanged between routers, and their precedence. */
import type { RouterInstance } from '@papayawell/core';
import { RouterState } from '@papayawell/core';
import { MemberStatus, nextMemberStatus } from './memberStatus.js';

export interface MemberRecord {
	readonly router: RouterInstance;
	/** Incremented each time the member refutes a claim about itself. */
	readonly refutation: number;
	readonly status: MemberStatus;
}

/** Whether the member issued `a` after `b`: in a later incarnation, or to refute a claim. */
export function isNewerRecord(a: MemberRecord, b: MemberRecord): boolean {
	if (a.router.incarnation !== b.router.incarnation) {
		return a.router.incarnation > b.router.incarnation;
	}
	return a.refutation > b.refutation;
}

/** Merges a claim about the same router into `record`. Returns undefined if the claim changes nothing. */
export function mergeClaim(record: MemberRecord, claim: MemberRecord): MemberRecord | undefined {
	const isNewer = isNewerRecord(claim, record);
	const isKnown = !isNewer && claim.status === record.status;
	if (isKnown || (!isNewer && isNewerRecord(record, claim))) {
		return undefined;
	}
	const status = nextMemberStatus(record.status, { type: claim.status, isNewer });
	return !isNewer && status === record.status ? undefined : { ...claim, status };
}

/** Formats the version of a record, for digests and comparisons. */
export function formatRecordVersion(record: MemberRecord): string {
	return `${record.router.incarnation}.${record.refutation}.${record.status}`;
}

/** Whether a member with this status is part of the overlay. */
export function isPresent(status: MemberStatus): boolean {
	return status !== MemberStatus.Dead && status !== MemberStatus.Left;
}

/** Maps a member status to the public router state. */
export function toRouterState(status: MemberStatus): RouterState {
	switch (status) {
		case MemberStatus.Alive:
			return RouterState.Alive;
		case MemberStatus.Draining:
			return RouterState.Draining;
		case MemberStatus.Suspect:
			return RouterState.Suspect;
		case MemberStatus.Dead:
		case MemberStatus.Left:
			return RouterState.Dead;
	}
}
