import { expect } from 'chai';
import type { PeerState } from '../../src/common/peerState.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { LoadReportSync } from '../../src/node/loadReportSync.js';
import { makeRecord } from '../common/fixtures.js';

const TARGETS = [makeRecord('y', { slots: 6 }), makeRecord('x', { slots: 6 })];

class Instance {
	public readonly table = new TargetTable('a');
	public readonly events: string[] = [];
	public readonly sync: LoadReportSync;

	constructor(private readonly digest = 1) {
		this.table.applyChange({ added: TARGETS, changed: [], removed: [] });
		this.sync = new LoadReportSync({
			targets: this.table,
			view: { digest, list: { era: 1, revision: 1, targets: TARGETS } },
			log: { write: (_, event) => this.events.push(event) },
			computePeerInterval: () => 300,
		});
	}

	public state(id: string, text: string | undefined, nowMs: number): void {
		const target = this.table.find(id);
		if (target !== undefined) {
			this.sync.recordStatement(target, text, true, nowMs);
		}
	}

	public estimate(id: string, nowMs: number): number | undefined {
		return this.table.find(id)?.estimateLoad(nowMs).requests;
	}

	public adopt(targetReports: readonly number[] | undefined, nowMs: number): void {
		this.sync.adopt({ targetsDigest: this.digest, targetReports } as unknown as PeerState, nowMs);
	}
}

describe('LoadReportSync', () => {
	it('ignores reports that are invalid, and logs them once for each target', () => {
		const instance = new Instance();
		for (const text of [
			'1,2',
			'1,2,3,100',
			'a,0,6,100',
			'-1,0,6,100',
			'1,,6,100',
			'10001,0,6,100',
			'1,0,6,0',
		]) {
			instance.state('x', text, 0);
		}
		expect(instance.table.find('x')?.statedLoad.report).to.equal(undefined);
		expect(instance.events).to.deep.equal(['targetLoad']);
		instance.state('x', undefined, 0);
		instance.state('x', '3,1,6,250', 0);
		expect(instance.table.find('x')?.estimateLoad(0)).to.include({ requests: 4, slowdown: 2.5 });
		expect(instance.events).to.deep.equal(['targetLoad', 'loadReportsInUse']);
	});

	// Guards against bytes and decisions that a deployment did not ask for.
	it('gossips nothing of targets that report three figures', () => {
		const instance = new Instance();
		instance.state('x', '3,1,6', 0);
		expect(instance.sync.listReports(0)).to.equal(undefined);
		expect(instance.estimate('x', 0)).to.equal(0);
	});

	it('gossips its own newest reports with their age, and not those of peers or old ones', () => {
		const [sender, receiver] = [new Instance(), new Instance()];
		sender.state('x', '3,1,6,100', 1000);
		sender.state('y', '2,0,6,150', 1100);
		const reports = sender.sync.listReports(1200);
		expect(reports).to.deep.equal([1, 2, 150, 100, 0, 4, 100, 200]);
		receiver.state('y', '5,0,6,100', 5150);
		receiver.adopt(reports, 5200);
		expect(receiver.estimate('y', 5200)).to.be.above(4);
		expect(receiver.table.find('x')?.statedLoad.report?.reportedAtMs).to.equal(5000);
		expect(receiver.sync.listReports(5200)).to.deep.equal([1, 5, 100, 50]);
		expect(sender.sync.listReports(2000)).to.equal(undefined);
	});

	// Guards against loads that are credited to another target, whose index differs in the list of the peer.
	it('ignores the reports of a peer with another list of targets, and indexes outside of the list', () => {
		const instance = new Instance();
		instance.sync.adopt({ targetsDigest: 3, targetReports: [0, 4, 100, 0] } as unknown as PeerState, 0);
		instance.adopt([7, 4, 100, 0, 0, 4, 0, 0, 1, 4], 0);
		expect([...instance.table.all].every(({ statedLoad }) => statedLoad.report === undefined)).to.equal(true);
	});
});
