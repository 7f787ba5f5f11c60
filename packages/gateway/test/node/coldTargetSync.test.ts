import { expect } from 'chai';
import type { ServiceDefinition } from '../../src/common/gatewayConfiguration.js';
import type { PeerMessage } from '../../src/common/peerMessage.js';
import type { ColdTargetReport, PeerState } from '../../src/common/peerState.js';
import { ColdnessSource } from '../../src/common/peerState.js';
import { InstanceRoster } from '../../src/common/instanceRoster.js';
import { TargetTable } from '../../src/common/targetTable.js';
import type { ColdTargetSyncParts } from '../../src/node/coldTargetSync.js';
import { ColdTargetSync } from '../../src/node/coldTargetSync.js';
import { makeRecord } from '../common/fixtures.js';

const SERVICE: ServiceDefinition = {
	name: 'engines',
	maxConnections: 100,
	kvCacheTokens: undefined,
	hasCacheTransfer: false,
	coldStart: { durationMs: 3000, requestsPerSecond: 13 },
};
const REQUEST = {
	service: 'engines',
	prompt: [],
	objectiveMs: 100,
	hasCacheTransfer: false,
	excluded: new Set<string>(),
	allowed: undefined,
	version: undefined,
};
const DIGEST = 5;

describe('ColdTargetSync', () => {
	let targets: TargetTable;
	let sent: PeerMessage[];
	let roster: InstanceRoster;

	beforeEach(() => {
		roster = new InstanceRoster({ isFirstStart: false, shareWindowMs: 11_000, seeds: 1 });
		targets = new TargetTable('a');
		sent = [];
	});

	function createSync(changes: Partial<ColdTargetSyncParts> = {}): ColdTargetSync {
		return new ColdTargetSync({
			targets,
			log: { write: () => undefined },
			ownName: 'edge-1',
			bounds: { excess: 1.5, extra: 5 },
			isFirstStart: false,
			getService: () => SERVICE,
			roster,
			broadcast: (message) => {
				sent.push(message);
			},
			readTargetsDigest: () => DIGEST,
			onDidTurnCold: () => undefined,
			...changes,
		});
	}

	function makeState(coldTargets: readonly ColdTargetReport[] | undefined): PeerState {
		const state = { instance: { name: 'edge-2' }, isServing: true, targetsDigest: DIGEST, coldTargets };
		return state as unknown as PeerState;
	}

	function list(sync: ColdTargetSync, ids: readonly string[], nowMs: number, startedAtMs = 1): void {
		const change = { added: ids.map((id) => makeRecord(id, { startedAtMs })), changed: [], removed: [] };
		targets.applyChange(change);
		sync.handleTargetChange(change, nowMs);
	}

	function readRemaining(id: string, nowMs: number): number | undefined {
		return targets.find(id)?.coldness.computeRemaining(nowMs);
	}

	it('a deployment whose settings have no bounds treats no target as cold, whatever is stated', () => {
		const sync = createSync({ bounds: undefined });
		list(sync, ['x'], 0);
		list(sync, ['y'], 10);
		sync.tick(10);
		sync.applyListed([{ id: 'x', startedAtMs: 1, leftMs: 3000, revision: 2 }], 10);
		for (const id of ['x', 'y']) {
			const target = targets.find(id);
			if (target !== undefined) {
				sync.recordStatement(target, '3000', 10);
				target.coldness.recordUnreachable(10);
			}
		}
		sync.adoptPeerState(makeState([['x', 1, 3000, ColdnessSource.Stated]]), 10);
		sync.adoptMessage({ kind: 'cold', target: 'x', startedAtMs: 1, leftMs: 3000 }, 10);
		targets.recordZoneReturn('a', 10);
		expect(targets.computePause('engines', undefined, 10)).to.equal(0);
		expect([readRemaining('x', 10), readRemaining('y', 10)]).to.deep.equal([0, 0]);
		expect([sync.listReports(10), sent.length]).to.deep.equal([undefined, 0]);
	});

	it('targets that run when the fleet first starts are warm; one that appears later, or starts again, is cold', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x'], 0);
		list(sync, ['y'], 1000);
		expect([readRemaining('x', 1000), readRemaining('y', 1000)]).to.deep.equal([0, 3000]);
		list(sync, ['x'], 2000, 9);
		expect(readRemaining('x', 2000)).to.equal(3000);
	});

	it('an instance that starts learns from a peer which targets are warm', () => {
		const sync = createSync();
		list(sync, ['x', 'y'], 0);
		expect(sync.listReports(10)).to.equal(undefined);
		sync.adoptPeerState(makeState([['y', 1, 700, ColdnessSource.Assumed]]), 10);
		expect([readRemaining('x', 10), readRemaining('y', 10)]).to.deep.equal([0, 700]);
	});

	it('an entry counts down from when it was first read, until it is written again', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x'], 0);
		const entry = { id: 'x', startedAtMs: 1, leftMs: 2000, revision: 2 };
		sync.applyListed([entry], 0);
		sync.applyListed([entry], 1500);
		expect(readRemaining('x', 1500)).to.equal(500);
		sync.applyListed([{ ...entry, revision: 3 }], 1600);
		expect(readRemaining('x', 1600)).to.equal(2000);
	});

	it('entries that a peer has read end the assumption that targets listed again after an outage are cold', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x'], 0);
		list(sync, ['y', 'z'], 1000);
		const entry = { id: 'y', startedAtMs: 1, leftMs: 0, revision: 2 };
		sync.applyListed([entry, { ...entry, id: 'z', leftMs: 2500 }], 1000, 400);
		expect([readRemaining('y', 1000), readRemaining('z', 1000)]).to.deep.equal([0, 2100]);
	});

	it('tells all instances once when a target states that it has turned cold', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x'], 0);
		const target = targets.find('x');
		for (const text of ['800', '700', 'soon', undefined]) {
			if (target !== undefined) {
				sync.recordStatement(target, text, 0);
			}
		}
		expect(sent).to.deep.equal([{ kind: 'cold', target: 'x', startedAtMs: 1, leftMs: 800 }]);
		expect(readRemaining('x', 0)).to.equal(700);
	});

	// Guards against a return of which the others hear by gossip only, since the contact already made it cold here.
	it('tells all instances when a target that was reached again states that it is cold, unless another has', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x', 'y'], 0);
		sync.adoptMessage({ kind: 'cold', target: 'y', startedAtMs: 1, leftMs: 2900 }, 1000);
		for (const id of ['x', 'y']) {
			const target = targets.find(id);
			target?.coldness.recordUnreachable(0);
			target?.recordActivity(1000);
			if (target !== undefined) {
				sync.recordStatement(target, '2800', 1000);
				sync.recordStatement(target, '2700', 1100);
			}
		}
		expect(sent).to.deep.equal([{ kind: 'cold', target: 'x', startedAtMs: 1, leftMs: 2800 }]);
	});

	it('uses cold targets up to its share, then others, and refuses with the time until a request may be sent', () => {
		const sync = createSync({ isFirstStart: true });
		list(sync, ['x', 'y'], 0);
		for (const nowMs of [0, 2000]) {
			roster.update([{ name: 'edge-2', instances: 2 }], nowMs, { count: 1, isComplete: true });
			sync.tick(nowMs);
		}
		targets.find('x')?.coldness.recordStatement(3000, 2000);
		const chosen = Array.from({ length: 30 }, () => {
			const target = targets.choose(REQUEST, 2000)?.target;
			target?.recordRequestSent(2000, 0);
			return target?.record.id;
		});
		// Half of 12 requests, since the fleet has two instances.
		expect(chosen.filter((id) => id === 'x')).to.have.length(6);
		expect(chosen.filter((id) => id === 'y')).to.have.length(24);
		targets.find('y')?.coldness.recordStatement(3000, 2000);
		expect(targets.choose(REQUEST, 2000)).to.equal(undefined);
		expect(targets.computePause('engines', undefined, 2000)).to.equal(1050);
	});
});
