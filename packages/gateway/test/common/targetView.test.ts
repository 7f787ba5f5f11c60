import { expect } from 'chai';
import type { TargetRecord } from '../../src/common/targetRecord.js';
import type { ListedTargets } from '../../src/common/targetView.js';
import { isEmptyChange, TargetView } from '../../src/common/targetView.js';
import { makeRecord } from './fixtures.js';

function list(revision: number, ...targets: TargetRecord[]): ListedTargets {
	return { era: 1, revision, targets };
}

function listIds(view: TargetView): string[] {
	return view.records.map(({ id }) => id).sort();
}

describe('TargetView', () => {
	it('ignores a list that is older than the newest one', () => {
		const view = new TargetView();
		view.apply(list(5, makeRecord('a')), 'store', 0, 0);
		view.apply(list(4, makeRecord('b')), 'peer', 10, 10);
		expect(listIds(view)).to.deep.equal(['a']);
	});

	it('removes missing targets at once while the store is available', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		const { removed } = view.apply(list(2, makeRecord('b')), 'store', 700, 700);
		expect(removed.map(({ id }) => id)).to.deep.equal(['a']);
	});

	it('retains entries that expired during an outage of the store until the grace period is over', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		view.recordFailedRead(7000);
		view.apply(list(2), 'store', 8000, 8000);
		expect(listIds(view)).to.deep.equal(['a', 'b']);
		view.apply(list(3, makeRecord('b')), 'store', 9000, 9000);
		view.expire(10_100);
		expect(listIds(view)).to.deep.equal(['a', 'b']);
		view.expire(10_300);
		expect(listIds(view)).to.deep.equal(['b']);
	});

	// Guards against work for targets that left while this instance was late to read the list, and the store was not down.
	it('removes missing targets at once after a late read if the store answered all reads', () => {
		const view = new TargetView();
		view.recordFailedRead(0);
		view.apply(list(1, makeRecord('a'), makeRecord('b')), 'store', 10, 10);
		view.apply(list(2, makeRecord('b')), 'store', 8000, 8000);
		expect(listIds(view)).to.deep.equal(['b']);
	});

	it('keeps a target leaving until it restarts, even if a later list shows it as ready', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a', { isLeaving: true })), 'store', 0, 0);
		view.apply(list(2, makeRecord('a')), 'peer', 100, 100);
		expect(view.records[0]?.isLeaving).to.equal(true);
		view.apply(list(3, makeRecord('a', { startedAtMs: 2 })), 'store', 200, 200);
		expect(view.records[0]?.isLeaving).to.equal(false);
	});

	it('does not retain an expired entry of a leaving target', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a', { isLeaving: true })), 'store', 0, 0);
		view.recordFailedRead(7000);
		view.apply(list(2), 'store', 8000, 8000);
		expect(listIds(view)).to.deep.equal([]);
	});

	it('restore of the store: takes a list of the new era although its revision is lower, and ignores lists of the old one', () => {
		const view = new TargetView();
		view.apply(list(500, makeRecord('a')), 'store', 0, 0);
		view.apply({ ...list(20, makeRecord('a'), makeRecord('b')), era: 2 }, 'store', 700, 700);
		view.apply(list(501, makeRecord('c')), 'peer', 800, 800);
		expect(listIds(view)).to.deep.equal(['a', 'b']);
	});

	it('restore of the store: retains a missing target for 2.2 s, until it has registered again', () => {
		const view = new TargetView();
		view.apply(list(500, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		view.apply({ ...list(20, makeRecord('a')), era: 2 }, 'store', 700, 700);
		expect(listIds(view)).to.deep.equal(['a', 'b']);
		view.expire(2850);
		expect(listIds(view)).to.deep.equal(['a', 'b']);
		view.expire(2950);
		expect(listIds(view)).to.deep.equal(['a']);
	});

	it('restore of the store: a target that had announced its leaving gets no work, although it is listed as ready', () => {
		const view = new TargetView();
		view.apply(list(500, makeRecord('a', { isLeaving: true }), makeRecord('b')), 'store', 0, 0);
		view.apply(list(501, makeRecord('b')), 'store', 700, 700);
		view.apply({ ...list(20, makeRecord('a'), makeRecord('b')), era: 2 }, 'store', 1400, 1400);
		view.expire(60_000);
		expect(view.records.map(({ id, isLeaving }) => [id, isLeaving])).to.deep.equal([
			['a', true],
			['b', false],
		]);
		expect(view.listUnlistedLeaving()).to.deep.equal([['a', 1]]);
		const restarted = makeRecord('a', { startedAtMs: 2 });
		view.apply({ ...list(21, restarted, makeRecord('b')), era: 2 }, 'store', 61_000, 61_000);
		expect(view.records.map(({ isLeaving }) => isLeaving)).to.deep.equal([false, false]);
	});

	it('restore of the store: a removed target that is listed again gets no work until its entry outlives the copy', () => {
		const view = new TargetView();
		view.apply(list(500, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		view.apply(list(501, makeRecord('b')), 'store', 700, 700);
		view.apply({ ...list(20, makeRecord('a'), makeRecord('b')), era: 2 }, 'store', 1400, 1400);
		expect(view.records.map(({ isLeaving }) => isLeaving)).to.deep.equal([true, false]);
		expect(isEmptyChange(view.expire(3500))).to.equal(true);
		expect(view.expire(3700).changed.map(({ id, isLeaving }) => [id, isLeaving])).to.deep.equal([
			['a', false],
		]);
	});

	it('start after a restore: a target that a peer knows to be removed gets no work', () => {
		const view = new TargetView();
		view.apply(list(20, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		view.recordRemoved([['a', 1]], 10);
		expect(view.records.map(({ isLeaving }) => isLeaving)).to.deep.equal([true, false]);
	});

	it('a removed target that registers again while the store was not restored gets work at once', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a'), makeRecord('b')), 'store', 0, 0);
		view.apply(list(2, makeRecord('b')), 'store', 3000, 3000);
		view.expire(6000);
		view.apply(list(3, makeRecord('a'), makeRecord('b')), 'store', 6500, 6500);
		expect(view.records.map(({ isLeaving }) => isLeaving)).to.deep.equal([false, false]);
	});

	it('marks a target that announces its leaving in a response, for its present start only', () => {
		const view = new TargetView();
		view.apply(list(1, makeRecord('a', { startedAtMs: 7 })), 'store', 0, 0);
		expect(isEmptyChange(view.recordLeaving(['a', 6], 10))).to.equal(true);
		expect(view.recordLeaving(['a', 7], 20).changed.map(({ isLeaving }) => isLeaving)).to.deep.equal([true]);
		expect(isEmptyChange(view.recordLeaving(['a', 7], 30))).to.equal(true);
		view.apply(list(2, makeRecord('a', { startedAtMs: 7 })), 'store', 700, 700);
		expect(view.records[0]?.isLeaving).to.equal(true);
	});

	it('has the digest of the list as it was read, whatever it knows beyond it', () => {
		const [one, two] = [new TargetView(), new TargetView()];
		one.apply(list(1, makeRecord('a')), 'store', 0, 0);
		two.apply(list(1, makeRecord('a')), 'store', 0, 0);
		two.recordLeaving(['a', 1], 10);
		expect(two.digest).to.equal(one.digest);
	});

	it('computes the age from the last confirmation by the store, to itself or to a peer', () => {
		const view = new TargetView();
		view.apply(list(1), 'store', 1000, 1010);
		view.recordConfirmation(1500);
		view.recordConfirmation(1200);
		expect(view.computeAge(2000)).to.equal(500);
	});
});
