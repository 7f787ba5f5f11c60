import { expect } from 'chai';
import { TargetRequestLimit } from '../../src/common/targetRequestLimit.js';

describe('TargetRequestLimit', () => {
	let limit: TargetRequestLimit;

	beforeEach(() => {
		limit = new TargetRequestLimit();
	});

	function record(requestsPerSecond: number | undefined, observedAtMs: number): boolean {
		return limit.record({ requestsPerSecond, observedAtMs, isOwn: true });
	}

	it('allows any number of requests before a limit is named', () => {
		limit.consume(0);
		expect(limit.computeDelay(0)).to.equal(0);
	});

	it('earns the share from the statement on', () => {
		record(2, 1000);
		limit.setShare(2, 1000);
		expect(limit.computeDelay(1000)).to.equal(500);
		expect(limit.computeDelay(1500)).to.equal(0);
		limit.consume(1500);
		expect(limit.computeDelay(1500)).to.equal(500);
	});

	it('keeps an unused share for a quarter of a second, or one request', () => {
		record(40, 0);
		limit.setShare(40, 0);
		let sent = 0;
		while (limit.computeDelay(10_000) === 0) {
			limit.consume(10_000);
			sent += 1;
		}
		expect(sent).to.equal(10);
	});

	it('an instance without a share has to wait until that changes', () => {
		record(1, 0);
		limit.setShare(0, 0);
		expect(limit.computeDelay(60_000)).to.equal(Infinity);
	});

	it('an earlier statement, which came late, changes nothing', () => {
		record(2, 1000);
		expect(record(undefined, 900)).to.equal(false);
		expect(limit.requestsPerSecond).to.equal(2);
		expect(record(undefined, 1100)).to.equal(true);
		expect(limit.computeDelay(1100)).to.equal(0);
	});

	it('a limit of none lets a request through now and then, which finds out when it ends', () => {
		record(0, 0);
		limit.setShare(limit.requestsPerSecond ?? 0, 0);
		expect(limit.computeDelay(0)).to.equal(4000);
	});
});
