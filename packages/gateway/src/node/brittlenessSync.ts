/** Keeps what targets say of their brittleness, and tells all instances when a brittle target rejects a request. */
import type { EventLog } from '../common/eventLog.js';
import type { RejectionMessage } from '../common/peerMessage.js';
import { parseStatedRate } from '../common/statedRate.js';
import { parseStatedLoad } from '../common/targetLoadReport.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';

/** Share of the instances that must be heard of, so that most rejections are. */
const MIN_HEARD_SHARE = 0.8;

export interface BrittlenessSyncParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	/** Sends a message to all other instances. */
	readonly broadcast: (message: RejectionMessage) => void;
	/** Returns the number of instances of the fleet, including those that were lost lately. */
	readonly countInstances: () => number;
	/** Returns the number of instances that are heard of now, including this one. */
	readonly countHeard: () => number;
}

export class BrittlenessSync {
	constructor(private readonly parts: BrittlenessSyncParts) {}

	/** Called periodically: divides the room of the targets among the instances. */
	public tick(): void {
		const instances = this.parts.countInstances();
		const hearsOthers = this.parts.countHeard() >= MIN_HEARD_SHARE * instances;
		for (const { brittleness } of this.parts.targets.all) {
			brittleness.instances = instances;
			brittleness.hearsOthers = hearsOthers;
		}
	}

	/**
	 * Records what a target says in a response, and whether it rejected the request with it.
	 * @param load the target's load report; undefined if the response carries none
	 */
	public recordStatement(
		target: TargetState,
		text: string | undefined,
		isRejection: boolean,
		load: string | undefined,
		nowMs: number,
	): void {
		const statement = parseStatedRate(text);
		switch (statement.kind) {
			case 'invalid':
				if (!target.hasInvalidBrittleness) {
					target.hasInvalidBrittleness = true;
					this.parts.log.write('decision', 'targetBrittle', { target: target.record.id, ...statement });
				}
				return;
			case 'none':
				this.state(target, undefined);
				return;
			case 'rate': {
				this.state(target, statement.requestsPerSecond);
				const stated = parseStatedLoad(load, target.record.slots);
				const held = stated.kind === 'load' ? stated.requests : undefined;
				if (!isRejection && held !== undefined) {
					target.brittleness.recordHeld(held, nowMs);
				}
				if (isRejection) {
					target.brittleness.recordRejection(nowMs, held);
					const { id, startedAtMs } = target.record;
					this.parts.broadcast({
						kind: 'rejection',
						target: id,
						startedAtMs,
						rejectionsPerSecond: statement.requestsPerSecond,
						held,
					});
				}
				return;
			}
		}
	}

	/** Adopts that a target rejected a request of another instance. */
	public adopt(message: RejectionMessage, nowMs: number): void {
		const { target: id, startedAtMs, rejectionsPerSecond, held } = message;
		const target = this.parts.targets.find(id);
		if (target?.record.startedAtMs === startedAtMs) {
			this.state(target, rejectionsPerSecond);
			target.brittleness.recordRejection(nowMs, held);
		}
	}

	private state(target: TargetState, rejectionsPerSecond: number | undefined): void {
		if (target.brittleness.state(rejectionsPerSecond)) {
			const kind = rejectionsPerSecond === undefined ? 'none' : 'brittle';
			this.parts.log.write('decision', 'targetBrittle', {
				target: target.record.id,
				kind,
				rejectionsPerSecond,
			});
		}
	}
}
