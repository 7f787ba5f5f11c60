import { expect } from 'chai';
import type { PlacementRequest } from '../../src/common/placement.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { makeRecord } from './fixtures.js';

const REQUEST: PlacementRequest = {
	service: 'engines',
	prompt: [],
	objectiveMs: 100,
	hasCacheTransfer: false,
	excluded: new Set(),
	allowed: undefined,
	version: undefined,
};

function makeTable(...ids: string[]): TargetTable {
	const table = new TargetTable('a');
	table.applyChange({ added: ids.map((id) => makeRecord(id)), changed: [], removed: [] });
	return table;
}

function choose(table: TargetTable, request: Partial<PlacementRequest> = {}, nowMs = 0): string | undefined {
	return table.choose({ ...REQUEST, ...request }, nowMs)?.target.record.id;
}

describe('TargetTable', () => {
	it('counts the idle targets of an evacuated zone in the mean load, to which the load limit refers', () => {
		const table = new TargetTable('a');
		const added = [makeRecord('x'), makeRecord('y', { zone: 'b' })];
		table.applyChange({ added, changed: [], removed: [] });
		const target = table.find('x');
		if (target !== undefined) {
			target.peerRequests = 6;
		}
		table.setEvacuatedZones(new Set(['b']));
		expect(table.choose(REQUEST, 0)?.meanLoad).to.equal(3);
	});

	it('does not choose a leaving target', () => {
		const table = makeTable('x', 'y');
		table.applyChange({ added: [], changed: [makeRecord('x', { isLeaving: true })], removed: [] });
		for (let request = 0; request < 20; request++) {
			expect(choose(table)).to.equal('y');
		}
	});

	it('chooses only targets of the version that began a stream, though another is idle', () => {
		const table = makeTable('x', 'y');
		table.applyChange({ added: [], changed: [makeRecord('y', { version: 'v2' })], removed: [] });
		const loaded = table.find('y');
		if (loaded !== undefined) {
			loaded.ownRequests = 5;
		}
		for (let index = 0; index < 20; index++) {
			expect(choose(table, { version: 'v2' })).to.equal('y');
		}
		expect(choose(table, { version: 'v3' })).to.equal(undefined);
		expect([table.hasVersion('engines', 'v2'), table.hasVersion('engines', 'v3')]).to.deep.equal([
			true,
			false,
		]);
	});

	it('does not choose a target that wants no requests, even if there is no other, until its time is over', () => {
		const table = makeTable('x', 'y');
		table.find('x')?.recordBackOff(1000);
		expect(choose(table, {}, 500)).to.equal('y');
		expect(choose(table, { excluded: new Set(['y']) }, 500)).to.equal(undefined);
		expect(table.computePause('engines', undefined, 500)).to.equal(0);
		table.find('y')?.recordBackOff(800);
		expect(choose(table, {}, 500)).to.equal(undefined);
		expect(table.computePause('engines', undefined, 500)).to.equal(300);
		expect(choose(table, { excluded: new Set(['y']) }, 1000)).to.equal('x');
	});

	it('a response of a target that wants no requests does not end that time', () => {
		const table = makeTable('x');
		table.find('x')?.recordBackOff(1000);
		table.find('x')?.recordBackOff(600);
		table.find('x')?.health.recordResponse(false, 0);
		expect(choose(table, {}, 900)).to.equal(undefined);
	});

	it('does not choose an unreachable target until its suspension is over', () => {
		const table = makeTable('x', 'y');
		table.find('x')?.health.recordConnectionFailure(0, true);
		expect(choose(table, {}, 100)).to.equal('y');
		expect(choose(table, { excluded: new Set(['y']) }, 600)).to.equal('x');
	});

	it('does not choose a target that sends nothing while it has requests in flight', () => {
		const table = makeTable('x', 'y');
		table.find('x')?.recordRequestSent(0, 0);
		expect(choose(table, { excluded: new Set(['y']) }, 400)).to.equal('x');
		table.find('y')?.recordActivity(0);
		expect(choose(table, {}, 600)).to.equal('y');
	});

	it('does not choose a target that fails much more often than the others, but chooses one that fails as often as all', () => {
		const table = makeTable('x', 'y');
		for (let answer = 0; answer < 20; answer++) {
			table.find('x')?.health.recordResponse(true, 0);
			table.find('y')?.health.recordResponse(false, 0);
		}
		for (let request = 0; request < 20; request++) {
			expect(choose(table)).to.equal('y');
		}
		for (let answer = 0; answer < 20; answer++) {
			table.find('y')?.health.recordResponse(true, 0);
		}
		const chosen = new Set(Array.from({ length: 50 }, () => choose(table)));
		expect(chosen.size).to.equal(2);
	});

	it('chooses an unhealthy target as last resort when there is no other', () => {
		const table = makeTable('x');
		table.find('x')?.health.recordConnectionFailure(0, true);
		expect(table.choose(REQUEST, 100)?.reason).to.equal('lastResort');
	});

	it('chooses only among the targets on which a request may still run', () => {
		const table = makeTable('x', 'y', 'z');
		for (let request = 0; request < 20; request++) {
			expect(choose(table, { allowed: new Set(['z']) })).to.equal('z');
		}
		expect(choose(table, { allowed: new Set(['z']), excluded: new Set(['z']) })).to.equal(undefined);
	});

	it('discards the state of a target that restarted under the same id', () => {
		const table = makeTable('x');
		table.find('x')?.health.recordConnectionFailure(0, true);
		table.applyChange({ added: [], changed: [makeRecord('x', { startedAtMs: 2 })], removed: [] });
		expect(table.choose(REQUEST, 100)?.reason).to.equal('leastLoaded');
	});

	/** Counts the choices of `x`, which is busy by its own report, of `x` and `y`, which is busy by the requests of peers. */
	function countChoices(slowdown: number | undefined, nowMs: number): number {
		const table = makeTable('x', 'y');
		for (const [id, requests] of [
			['x', 70],
			['y', 0],
		] as const) {
			table.find(id)?.statedLoad.record({ requests, slowdown, reportedAtMs: 0, isOwn: true }, 0);
		}
		table.setPeerLoads([[['y', 30, 0]]]);
		return Array.from({ length: 200 }, () => choose(table, {}, nowMs)).filter((id) => id === 'x').length;
	}

	// Guards against a change for deployments whose targets report no fourth figure.
	it('three figures: chooses by the requests of the instances alone; four: by the reports, while they are young', () => {
		expect(countChoices(undefined, 0)).to.equal(200);
		expect(countChoices(1, 0)).to.equal(0);
		expect(countChoices(1, 60_000)).to.be.within(60, 140);
	});

	// Guards against a target that is slow for a moment and gets its share of the requests all the same.
	it('a slow target gets fewer requests while its report is young, and its share again afterwards', () => {
		const table = makeTable('x', 'y', 'z');
		for (const [id, slowdown] of [
			['x', 4],
			['y', 1],
			['z', 1],
		] as const) {
			table.find(id)?.statedLoad.record({ requests: 1, slowdown, reportedAtMs: 0, isOwn: true }, 0);
		}
		const count = (nowMs: number): number =>
			Array.from({ length: 300 }, () => choose(table, {}, nowMs)).filter((id) => id === 'x').length;
		expect(count(0)).to.be.below(20);
		expect(count(700)).to.be.within(50, 150);
	});
});
