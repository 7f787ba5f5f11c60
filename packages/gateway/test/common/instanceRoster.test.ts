import { expect } from 'chai';
import { InstanceRoster } from '../../src/common/instanceRoster.js';

const UNNAMED = { count: 0, isComplete: false };
const OPTIONS = { isFirstStart: false, shareWindowMs: 11_000, seeds: 3 };

describe('InstanceRoster', () => {
	const fleet = Array.from({ length: 9 }, (_, index) => ({ name: `edge-${index}`, instances: 10 }));

	function updateWith(roster: InstanceRoster, count: number, fromMs: number, toMs: number): void {
		for (let nowMs = fromMs; nowMs <= toMs; nowMs += 500) {
			roster.update(fleet.slice(0, count), nowMs, UNNAMED);
		}
	}

	it('is no member before it hears a peer, and until all have heard of it', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 0, 0, 60_000);
		expect(roster.isMember).to.equal(false);
		updateWith(roster, 1, 60_500, 62_000);
		expect(roster.isMember).to.equal(false);
		updateWith(roster, 9, 62_500, 63_000);
		expect(roster.isMember).to.equal(true);
	});

	it('counts the instances that only its peers know', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 2, 0, 1000);
		expect([roster.size, roster.unknownInstances]).to.deep.equal([3, 7]);
		updateWith(roster, 9, 1500, 2000);
		expect([roster.size, roster.unknownInstances]).to.deep.equal([10, 0]);
	});

	it('forgets an instance that is gone, but not the others if it hears fewer than half of them', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 9, 0, 1000);
		updateWith(roster, 3, 1500, 120_000);
		expect(roster.size).to.equal(10);
		roster.update(fleet, 120_500, UNNAMED);
		for (let nowMs = 121_000; nowMs <= 145_000; nowMs += 500) {
			roster.update(
				fleet.slice(0, 6).map(({ name }) => ({ name, instances: undefined })),
				nowMs,
				UNNAMED,
			);
		}
		expect(roster.size).to.equal(7);
	});

	// Guards against shares of common limits that jump when instances are not heard of for some seconds.
	it('counts the instances that the settings and the store name until they are heard of, and retains lost ones', () => {
		const roster = new InstanceRoster(OPTIONS);
		expect(roster.instances).to.equal(4);
		roster.update([], 0, { count: 5, isComplete: false });
		expect(roster.instances).to.equal(6);
		const two = fleet.slice(0, 2).map(({ name }) => ({ name, instances: undefined }));
		roster.update(two, 100, UNNAMED);
		expect(roster.instances).to.equal(3);
		roster.update([], 5000, UNNAMED);
		roster.update([], 60_000, UNNAMED);
		expect(roster.instances).to.equal(3);
	});

	it('gives an instance that starts no share before the use of its earlier run has expired', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 9, 0, 12_500);
		expect(roster.computeShare(20, 12_500)).to.equal(0);
		updateWith(roster, 9, 13_000, 13_000);
		expect(roster.computeShare(20, 13_000)).to.equal(2);
	});

	it('gives the instances of a fleet that starts for the first time their shares once all count them', () => {
		const roster = new InstanceRoster({ ...OPTIONS, isFirstStart: true });
		updateWith(roster, 9, 0, 1500);
		expect(roster.computeShare(20, 1500)).to.equal(0);
		updateWith(roster, 9, 2000, 2000);
		expect(roster.computeShare(20, 2000)).to.equal(2);
	});

	it('gives an instance that hears no majority no share until the others count it again', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 9, 0, 20_000);
		updateWith(roster, 4, 20_500, 27_000);
		expect(roster.computeShare(20, 27_000)).to.equal(2);
		updateWith(roster, 4, 27_500, 27_500);
		expect(roster.computeShare(20, 27_500)).to.equal(0);
		updateWith(roster, 9, 28_000, 40_500);
		expect(roster.computeShare(20, 40_500)).to.equal(0);
		updateWith(roster, 9, 41_000, 41_000);
		expect(roster.computeShare(20, 41_000)).to.equal(2);
	});

	it('gives an instance that was suspended for so long that the others may have removed it no share', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 9, 0, 20_000);
		roster.recordSuspension(3000);
		expect(roster.computeShare(20, 20_100)).to.equal(2);
		roster.recordSuspension(30_000);
		updateWith(roster, 9, 20_500, 32_000);
		expect(roster.computeShare(20, 32_000)).to.equal(0);
		updateWith(roster, 9, 32_500, 33_500);
		expect(roster.computeShare(20, 33_500)).to.equal(2);
	});

	// Guards against an instance whose messages are lost, and whose share the others have taken over.
	it('gives an instance that the others have removed no share', () => {
		const roster = new InstanceRoster(OPTIONS);
		updateWith(roster, 9, 0, 20_000);
		for (let nowMs = 20_500; nowMs <= 30_000; nowMs += 500) {
			roster.update(
				fleet.map(({ name }) => ({ name, instances: 9 })),
				nowMs,
				UNNAMED,
			);
		}
		expect(roster.computeShare(20, 30_000)).to.equal(0);
	});

	it('gives an instance without any other the whole limit', () => {
		const roster = new InstanceRoster({ ...OPTIONS, isFirstStart: true, seeds: 0 });
		roster.update([], 0, UNNAMED);
		expect(roster.computeShare(20, 0)).to.equal(20);
		const later = new InstanceRoster({ ...OPTIONS, seeds: 0 });
		updateWith(later, 0, 0, 10_500);
		expect(later.computeShare(20, 10_500)).to.equal(0);
		updateWith(later, 0, 11_000, 11_000);
		expect(later.computeShare(20, 11_000)).to.equal(20);
	});

	// Guards against a fleet that has lost half of its instances for good and waits for a majority of them for ever.
	it('forgets instances that neither it nor the store hears of, but not those that the store names', () => {
		for (const [count, size] of [
			[3, 4],
			[4, 10],
		] as const) {
			const roster = new InstanceRoster(OPTIONS);
			updateWith(roster, 9, 0, 20_000);
			const heard = fleet.slice(0, 3).map(({ name }) => ({ name, instances: undefined }));
			for (let nowMs = 20_500; nowMs <= 60_000; nowMs += 500) {
				roster.update(heard, nowMs, { count, isComplete: true });
			}
			expect([roster.size, roster.computeShare(20, 60_000)]).to.deep.equal([size, size === 4 ? 5 : 0]);
		}
	});
});
