import { expect } from 'chai';
import { RetryWindow } from '../../src/common/retryWindow.js';

const SETTINGS = { ratio: 0.2, windowMs: 10_000, slack: 56 };

function takeAll(window: RetryWindow, nowMs: number, instances: number): number {
	let taken = 0;
	while (window.take(nowMs, instances)) {
		taken += 1;
	}
	return taken;
}

describe('RetryWindow', () => {
	for (const instances of [1, 4, 31]) {
		it(`keeps ${instances} instances together below the fleet's allowance`, () => {
			const windows = Array.from({ length: instances }, () => new RetryWindow(SETTINGS));
			for (const window of windows) {
				for (let request = 0; request < 100; request++) {
					window.noteRequest(request * 50);
				}
			}
			const taken = windows.reduce((sum, window) => sum + takeAll(window, 5000, instances), 0);
			expect(taken).to.be.at.most(0.2 * 100 * instances + 56);
			expect(taken).to.be.greaterThan(0.5 * (0.2 * 100 * instances));
		});
	}

	it('keeps every span of the window below the allowance', () => {
		const window = new RetryWindow(SETTINGS);
		const takenAtMs: number[] = [];
		for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
			window.noteRequest(nowMs);
			while (window.take(nowMs, 1)) {
				takenAtMs.push(nowMs);
			}
		}
		for (let startMs = 0; startMs < 50_000; startMs += 500) {
			const inSpan = takenAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + 10_000).length;
			expect(inSpan).to.be.at.most(0.2 * 100 + 56);
		}
	});

	it('gives the allowance back when the window has passed', () => {
		const window = new RetryWindow(SETTINGS);
		const first = takeAll(window, 1000, 4);
		expect(takeAll(window, 5000, 4)).to.equal(0);
		expect(takeAll(window, 12_500, 4)).to.equal(first);
	});
});
