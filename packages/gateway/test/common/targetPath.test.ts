import { expect } from 'chai';
import { TargetPath } from '../../src/common/targetPath.js';

const TICK_MS = 100;

interface Simulation {
	/** Whether any target is heard at a time. */
	readonly isHeard: (nowMs: number) => boolean;
	/** Whether a call fails at a time. */
	readonly isFailing: (nowMs: number) => boolean;
	/** Whether one of the probed targets accepts a connection. */
	readonly isAccepting: (nowMs: number) => boolean;
	readonly durationMs: number;
}

/** Returns the times at which the path was found lost and back. */
function runSimulation({ isHeard, isFailing, isAccepting, durationMs }: Simulation): readonly number[] {
	let nowMs = 0;
	const changes: number[] = [];
	const path = new TargetPath(() => {
		changes.push(nowMs);
	});
	let probes: { readonly beganAtMs: number; readonly dueAtMs: number } | undefined;
	for (; nowMs < durationMs; nowMs += TICK_MS) {
		if (isHeard(nowMs)) {
			path.recordContact(nowMs);
		}
		if (isFailing(nowMs)) {
			path.recordFailure(nowMs);
		}
		if (probes !== undefined && nowMs >= probes.dueAtMs) {
			if (isAccepting(nowMs)) {
				path.recordContact(nowMs);
			} else {
				path.recordFailedProbes(probes.beganAtMs);
			}
			probes = undefined;
		}
		if (probes === undefined && path.isProbeDue(nowMs)) {
			path.beginProbes(nowMs);
			probes = { beganAtMs: nowMs, dueAtMs: nowMs + 300 };
		}
	}
	return changes;
}

describe('TargetPath', () => {
	const isCut = (nowMs: number): boolean => nowMs >= 1000 && nowMs < 10_000;

	// Guards against RECOVER: the cut has to be found well before callers have to be served as well as elsewhere, after 3 s.
	it('is lost within a second when no target is heard and calls fail, and back soon after', () => {
		const [lostMs = 0, backMs = 0, ...others] = runSimulation({
			isHeard: (nowMs) => !isCut(nowMs),
			isFailing: isCut,
			isAccepting: (nowMs) => !isCut(nowMs),
			durationMs: 12_000,
		});
		expect(lostMs).to.be.within(1300, 2000);
		expect(backMs).to.be.within(10_000, 10_900);
		expect(others).to.deep.equal([]);
	});

	it('is back after a cut although no request goes to a target', () => {
		const changes = runSimulation({
			isHeard: (nowMs) => nowMs < 1000,
			isFailing: isCut,
			isAccepting: (nowMs) => !isCut(nowMs),
			durationMs: 12_000,
		});
		expect(changes).to.have.length(2);
		expect(changes[1]).to.be.below(10_900);
	});

	for (const [name, changes] of [
		['one target is dead or silent and others are heard', { isFailing: () => true }],
		['some targets cannot be reached and others are', { isFailing: (nowMs: number) => nowMs % 200 === 0 }],
		[
			'open connections work and new ones are refused',
			{ isFailing: () => true, isAccepting: () => false, isHeard: (nowMs: number) => nowMs % 300 === 0 },
		],
		[
			'the only target that is used fails and others accept connections',
			{ isHeard: () => false, isFailing: () => true },
		],
		['nothing is sent', { isHeard: () => false, isAccepting: () => false }],
	] as const) {
		it(`is not lost when ${name}`, () => {
			const sound: Simulation = {
				isHeard: () => true,
				isFailing: () => false,
				isAccepting: () => true,
				durationMs: 6000,
			};
			expect(runSimulation({ ...sound, ...changes })).to.deep.equal([]);
		});
	}
});
