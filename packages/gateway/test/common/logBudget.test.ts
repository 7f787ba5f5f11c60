import { expect } from 'chai';
import { LogBudget } from '../../src/common/logBudget.js';

describe('LogBudget', () => {
	it('drops routine lines first, then decisions, and counts both', () => {
		const budget = new LogBudget();
		const routine = Array.from({ length: 500 }, () => budget.take('routine', 1000)).filter(Boolean).length;
		const decisions = Array.from({ length: 500 }, () => budget.take('decision', 1000)).filter(Boolean).length;
		expect(routine).to.equal(100);
		expect(decisions).to.equal(300);
		expect(budget.take('state', 1000)).to.equal(true);
		expect(budget.takeDropped()).to.equal(600);
		expect(budget.take('routine', 2000)).to.equal(true);
	});
});
