import { expect } from 'chai';
import type { EvacuationReport } from '../../src/common/evacuatedZones.js';
import { EvacuatedZones } from '../../src/common/evacuatedZones.js';

function makeReport(era: number, revision: number, ...zones: readonly string[]): EvacuationReport {
	return { era, revision, zones, held: [] };
}

describe('EvacuatedZones', () => {
	let zones: EvacuatedZones;

	beforeEach(() => {
		zones = new EvacuatedZones();
	});

	function readAll(era: number, revision: number, names: readonly string[], nowMs: number): void {
		zones.applyUpdate({ kind: 'all', zones: names }, { era, revision }, nowMs);
	}

	it('the newest position wins, whether the store or a peer reports it', () => {
		zones.applyReport(makeReport(1, 20, 'a'), 0);
		readAll(1, 10, [], 0);
		const change = { zone: 'a', revision: 15, isEvacuated: false };
		zones.applyUpdate({ kind: 'changes', changes: [change] }, { era: 1, revision: 30 }, 0);
		expect([...zones.zones]).to.deep.equal(['a']);
		zones.applyUpdate(
			{ kind: 'changes', changes: [{ ...change, revision: 25 }] },
			{ era: 1, revision: 30 },
			0,
		);
		zones.applyReport(makeReport(1, 20, 'a'), 0);
		expect([...zones.zones]).to.deep.equal([]);
	});

	it('restore: a missing evacuation holds for 2.2 s, also at an instance that only hears of it', () => {
		readAll(1, 90, ['a', 'b'], 0);
		readAll(2, 5, ['b'], 1000);
		expect(zones.describe(1700)).to.deep.equal({ era: 2, revision: 5, zones: ['b'], held: [['a', 1500]] });
		const started = new EvacuatedZones();
		started.applyUpdate({ kind: 'all', zones: ['b'] }, { era: 2, revision: 6 }, 1700);
		started.applyReport(zones.describe(1700) ?? makeReport(0, 0), 1700);
		for (const instance of [zones, started]) {
			instance.tick(3199);
			expect([...instance.zones].sort()).to.deep.equal(['a', 'b']);
			instance.tick(3201);
			expect([...instance.zones]).to.deep.equal(['b']);
		}
		zones.applyReport({ ...makeReport(2, 5, 'b'), held: [['a', 900]] }, 3300);
		expect([...zones.zones]).to.deep.equal(['b']);
	});

	it('restore: an evacuation that a peer of the older era reports late holds from the restore on', () => {
		readAll(2, 5, [], 1000);
		zones.applyReport(makeReport(1, 90, 'a'), 2000);
		expect([...zones.zones]).to.deep.equal(['a']);
		zones.tick(3201);
		expect([...zones.zones]).to.deep.equal([]);
	});

	it('restore: an evacuation that the operator wrote again and removed ends at once', () => {
		readAll(1, 90, ['a'], 0);
		readAll(2, 5, [], 0);
		const changes = [true, false].map((isEvacuated, index) => ({
			zone: 'a',
			revision: 6 + index,
			isEvacuated,
		}));
		zones.applyUpdate({ kind: 'changes', changes }, { era: 2, revision: 7 }, 100);
		expect([...zones.zones]).to.deep.equal([]);
	});
});
