import { expect } from 'chai';
import { RequestDurations } from '../../src/common/requestDurations.js';

const TIME_LEFT_MS = 3000;
const LONG_LIMIT_MS = 15_000;
/** More than are kept of a route. */
const MANY = 200;

describe('RequestDurations', () => {
	let durations: RequestDurations;

	beforeEach(() => {
		durations = new RequestDurations();
	});

	function record(count: number, durationMs: number): void {
		for (let index = 0; index < count; index++) {
			durations.record('read', durationMs);
		}
	}

	it('expects by the limit alone while little is known of a route', () => {
		record(3, 10);
		expect(durations.isEndExpected('read', TIME_LEFT_MS, LONG_LIMIT_MS)).to.equal(false);
		expect(durations.isEndExpected('read', TIME_LEFT_MS, TIME_LEFT_MS)).to.equal(true);
	});

	it('expects a request to take somewhat longer than the longest of the latest', () => {
		record(MANY, 10);
		expect(durations.isEndExpected('read', TIME_LEFT_MS, LONG_LIMIT_MS)).to.equal(true);
		expect(durations.isEndExpected('other', TIME_LEFT_MS, LONG_LIMIT_MS)).to.equal(false);
		record(1, TIME_LEFT_MS - 1);
		expect(durations.isEndExpected('read', TIME_LEFT_MS, LONG_LIMIT_MS)).to.equal(false);
		record(MANY, 10);
		expect(durations.isEndExpected('read', TIME_LEFT_MS, LONG_LIMIT_MS)).to.equal(true);
	});
});
