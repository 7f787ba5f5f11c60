/** The load of a service whose targets name limits far below the demand, while instances start, freeze and are cut off. */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { InstanceRoster } from '../../src/common/instanceRoster.js';
import { computeLimitShare, createLimitUser } from '../../src/common/requestLimitShare.js';
import { TargetRequestLimit } from '../../src/common/targetRequestLimit.js';

interface Load {
	readonly instances: number;
	readonly requestsPerSecond: number;
	/** Requests that want to reach the target, of the whole fleet. */
	readonly demandPerSecond: number;
	/** Time after which an instance is missing from the others' lists for `GONE_MS`; infinity for none. */
	readonly goneIntervalMs: number;
}

const WINDOW_MS = 4000;
const GONE_MS = 3000;
const DURATION_MS = 40_000;
const TICK_MS = 5;
const LIST_INTERVAL_MS = 100;
const TARGET_HASH = 12_345;

/** Returns the times of the requests that the target gets from the instances that are not cut off. */
function runModel(load: Load, seed: number): readonly number[] {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const users = Array.from({ length: load.instances }, (_, index) => createLimitUser(`edge-${index}`));
	const limits = users.map(() => {
		const limit = new TargetRequestLimit();
		limit.record({ requestsPerSecond: load.requestsPerSecond, observedAtMs: 0, isOwn: true });
		return limit;
	});
	const times: number[] = [];
	let goneIndex = -1;
	let goneUntilMs = -Infinity;
	let nextGoneMs = load.goneIntervalMs;
	for (let nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
		if (nowMs >= nextGoneMs) {
			nextGoneMs += load.goneIntervalMs;
			goneIndex = Math.floor(random() * load.instances);
			goneUntilMs = nowMs + GONE_MS;
		}
		const isGone = (index: number): boolean => index === goneIndex && nowMs < goneUntilMs;
		if (nowMs % LIST_INTERVAL_MS === 0) {
			for (const [index, limit] of limits.entries()) {
				const self = users[index];
				const others = users.filter((_, other) => other !== index && !isGone(other));
				if (self !== undefined) {
					limit.setShare(computeLimitShare(load.requestsPerSecond, TARGET_HASH, self, others, true), nowMs);
				}
			}
		}
		const expected = (load.demandPerSecond * TICK_MS) / 1000;
		const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
		for (let request = 0; request < count; request++) {
			const index = Math.floor(random() * load.instances);
			const limit = limits[index];
			if (limit?.computeDelay(nowMs) === 0) {
				limit.consume(nowMs);
				if (!isGone(index)) {
					times.push(nowMs);
				}
			}
		}
	}
	return times;
}

function findBusiestWindow(times: readonly number[]): number {
	let most = 0;
	let first = 0;
	for (const [last, atMs] of times.entries()) {
		while ((times[first] ?? atMs) <= atMs - WINDOW_MS) {
			first += 1;
		}
		most = Math.max(most, last - first + 1);
	}
	return most;
}

describe('a target that names a limit far below the demand', () => {
	for (const instances of [1, 4, 28, 79, 323]) {
		for (const requestsPerSecond of instances > 100 ? [5] : [0.4, 1.8, 5, 40]) {
			const bound = 1.5 * requestsPerSecond * (WINDOW_MS / 1000) + 5;
			it(`${instances} instances send it no more than ${requestsPerSecond} a second allow for, and not much less`, () => {
				const demandPerSecond = 10 * requestsPerSecond + instances;
				for (const goneIntervalMs of instances === 1 ? [Infinity] : [Infinity, 5000]) {
					const times = runModel({ instances, requestsPerSecond, demandPerSecond, goneIntervalMs }, 1);
					expect(findBusiestWindow(times)).to.be.at.most(bound);
					expect(times.length).to.be.at.least(0.6 * requestsPerSecond * (DURATION_MS / 1000));
				}
			});
		}
	}
});

describe('the parts of a limit while instances do not hear one another', () => {
	const LIMIT = 8;

	/** Returns the sum of the parts after a minute in which each instance hears only those of its group. */
	function sumShares(instances: number, group: (index: number) => number): number {
		const users = Array.from({ length: instances }, (_, index) => createLimitUser(`edge-${index}`));
		const shares = users.map((self, index) => {
			const roster = new InstanceRoster({ isFirstStart: true, shareWindowMs: 11_000, seeds: 3 });
			const others = users.filter((user) => user !== self);
			const heard = others.filter(({ name }) => group(Number(name.slice(5))) === group(index));
			for (let nowMs = 0; nowMs < 80_000; nowMs += 500) {
				const peers = nowMs < 20_000 ? others : heard;
				roster.update(
					peers.map(({ name }) => ({ name, instances: undefined })),
					nowMs,
					{ count: 0, isComplete: false },
				);
			}
			const names = heard.map(({ name }) => name);
			const { others: sharers, hearsMajority } = roster.findUsers(names, 80_000);
			return computeLimitShare(LIMIT, TARGET_HASH, self, sharers.map(createLimitUser), hearsMajority);
		});
		return shares.reduce((sum, share) => sum + share, 0);
	}

	for (const instances of [4, 28, 79, 323]) {
		// Guards against instances that each take the whole limit of a target.
		it(`${instances} instances that are cut off from each other together stay within what a target allows`, () => {
			for (const group of [
				(index: number) => index,
				(index: number) => index % 2,
				(index: number) => Number(index % 4 === 0),
			]) {
				expect(sumShares(instances, group)).to.be.within(0.4 * LIMIT, 1.5 * LIMIT);
			}
		});
	}
});
