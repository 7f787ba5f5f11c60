import { expect } from 'chai';
import { TargetBrittleness } from '../../src/common/targetBrittleness.js';

const SLOTS = 8;
const BEARABLE = 10;

/** Counts the requests for which an instance finds room at once. */
function countRoom(brittleness: TargetBrittleness, nowMs: number): number {
	let requests = 0;
	while (requests < 10 * SLOTS && brittleness.computeDelay(requests, nowMs) === 0) {
		requests += 1;
	}
	return requests;
}

describe('TargetBrittleness', () => {
	it('does not limit a target that is not brittle', () => {
		expect(countRoom(new TargetBrittleness(SLOTS, 0), 0)).to.equal(10 * SLOTS);
	});

	it('keeps to the slots of a target that says that it is brittle, divided among the instances', () => {
		const brittleness = new TargetBrittleness(SLOTS, 0);
		expect(brittleness.state(BEARABLE)).to.equal(true);
		expect(brittleness.state(BEARABLE)).to.equal(false);
		expect(countRoom(brittleness, 0)).to.equal(SLOTS);
		brittleness.instances = 4;
		expect(countRoom(brittleness, 0)).to.equal(SLOTS / 4);
	});

	it('shrinks the room once for rejections that come together, and sends nothing until some requests have ended', () => {
		const brittleness = new TargetBrittleness(SLOTS, 0);
		brittleness.state(BEARABLE);
		brittleness.recordEnd(100);
		brittleness.recordRejection(1000, undefined);
		brittleness.recordRejection(1005, undefined);
		expect(countRoom(brittleness, 1010)).to.equal(0);
		expect(countRoom(brittleness, 1050)).to.equal(Math.floor(0.8 * SLOTS));
	});

	// Guards against a room that grew far beyond the slots and shrinks by a fifth at a time.
	it('bounds the room by what the target held when it rejected a request', () => {
		const brittleness = new TargetBrittleness(4 * SLOTS, 0);
		brittleness.state(BEARABLE);
		brittleness.recordEnd(100);
		brittleness.recordRejection(1000, SLOTS);
		expect(countRoom(brittleness, 1050)).to.equal(0);
		expect(countRoom(brittleness, 1100)).to.equal(1.25 * SLOTS);
	});

	it('does not grow the room while the target reports that enough requests wait', () => {
		for (const [held, isGrowing] of [
			[SLOTS + 6, false],
			[SLOTS, true],
		] as const) {
			const brittleness = new TargetBrittleness(SLOTS, 0);
			brittleness.state(BEARABLE);
			for (let nowMs = 0; nowMs < 3000; nowMs += 100) {
				brittleness.recordHeld(held, nowMs);
				countRoom(brittleness, nowMs);
			}
			expect(countRoom(brittleness, 3000) > SLOTS).to.equal(isGrowing);
		}
	});

	it('grows the room while it limits requests, but not if it does not hear of the rejections of others', () => {
		for (const [hearsOthers, expected] of [
			[true, true],
			[false, false],
		] as const) {
			const brittleness = new TargetBrittleness(SLOTS, 0);
			brittleness.state(BEARABLE);
			brittleness.hearsOthers = hearsOthers;
			for (let nowMs = 0; nowMs < 3000; nowMs += 100) {
				countRoom(brittleness, nowMs);
			}
			expect(countRoom(brittleness, 3000) > SLOTS).to.equal(expected);
		}
	});

	// Guards against a room that has regrown, without a trial, before the requests that filled the target have ended.
	it('does not grow the room while nobody may send after a rejection', () => {
		const brittleness = new TargetBrittleness(SLOTS, 0);
		brittleness.state(BEARABLE);
		brittleness.recordEnd(20_000);
		brittleness.recordRejection(0, undefined);
		for (let nowMs = 0; nowMs < 4000; nowMs += 100) {
			expect(countRoom(brittleness, nowMs)).to.equal(0);
		}
		expect(countRoom(brittleness, 4000)).to.equal(Math.floor(0.8 * SLOTS));
	});

	it('gives each of more instances than there is room a turn', () => {
		const brittleness = new TargetBrittleness(SLOTS, 0);
		brittleness.state(BEARABLE);
		brittleness.hearsOthers = false;
		brittleness.instances = 4 * SLOTS;
		brittleness.recordEnd(20);
		let turns = 0;
		for (let nowMs = 0; nowMs < 8000; nowMs += 10) {
			turns += countRoom(brittleness, nowMs) > 0 ? 1 : 0;
		}
		expect(turns / 800).to.be.within(0.2, 0.3);
	});
});
