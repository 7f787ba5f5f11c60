import { expect } from 'chai';
import { computeReturnDelay } from '../../src/common/returnDelay.js';

describe('return of callers after all targets asked for a pause', () => {
	it('no caller returns before the earliest end of the pauses', () => {
		for (let priority = 0; priority <= 9; priority++) {
			expect(computeReturnDelay(1200, priority, 0)).to.be.at.least(1200);
		}
	});

	it('all callers of a more urgent priority return before those of a less urgent one', () => {
		for (let priority = 0; priority < 9; priority++) {
			expect(computeReturnDelay(1200, priority, 0.999)).to.be.at.most(
				computeReturnDelay(1200, priority + 1, 0),
			);
		}
	});

	it('a thousand callers of one priority do not return in the same 20 ms', () => {
		const counts = new Map<number, number>();
		for (let caller = 0; caller < 1000; caller++) {
			const slot = Math.floor(computeReturnDelay(1200, 3, (caller * 0.618) % 1) / 20);
			counts.set(slot, (counts.get(slot) ?? 0) + 1);
		}
		expect(Math.max(...counts.values())).to.be.at.most(300);
	});
});
