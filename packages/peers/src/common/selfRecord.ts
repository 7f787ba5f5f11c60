/** Record of this router, which only the router itself may issue. */
import type { RouterInstance } from '@papayawell/core';
import { MemberStatus } from './memberStatus.js';
import type { MemberRecord } from './memberRecord.js';
import { isNewerRecord } from './memberRecord.js';

export class SelfRecord {
	private record: MemberRecord;

	constructor(router: RouterInstance) {
		this.record = { router, refutation: 0, status: MemberStatus.Alive };
	}

	public read(): MemberRecord {
		return this.record;
	}

	public setStatus(status: MemberStatus): void {
		this.record = { ...this.record, status };
	}

	/**
	 * Handles another router's claim about this one. Returns whether the claim was refuted with a newer record.
	 */
	public receiveClaim(claim: MemberRecord): boolean {
		const own = this.record;
		const isSameIncarnation = claim.router.incarnation === own.router.incarnation;
		const isOverridden = !isNewerRecord(own, claim) && claim.status !== own.status;
		if (!isSameIncarnation || !isOverridden || own.status === MemberStatus.Left) {
			return false;
		}
		this.record = { ...own, refutation: claim.refutation + 1 };
		return true;
	}
}
