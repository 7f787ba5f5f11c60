import { expect } from 'chai';
import { TargetTable } from '../../src/common/targetTable.js';
import type { TargetState } from '../../src/common/targetState.js';
import { makeRecord } from './fixtures.js';

const RESIDENCE_MS = 100;

function makeTargets(count = 2): TargetState[] {
	const table = new TargetTable('a');
	const added = Array.from({ length: count }, (_, index) => makeRecord(`x-${index}`, { slots: 10 }));
	table.applyChange({ added, changed: [], removed: [] });
	const targets = [...table.all];
	targets[0]?.statedLoad.service.recordResidence(RESIDENCE_MS);
	return targets;
}

function report(
	target: TargetState,
	requests: number,
	reportedAtMs: number,
	slowdown: number | undefined = 1,
): boolean {
	return target.statedLoad.record({ requests, slowdown, reportedAtMs, isOwn: true }, target.ownRequests);
}

describe('TargetLoadEstimate', () => {
	it('without a fourth figure: equals the requests that the instances know, whatever the report says', () => {
		const [target] = makeTargets() as [TargetState];
		target.recordRequestSent(0, 0);
		target.peerRequests = 3;
		target.statedLoad.record({ requests: 9, slowdown: undefined, reportedAtMs: 10, isOwn: true }, 1);
		expect(target.estimateLoad(10)).to.deep.equal({ requests: target.load, deviation: 0, slowdown: 1 });
	});

	// Guards against counting the requests of this instance twice: in the report and again beside it.
	it('adds the requests that this instance sent since, and takes off those that ended', () => {
		const [target] = makeTargets() as [TargetState];
		report(target, 0, 0);
		target.recordRequestSent(10, 0);
		target.recordRequestSent(20, 0);
		report(target, 6, 30);
		expect(target.estimateLoad(30).requests).to.equal(6);
		target.recordRequestSent(40, 0);
		target.recordRequestEnded(50);
		target.recordRequestEnded(60);
		expect(target.estimateLoad(30).requests).to.equal(5);
	});

	it('places the requests of this instance before or after a report of a peer by its age', () => {
		const [target] = makeTargets() as [TargetState];
		report(target, 0, 0);
		target.recordRequestSent(10, 0);
		target.recordRequestSent(40, 0);
		report(target, 5, 20);
		expect(target.estimateLoad(20).requests).to.equal(6);
		expect(report(target, 9, 15)).to.equal(false);
	});

	// Guards against targets that are overloaded in turns: an old report must not make one look better than the others.
	it('approaches the mean of the service with the age of the report, and grows uncertain', () => {
		const [idle, busy] = makeTargets() as [TargetState, TargetState];
		report(idle, 0, 0);
		report(busy, 8, 0);
		expect([idle, busy].map((target) => target.estimateLoad(0).requests)).to.deep.equal([0, 8]);
		const old = [idle, busy].map((target) => target.estimateLoad(10_000));
		for (const { requests, deviation } of old) {
			expect(requests).to.be.closeTo(4, 0.01);
			expect(deviation).to.be.closeTo(2, 0.01);
		}
	});

	it('a target that no report is known of counts as the mean of the others', () => {
		const [known, unknown] = makeTargets() as [TargetState, TargetState];
		report(known, 6, 0);
		expect(unknown.estimateLoad(0).requests).to.equal(6);
	});

	// Guards against a slow target that is never found again, since it gets no request that would show its speed.
	it('forgets a slowdown within 600 ms', () => {
		const [target] = makeTargets() as [TargetState];
		report(target, 0, 0, 4);
		expect(target.estimateLoad(0).slowdown).to.equal(4);
		expect(target.estimateLoad(300).slowdown).to.equal(2.5);
		expect(target.estimateLoad(600).slowdown).to.equal(1);
	});
});
