import { expect } from 'chai';
import { TargetColdness } from '../../src/common/targetColdness.js';

const COLD_START = { durationMs: 3000, requestsPerSecond: 13 };

describe('TargetColdness', () => {
	let coldness: TargetColdness;

	beforeEach(() => {
		coldness = new TargetColdness();
		coldness.updateDefinition(COLD_START, 2);
	});

	it('does not limit a target that is not cold, nor one of a service without cold targets', () => {
		expect(coldness.computeDelay(0)).to.equal(0);
		const other = new TargetColdness();
		other.recordAssumption('listed', 0);
		other.recordStatement(5000, 0);
		other.recordUnreachable(0);
		expect(other.computeDelay(0)).to.equal(0);
	});

	it('allows the share in any one second, across the borders of windows', () => {
		coldness.recordAssumption('listed', 0);
		coldness.recordSent(900);
		coldness.recordSent(1000);
		expect(coldness.computeDelay(1100)).to.equal(850);
		expect(coldness.computeDelay(1950)).to.equal(0);
		coldness.recordSent(1950);
		expect(coldness.computeDelay(1960)).to.equal(90);
		expect(coldness.computeDelay(3000)).to.equal(0);
	});

	it('counts what was sent in the second before the target turned cold, also to its earlier start', () => {
		coldness.recordSent(500);
		coldness.recordSent(600);
		const next = new TargetColdness();
		next.updateDefinition(COLD_START, 2);
		next.copySends(coldness);
		next.recordStatement(3000, 700);
		expect(next.computeDelay(700)).to.equal(850);
	});

	it('an instance without a share sends nothing until the target is warm', () => {
		coldness.updateDefinition(COLD_START, 0);
		coldness.recordAssumption('regained', 0);
		expect(coldness.computeDelay(2999)).to.equal(Infinity);
		expect(coldness.computeDelay(3000)).to.equal(0);
	});

	it('an answer that states that the target is warm ends what was assumed or stated', () => {
		coldness.recordAssumption('regained', 0);
		coldness.adopt(9000, 0, true);
		coldness.recordStatement(0, 100);
		expect(coldness.computeRemaining(100)).to.equal(0);
	});

	it('an entry does not end the assumption for a target that was out of use since it was written', () => {
		coldness.recordAssumption('listed', 0);
		coldness.recordListed(500, 0);
		expect(coldness.computeRemaining(0)).to.equal(500);
		coldness.recordAssumption('regained', 1000);
		coldness.recordListed(0, 1000);
		expect(coldness.computeRemaining(1000)).to.equal(3000);
	});

	it('is cold from when a target that could not be reached is reached again', () => {
		coldness.recordUnreachable(0);
		coldness.recordContact(5000);
		expect(coldness.computeRemaining(5000)).to.equal(3000);
		coldness.recordContact(6000);
		expect(coldness.computeRemaining(6000)).to.equal(2000);
	});

	it('an instance without a share, which cannot find out itself, hears that a target is back, or tries in the end', () => {
		coldness.recordUnreachable(0);
		coldness.adoptRegained(1200, 4000);
		expect(coldness.computeRemaining(4000)).to.equal(1200);
		coldness.recordUnreachable(10_000);
		expect(coldness.computeRemaining(19_999)).to.equal(1);
		expect(coldness.computeRemaining(20_000)).to.equal(0);
	});

	// Guards against all instances without a share sending at once to a target that returns after 10 s.
	it('an instance without a share tries an unreachable target once, after its delay, and then waits again', () => {
		coldness.updateDefinition(COLD_START, 0, 4000);
		coldness.recordUnreachable(0);
		expect(coldness.computeDelay(13_999)).to.equal(Infinity);
		expect(coldness.computeDelay(14_000)).to.equal(0);
		coldness.recordSent(14_000);
		expect(coldness.computeDelay(27_999)).to.equal(Infinity);
		expect(coldness.computeDelay(28_000)).to.equal(0);
	});

	it('one instance that cannot reach a target may have lost its path; two make it cold for all', () => {
		coldness.adoptUnreachable('a', 0);
		coldness.adoptUnreachable('a', 100);
		expect(coldness.computeRemaining(100)).to.equal(0);
		coldness.adoptUnreachable('b', 200);
		expect(coldness.computeRemaining(200)).to.be.greaterThan(0);
	});

	it('a faulty statement does not limit a target for good', () => {
		coldness.recordStatement(999_999_999, 0);
		expect(coldness.computeRemaining(60_000)).to.equal(0);
	});
});
