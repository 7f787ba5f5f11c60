/** Targets that an instance could not reach, or that failed, and that are sound again: they get their share of requests. */
import { expect } from 'chai';
import { TargetTable } from '../../src/common/targetTable.js';
import type { TargetState } from '../../src/common/targetState.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { makeRecord } from '../common/fixtures.js';

/** Ways in which a call to a bad target ends. */
type Failure = 'unreachable' | 'reset' | 'error' | 'slow';

const TICK_MS = 5;
const BAD_FROM_MS = 1000;
const BAD_UNTIL_MS = 8000;
/** Time after which each target that is sound again must get its share of requests. */
const STABLE_MS = 3000;
/** The same for targets that were slow: their requests are answered, and each trial of one that still is costs a caller time. */
const STABLE_AFTER_SLOW_MS = 8000;
const OBSERVED_MS = 4000;
const REQUESTS_PER_TARGET_PER_SECOND = 8;
const ANSWER_MS = 40;
const CONNECT_TIMEOUT_MS = 300;
/** Requests to a target that goes on to fail, of those that it would get if it were sound. */
const MAX_TRIAL_SHARE = 0.25;

class Instance {
	public readonly table = new TargetTable('a');
	private readonly agenda = new Map<number, (() => void)[]>();
	private due = 0;
	private requests = 0;

	constructor(
		private readonly targets: number,
		private readonly bad: number,
		private readonly failure: Failure,
		private readonly hasPrompts: boolean,
	) {
		const added = Array.from({ length: targets }, (_, index) => makeRecord(`engine-${index}`));
		this.table.applyChange({ added, changed: [], removed: [] });
	}

	/** Sends requests until `untilMs`, counted from `fromMs`; returns how many each target got. */
	public run(fromMs: number, untilMs: number, badUntilMs: number): readonly number[] {
		const counts = new Array<number>(this.targets).fill(0);
		for (let nowMs = fromMs; nowMs < untilMs; nowMs += TICK_MS) {
			for (const work of this.agenda.get(nowMs) ?? []) {
				work();
			}
			this.agenda.delete(nowMs);
			for (
				this.due += (this.targets * REQUESTS_PER_TARGET_PER_SECOND * TICK_MS) / 1000;
				this.due >= 1;
				this.due--
			) {
				const isBad = nowMs >= BAD_FROM_MS && nowMs < badUntilMs;
				this.send(nowMs, isBad, counts);
			}
		}
		return counts;
	}

	private send(nowMs: number, isBadTime: boolean, counts: number[]): void {
		this.requests += 1;
		const prompt = this.hasPrompts
			? buildPromptChain([
					{ id: `chat-${this.requests}`, tokens: 500 },
					{ id: `own-${this.requests}`, tokens: 50 },
				])
			: [];
		const placement = this.table.choose(
			{
				service: 'engines',
				prompt,
				objectiveMs: 1000,
				hasCacheTransfer: false,
				excluded: new Set(),
				allowed: undefined,
				version: undefined,
			},
			nowMs,
		);
		if (placement === undefined) {
			return;
		}
		const { target } = placement;
		const index = Number(target.record.id.split('-')[1]);
		counts[index] = (counts[index] ?? 0) + 1;
		target.recordRequestSent(nowMs, 0);
		const isBad = isBadTime && index < this.bad;
		const endsAtMs = nowMs + this.computeDuration(isBad);
		this.schedule(endsAtMs, () => {
			this.end(target, isBad, endsAtMs, endsAtMs - nowMs);
		});
	}

	private computeDuration(isBad: boolean): number {
		if (!isBad) {
			return ANSWER_MS;
		}
		switch (this.failure) {
			case 'unreachable':
				return CONNECT_TIMEOUT_MS;
			case 'reset':
			case 'error':
				return ANSWER_MS;
			case 'slow':
				return 10 * ANSWER_MS;
		}
	}

	private end(target: TargetState, isBad: boolean, nowMs: number, elapsedMs: number): void {
		target.recordRequestEnded(nowMs);
		if (isBad && this.failure === 'unreachable') {
			target.health.recordConnectionFailure(nowMs, true);
			return;
		}
		target.recordActivity(nowMs);
		if (isBad && this.failure === 'reset') {
			target.health.recordConnectionFailure(nowMs, false);
			return;
		}
		target.recordTimeToHead(elapsedMs, nowMs);
		target.health.recordResponse(isBad && this.failure === 'error', nowMs);
	}

	private schedule(atMs: number, work: () => void): void {
		const dueMs = Math.ceil(atMs / TICK_MS) * TICK_MS;
		const works = this.agenda.get(dueMs) ?? [];
		works.push(work);
		this.agenda.set(dueMs, works);
	}
}

describe('targets that were bad for a time', () => {
	for (const targets of [2, 6, 20, 100]) {
		for (const bad of [...new Set([1, Math.ceil(targets / 2), targets - 1, targets])]) {
			for (const failure of ['unreachable', 'reset', 'error', 'slow'] as const) {
				for (const hasPrompts of [false, true]) {
					const name = `${bad} of ${targets}, ${failure}${hasPrompts ? ', with prompts' : ''}`;
					// Guards against exclusions that only a call to the excluded target could end.
					it(`get their share again soon after they are sound (${name})`, () => {
						const instance = new Instance(targets, bad, failure, hasPrompts);
						const from = BAD_UNTIL_MS + (failure === 'slow' ? STABLE_AFTER_SLOW_MS : STABLE_MS);
						instance.run(0, from, BAD_UNTIL_MS);
						const counts = instance.run(from, from + OBSERVED_MS, BAD_UNTIL_MS);
						const fair = REQUESTS_PER_TARGET_PER_SECOND * (OBSERVED_MS / 1000);
						const starved = counts.filter((count) => count < fair / 4).length;
						expect(starved).to.equal(0);
					});
				}
			}
		}
	}

	for (const targets of [2, 6, 20, 100]) {
		for (const failure of ['unreachable', 'reset', 'error'] as const) {
			it(`get hardly more than trials while they go on to fail (1 of ${targets}, ${failure})`, () => {
				const instance = new Instance(targets, 1, failure, false);
				const counts = instance.run(0, 20_000, Infinity);
				const fair = REQUESTS_PER_TARGET_PER_SECOND * 20;
				expect(counts[0]).to.be.at.most(MAX_TRIAL_SHARE * fair);
			});
		}
	}
});
