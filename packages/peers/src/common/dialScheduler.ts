/** Schedules dial attempts, with jitter, to routers that are listed but not members and to dead members. */
import type { RouterInstance } from '@papayawell/core';
import type { ListedRouters } from './listedRouters.js';
import { MemberStatus } from './memberStatus.js';
import type { MemberRecord } from './memberRecord.js';
import type { MembershipTiming } from './membershipTiming.js';
import type { RandomChoice } from './randomChoice.js';

export class DialScheduler {
	private nextDialMs = 0;

	constructor(
		private readonly self: string,
		private readonly timing: MembershipTiming,
		private readonly random: RandomChoice,
	) {}

	/** Picks the routers to dial at `nowMs`. Returns an empty list until the next attempt is due. */
	public pickRoutersToDial(
		nowMs: number,
		listed: ListedRouters,
		members: ReadonlyMap<string, { readonly record: MemberRecord }>,
	): readonly RouterInstance[] {
		if (nowMs < this.nextDialMs) {
			return [];
		}
		this.nextDialMs =
			nowMs + this.timing.minDialIntervalMs + this.random.pickInt(this.timing.minDialIntervalMs);
		const nonMembers = listed
			.list()
			.filter(({ instance }) => instance !== this.self && !members.has(instance));
		const dead = [...members.values()]
			.filter(({ record }) => record.status === MemberStatus.Dead)
			.map(({ record }) => record.router);
		const count = members.size === 0 ? this.timing.indirectProbeCount : 1;
		return this.random.pickSome([...nonMembers, ...dead], count);
	}
}
