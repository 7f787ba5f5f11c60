import { expect } from 'chai';
import { RetryBudget } from '../../src/common/retryBudget.js';

const SETTINGS = { ratio: 0.2, windowMs: 10_000, slack: 56 };

function takeAll(budget: RetryBudget, nowMs: number, slack: number): number {
	let taken = 0;
	while (budget.tryAcquire(nowMs, slack)) {
		taken += 1;
	}
	return taken;
}

describe('RetryBudget', () => {
	for (const instances of [1, 4, 31]) {
		it(`keeps ${instances} instances together within the fleet's budget`, () => {
			const budgets = Array.from({ length: instances }, () => new RetryBudget(SETTINGS));
			for (const budget of budgets) {
				for (let request = 0; request < 100; request++) {
					budget.recordRequest(request * 50);
				}
			}
			const taken = budgets.reduce((sum, budget) => sum + takeAll(budget, 5000, 56 / instances), 0);
			expect(taken).to.be.at.most(0.2 * 100 * instances + 56);
			expect(taken).to.be.at.least(0.1 * 100 * instances + 56 - instances);
		});
	}

	it('keeps every time span of the window length within the budget, and uses nearly all of it', () => {
		const budget = new RetryBudget(SETTINGS);
		const takenAtMs: number[] = [];
		for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
			budget.recordRequest(nowMs);
			while (budget.tryAcquire(nowMs, 56)) {
				takenAtMs.push(nowMs);
			}
		}
		for (let startMs = 0; startMs < 50_000; startMs += 100) {
			const inSpan = takenAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + 10_000).length;
			expect(inSpan).to.be.at.most(0.2 * 100 + 56);
		}
		expect(takenAtMs.length).to.be.at.least((60_000 / 10_000) * 0.8 * (0.2 * 100 + 56));
	});

	// Guards against retries that are forgotten up to a tenth of the window too early.
	it('keeps two bursts just within a window within the budget', () => {
		for (let offsetMs = 0; offsetMs < 1000; offsetMs += 50) {
			const budget = new RetryBudget(SETTINGS);
			const taken = takeAll(budget, 1000 + offsetMs, 56) + takeAll(budget, 10_990 + offsetMs, 56);
			expect(taken).to.equal(56);
		}
	});

	// Guards against requests that earn retries at an instance that is gone and again where their callers went.
	it('earns with all requests of a window no more than the ratio, however often the instance starts anew', () => {
		let taken = 0;
		for (let run = 0; run < 5; run++) {
			const budget = new RetryBudget(SETTINGS);
			for (let request = 0; request < 100; request++) {
				budget.recordRequest(run * 2000 + request * 20);
			}
			taken += takeAll(budget, run * 2000 + 1990, 0);
		}
		expect(taken).to.be.within(50, 100);
	});

	// Guards against requests from before a suspension that earn retries after it.
	it('earns nothing with requests from before the clock stood still, and remembers the retries', () => {
		const budget = new RetryBudget(SETTINGS);
		for (let request = 0; request < 100; request++) {
			budget.recordRequest(request * 50);
		}
		expect(takeAll(budget, 5000, 4)).to.equal(14);
		budget.forgetRequests();
		expect(takeAll(budget, 5100, 16)).to.equal(2);
		budget.recordRequest(5200);
		expect(budget.describeUse(5200)).to.deep.equal({ retries: 16, requests: 1 });
	});

	it('restores the slack when the window and the longest delay of a retry have passed', () => {
		const budget = new RetryBudget(SETTINGS);
		const first = takeAll(budget, 1000, 14);
		expect(takeAll(budget, 5000, 14)).to.equal(0);
		expect(takeAll(budget, 12_500, 14)).to.equal(first);
	});
});
