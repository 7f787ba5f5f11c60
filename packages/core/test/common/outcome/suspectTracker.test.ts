import { expect } from 'chai';
import type { QuarantineFact, SuspicionFact, TargetIncarnation } from '@papayawell/core';
import { SuspectTracker, hashToUnit } from '@papayawell/core';

const SETTINGS = { suspicionMs: 1000, quarantineMs: 5000 };

function makeTarget(instance: string): TargetIncarnation {
	return { instance, incarnation: '1' };
}

/** The trackers of several routers; facts they publish are delivered to the others by `deliver`. */
class TestFleet {
	public readonly facts: { readonly from: number; readonly fact: QuarantineFact | SuspicionFact }[] = [];
	public readonly trackers: SuspectTracker[];

	constructor(routers: number) {
		this.trackers = Array.from(
			{ length: routers },
			(_, from) => new SuspectTracker(SETTINGS, (fact) => this.facts.push({ from, fact })),
		);
	}

	public deliver(nowMs: number): void {
		for (const { from, fact } of this.facts.splice(0)) {
			this.trackers.forEach((tracker, index) => {
				if (index !== from) {
					tracker.adopt(fact, nowMs);
				}
			});
		}
	}
}

describe('SuspectTracker', () => {
	it('isolates suspects, quarantines the one that crashes a second target and clears one that completes', () => {
		const [tracker] = new TestFleet(1).trackers;
		for (const fingerprint of ['bad', 'good1', 'good2']) {
			tracker!.start(fingerprint, makeTarget('t1'));
		}
		expect(tracker!.noteTargetDied(makeTarget('t1'), 0)).to.have.members(['bad', 'good1', 'good2']);
		tracker!.start('bad', makeTarget('t2'));
		expect(tracker!.check('good1', 1)).to.deep.equal({
			kind: 'suspect',
			avoid: new Set(['t1', 't2']),
			isRunning: true,
		});
		expect(tracker!.noteTargetDied(makeTarget('t2'), 2)).to.deep.equal(['bad']);
		expect(tracker!.check('bad', 3).kind).to.equal('quarantined');
		expect(tracker!.check('good1', 3).kind).to.equal('suspect');
		const retry = tracker!.start('good1', makeTarget('t3'));
		tracker!.end(retry, 'completed', 4);
		expect(tracker!.check('good1', 5).kind).to.equal('clear');
	});

	it('does not blame a request whose answer had begun long before its target died', () => {
		const [tracker] = new TestFleet(1).trackers;
		const answered = tracker!.start('answered', makeTarget('t1'));
		const begun = tracker!.start('begun', makeTarget('t1'));
		const broken = tracker!.start('broken', makeTarget('t1'));
		tracker!.noteAnswering(answered, 0);
		tracker!.noteAnswering(broken, 0);
		tracker!.end(broken, 'broken', 800);
		tracker!.noteAnswering(begun, 900);
		tracker!.noteAnswering(answered, 900);
		expect(tracker!.noteTargetDied(makeTarget('t1'), 1000)).to.deep.equal(['begun']);
		expect(tracker!.check('answered', 1001).kind).to.equal('clear');
	});

	it('counts the death of one target once when several routers report it', () => {
		const fleet = new TestFleet(3);
		for (const tracker of fleet.trackers) {
			tracker.start('x', makeTarget('t1'));
			tracker.noteTargetDied(makeTarget('t1'), 0);
		}
		fleet.deliver(1);
		expect(fleet.trackers.map((tracker) => tracker.check('x', 1).kind)).to.deep.equal([
			'suspect',
			'suspect',
			'suspect',
		]);
		fleet.trackers[0]!.start('x', makeTarget('t2'));
		fleet.trackers[0]!.noteTargetDied(makeTarget('t2'), 2);
		fleet.deliver(3);
		expect(fleet.trackers.map((tracker) => tracker.check('x', 3).kind)).to.deep.equal(
			Array(3).fill('quarantined'),
		);
	});

	it('blames attempts that broke shortly before their target was found dead', () => {
		const [tracker] = new TestFleet(1).trackers;
		tracker!.end(tracker!.start('x', makeTarget('t1')), 'broken', 0);
		tracker!.end(tracker!.start('y', makeTarget('t1')), 'failed', 0);
		expect(tracker!.noteTargetDied(makeTarget('t1'), 500)).to.deep.equal(['x']);
		tracker!.end(tracker!.start('z', makeTarget('t2')), 'broken', 0);
		expect(tracker!.noteTargetDied(makeTarget('t2'), 20_000)).to.deep.equal([]);
	});

	it('ends a quarantine at its expiry, and on all routers by a release', () => {
		const fleet = new TestFleet(2);
		const [tracker, other] = fleet.trackers;
		for (const instance of ['t1', 't2']) {
			tracker!.start('x', makeTarget(instance));
			tracker!.noteTargetDied(makeTarget(instance), 0);
		}
		fleet.deliver(0);
		expect(other!.listQuarantined(4999).length).to.equal(1);
		expect(other!.listQuarantined(5000).length).to.equal(0);
		expect(other!.release('x', 10)).to.equal(true);
		expect(other!.release('x', 11)).to.equal(false);
		fleet.deliver(12);
		expect(tracker!.check('x', 12).kind).to.equal('clear');
	});

	for (const seed of ['1', '2', '3', '4', '5']) {
		it(`loses exactly two targets to 50 equal requests sent through four routers at once, seed ${seed}`, () => {
			const fleet = new TestFleet(4);
			const alive = new Set(['t1', 't2', 't3', 't4', 't5', 't6', 't7', 't8']);
			const rank = (text: string): string[] =>
				[...alive].sort((a, b) => hashToUnit(text + b) - hashToUnit(text + a));
			let lost = 0;
			for (let resend = 0; resend < 50; resend += 1) {
				const placed = fleet.trackers.flatMap((tracker) => {
					const status = tracker.check('crash', resend);
					if (status.kind === 'quarantined' || (status.kind === 'suspect' && status.isRunning)) {
						return [];
					}
					const avoid = status.kind === 'suspect' ? status.avoid : new Set<string>();
					const target = rank(`${seed}/crash/`).find((instance) => !avoid.has(instance));
					return target === undefined
						? []
						: [{ tracker, target, run: tracker.start('crash', makeTarget(target)) }];
				});
				for (const target of new Set(placed.map((one) => one.target))) {
					alive.delete(target);
					lost += 1;
				}
				for (const { tracker, target, run } of placed) {
					tracker.end(run, 'broken', resend);
					tracker.noteTargetDied(makeTarget(target), resend);
				}
				if (hashToUnit(`${seed}/gossip/${resend}`) < 0.3) {
					fleet.deliver(resend);
				}
			}
			expect(lost).to.equal(2);
		});
	}

	it('does not blame content that completed recently for the deaths of its targets', () => {
		const { trackers, deliver, facts } = makeBoundFleet(2);
		const [one, other] = trackers;
		for (const tracker of trackers) {
			tracker.end(tracker.start('hot', makeTarget('sound')), 'completed', 0);
		}
		for (const name of ['t1', 't2', 't3']) {
			one!.start('hot', makeTarget(name));
			one!.noteTargetDied(makeTarget(name), 100);
			deliver(100);
		}
		expect(facts).to.deep.equal([]);
		expect([one!.check('hot', 200).kind, other!.check('hot', 200).kind]).to.deep.equal(['clear', 'clear']);
	});

	it('blames content again once its last completion is older than the suspicion period', () => {
		const [tracker] = new TestFleet(1).trackers;
		tracker!.end(tracker!.start('bad', makeTarget('sound')), 'completed', 0);
		for (const name of ['t1', 't2']) {
			tracker!.start('bad', makeTarget(name));
			tracker!.noteTargetDied(makeTarget(name), 1500);
		}
		expect(tracker!.check('bad', 1600).kind).to.equal('quarantined');
	});
});

function makeBoundFleet(
	routers: number,
): Pick<TestFleet, 'trackers' | 'facts'> & { deliver: (nowMs: number) => void } {
	const fleet = new TestFleet(routers);
	return {
		trackers: fleet.trackers,
		facts: fleet.facts,
		deliver: (nowMs) => {
			fleet.deliver(nowMs);
		},
	};
}
