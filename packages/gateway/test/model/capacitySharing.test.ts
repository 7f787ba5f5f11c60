/** Sharing of a service's capacity among customers and priorities by instances that hear late of one another. */
import { expect } from 'chai';
import type { CapacityOptions, Stream } from './capacityFleet.js';
import { CapacityFleet, WINDOW_MS } from './capacityFleet.js';

const SLOTS = 1000;
const SERVICE_MS = 600;
const CAPACITY_PER_SECOND = (SLOTS * 1000) / SERVICE_MS;
const SURGE = { fromMs: 3000, untilMs: 9000 };
/** Windows of the surge after the time in which the instances hear of it. */
const STEADY = { from: (SURGE.fromMs + 2500) / WINDOW_MS, until: SURGE.untilMs / WINDOW_MS };

/** 24 customers: one has a quarter of the usual load, two a tenth each, the others the rest. */
function makeCustomers(usualShare: number, surgeFactor: number): Stream[] {
	const shares = [0.25, 0.1, 0.1, ...Array.from({ length: 21 }, () => 0.55 / 21)];
	return shares.map((share, index) => ({
		customer: `c${index}`,
		priority: index % 3,
		requestsPerSecond: usualShare * share * CAPACITY_PER_SECOND,
		surge: { ...SURGE, factor: index === 0 ? surgeFactor : 1 },
	}));
}

/** Three routes of equal load; one has a surge. */
function makeRoutes(usualShare: number, surgeFactor: number): Stream[] {
	return [0, 1, 2].flatMap((priority) =>
		['a', 'b', 'c', 'd'].map((customer) => ({
			customer,
			priority,
			requestsPerSecond: (usualShare / 12) * CAPACITY_PER_SECOND,
			surge: { ...SURGE, factor: priority === 1 ? surgeFactor : 1 },
		})),
	);
}

function run(changes: Partial<CapacityOptions>): CapacityFleet {
	return new CapacityFleet({
		instances: 32,
		slots: SLOTS,
		serviceMs: SERVICE_MS,
		durationMs: 13_000,
		streams: [],
		...changes,
	}).run();
}

describe('capacity sharing', function () {
	this.timeout(60_000);
	const surges = [
		{ name: '32 instances', changes: { instances: 32 } },
		{ name: '77 instances', changes: { instances: 77 } },
		{ name: '77 instances, half of the gossip lost', changes: { instances: 77, lossShare: 0.5 } },
	];
	for (const { name, changes } of surges) {
		// Guards against a large customer that takes capacity from the others, and against capacity that is left unused.
		it(`one customer at seven times its usual load costs the others at most 3 in 100: ${name}`, () => {
			const fleet = run({ ...changes, streams: makeCustomers(0.6, 7) });
			const { servedShare } = fleet.sum(({ customer }) => customer !== 'c0');
			expect(servedShare).to.be.at.least(0.97);
			expect(fleet.sum(({ customer }) => customer === 'c0').servedShare).to.be.at.least(0.25 * servedShare);
			expect(Math.min(...fleet.occupancy.slice(STEADY.from, STEADY.until))).to.be.at.least(0.95);
		});
	}

	for (const instances of [32, 77]) {
		// Guards against priorities that are served in the wrong order, and against instances that all refuse and accept in turn.
		it(`2.5 times the load of a service by one route: urgent first, no waves, ${instances} instances`, () => {
			const fleet = run({ instances, streams: makeRoutes(0.8, 5.5) });
			const served = [0, 1, 2].map((level) => fleet.sum(({ priority }) => priority === level).servedShare);
			const [urgent = 0, middle = 0, last = 0] = served;
			expect(urgent).to.be.at.least(0.97);
			expect(urgent).to.be.at.least(0.95 * middle);
			expect(middle).to.be.at.least(0.95 * last);
			const refusals = fleet.refusalsByWindow.slice(STEADY.from, STEADY.until);
			expect(Math.max(...refusals)).to.be.at.most(1.35 * Math.min(...refusals));
			expect(Math.min(...fleet.occupancy.slice(STEADY.from, STEADY.until))).to.be.at.least(0.95);
		});
	}

	// Guards against a least part of one request at each instance, which all customers would use alike.
	it('shares the slots of slow applications that are fewer than the instances', () => {
		const streams = makeRoutes(0.5, 1).map((stream) => ({
			...stream,
			requestsPerSecond: stream.requestsPerSecond * ((24 * 1000) / 84 / CAPACITY_PER_SECOND),
			surge: { ...SURGE, factor: stream.customer === 'a' ? 7 : 1 },
		}));
		const shape = { slots: 24, serviceMs: 84, objectiveMs: 178, deadlineMs: 1038 };
		const fleet = run({ instances: 77, ...shape, streams });
		expect(fleet.sum(({ customer }) => customer !== 'a').servedShare).to.be.at.least(0.97);
		const served = [0, 1, 2].map((level) => fleet.sum(({ priority }) => priority === level).servedShare);
		expect(served[0]).to.be.at.least(0.95 * (served[1] ?? 0));
		expect(served[1]).to.be.at.least(0.95 * (served[2] ?? 0));
	});

	// Guards against instances that, without memory of a surge, send as if the service had room.
	it('goes on sharing when half of the instances restart in the middle of a surge', () => {
		const fleet = run({ instances: 77, streams: makeCustomers(0.6, 7), restartAtMs: 6000 });
		expect(fleet.sum(({ customer }) => customer !== 'c0').servedShare).to.be.at.least(0.97);
		expect(Math.min(...fleet.occupancy.slice(STEADY.from, STEADY.until))).to.be.at.least(0.95);
	});

	it('keeps to its part of the capacity at an instance that hears nobody', () => {
		const fleet = run({ instances: 8, isolated: 1, streams: makeRoutes(1.6, 1) });
		expect(fleet.highestIsolated).to.be.within(1, (1.2 * SLOTS) / 8);
	});

	it('neither delays nor refuses a request of usual load', () => {
		const { waited, refusals, servedShare } = run({ streams: makeCustomers(0.6, 1) }).sum(() => true);
		expect({ waited, refusals, servedShare }).to.deep.equal({ waited: 0, refusals: 0, servedShare: 1 });
	});
});
