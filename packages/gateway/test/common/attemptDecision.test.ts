import { expect } from 'chai';
import fc from 'fast-check';
import type { AttemptState } from '../../src/common/attemptDecision.js';
import { decideAfterFailure } from '../../src/common/attemptDecision.js';

const FRESH: AttemptState = {
	isRepeatable: true,
	runs: 1,
	sends: 1,
	hasTarget: true,
	hasStarted: false,
	isResumable: false,
	hasTime: true,
};

describe('decideAfterFailure', () => {
	for (const [name, state, mayHaveRun, expected] of [
		['repeats what may run again', {}, true, 'retry'],
		['never repeats what may have run and must run once', { isRepeatable: false }, true, 'fail'],
		['sends on what was turned down', { isRepeatable: false, runs: 0 }, false, 'retry'],
		[
			'refuses what never ran and has no target left',
			{ isRepeatable: false, runs: 0, hasTarget: false },
			false,
			'refuse',
		],
		['fails what ran and has no target left', { hasTarget: false }, true, 'fail'],
		['does not start an attempt without time', { hasTime: false }, true, 'fail'],
		['goes on with a stream that may be resumed', { hasStarted: true, isResumable: true }, true, 'resume'],
		['breaks off a stream that may not', { hasStarted: true }, true, 'cut'],
		['stops after four runs', { runs: 4, sends: 4 }, true, 'fail'],
		['stops after six sends', { runs: 0, sends: 6 }, false, 'refuse'],
	] as const) {
		it(name, () => {
			expect(decideAfterFailure({ ...FRESH, ...state }, mayHaveRun)).to.equal(expected);
		});
	}

	it('never says that a request has not run when it may have', () => {
		fc.assert(
			fc.property(
				fc.record({
					isRepeatable: fc.boolean(),
					runs: fc.integer({ min: 1, max: 6 }),
					sends: fc.integer({ min: 1, max: 8 }),
					hasTarget: fc.boolean(),
					hasStarted: fc.boolean(),
					isResumable: fc.boolean(),
					hasTime: fc.boolean(),
				}),
				fc.boolean(),
				(state, mayHaveRun) => {
					expect(decideAfterFailure(state, mayHaveRun)).not.to.equal('refuse');
				},
			),
		);
	});
});
