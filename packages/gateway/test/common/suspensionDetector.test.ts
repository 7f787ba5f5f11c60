import { expect } from 'chai';
import { SuspensionDetector } from '../../src/common/suspensionDetector.js';

describe('SuspensionDetector', () => {
	it('tells once for how long the steady clock stood still, and ignores corrections and steps back', () => {
		const detector = new SuspensionDetector();
		const times: readonly (readonly [number, number])[] = [
			[0, 50_000],
			[100, 50_100],
			[200, 54_200],
			[300, 54_300],
			[400, 54_600],
			[500, 49_700],
		];
		expect(times.map(([steadyMs, timeOfDayMs]) => detector.check(steadyMs, timeOfDayMs))).to.deep.equal([
			0, 0, 4000, 0, 0, 0,
		]);
	});
});
