import { expect } from 'chai';
import { TargetTable } from '../../src/common/targetTable.js';
import { EvacuationSync } from '../../src/node/evacuationSync.js';
import { makeRecord } from '../common/fixtures.js';

const REQUEST = {
	service: 'engines',
	prompt: [],
	objectiveMs: 100,
	hasCacheTransfer: false,
	excluded: new Set<string>(),
};

describe('EvacuationSync', () => {
	for (const isEnabled of [true, false]) {
		// An instance that was paused while a zone was evacuated must not send there before it has read the event.
		it(`the process was paused, evacuations are ${isEnabled ? '' : 'not '}in use`, () => {
			const targets = new TargetTable('a');
			targets.applyChange({ added: [makeRecord('x')], changed: [], removed: [] });
			const ignore = (): void => undefined;
			const sync = new EvacuationSync({
				isEnabled,
				targets,
				log: { write: ignore },
				closePools: ignore,
				onDidChange: ignore,
			});
			const isUsed = (nowMs: number): boolean =>
				targets.choose({ ...REQUEST, allowed: undefined, version: undefined }, nowMs) !== undefined;
			sync.tick(0);
			sync.tick(1900);
			expect(isUsed(1900)).to.equal(true);
			sync.tick(6000);
			expect([isUsed(6100), isUsed(6201)]).to.deep.equal([!isEnabled, true]);
		});
	}
});
