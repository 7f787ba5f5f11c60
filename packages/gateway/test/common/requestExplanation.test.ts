/** The explanation of a placement: equal to the decision on the same state, and without a trace in it. */
import { inspect } from 'node:util';
import { expect } from 'chai';
import { PlacementTrace } from '../../src/common/placementTrace.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import type { CandidateVerdict } from '../../src/common/requestExplanation.js';
import { explainVerdict } from '../../src/common/requestExplanation.js';
import type { TargetState } from '../../src/common/targetState.js';
import type { PlacementRequest } from '../../src/common/placement.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { makeRecord } from './fixtures.js';

const NOW_MS = 10_000;
const REQUEST: PlacementRequest = {
	service: 'engines',
	prompt: [],
	objectiveMs: 100,
	hasCacheTransfer: false,
	excluded: new Set(),
	allowed: undefined,
	version: undefined,
};
const PROMPT = buildPromptChain([
	{ id: 'shared', tokens: 2000 },
	{ id: 'own', tokens: 300 },
]);

/** Returns a sequence of random numbers that is the same for each call. */
function makeRandom(): () => number {
	let state = 7;
	return () => {
		state = (1_103_515_245 * state + 12_345) % 2 ** 31;
		return state / 2 ** 31;
	};
}

interface Case {
	readonly verdict: CandidateVerdict;
	/** Brings about the reason for which x, the first of three targets, is passed over. */
	readonly prepare: (table: TargetTable, x: TargetState) => void;
	readonly request?: Partial<PlacementRequest>;
}

function recordReports(table: TargetTable, requests: number): void {
	for (const { record, statedLoad } of table.all) {
		const report = { requests: record.id === 'x' ? requests : 0, slowdown: 1 };
		statedLoad.record({ ...report, reportedAtMs: NOW_MS, isOwn: true }, 0);
	}
}

const CASES: Readonly<Record<string, Case>> = {
	leaving: {
		verdict: 'leaving',
		prepare: (table, { record }) => {
			table.applyChange({ added: [], changed: [{ ...record, isLeaving: true }], removed: [] });
		},
	},
	cold: {
		verdict: 'cold',
		prepare: (_, { coldness }) => {
			coldness.updateDefinition({ durationMs: 3000, requestsPerSecond: 13 }, 0);
			coldness.recordStatement(2000, NOW_MS);
		},
	},
	'in an evacuated zone': {
		verdict: 'zoneEvacuated',
		prepare: (table) => {
			table.setEvacuatedZones(new Set(['x-zone']));
		},
	},
	'in no home region': {
		verdict: 'region',
		prepare: () => undefined,
		request: { regions: new Set(['region of a']) },
	},
	'at the limit that it states': {
		verdict: 'atStatedLimit',
		prepare: (_, { requestLimit }) => {
			requestLimit.record({ requestsPerSecond: 5, observedAtMs: NOW_MS, isOwn: true });
			requestLimit.setShare(1, NOW_MS);
		},
	},
	'brittle without room': {
		verdict: 'atStatedLimit',
		prepare: (_, { brittleness }) => {
			brittleness.state(6);
			brittleness.recordRejection(NOW_MS, 6);
		},
	},
	'backing off': {
		verdict: 'backingOff',
		prepare: (_, x) => {
			x.recordBackOff(NOW_MS + 500);
		},
	},
	unreachable: {
		verdict: 'failing',
		prepare: (_, { health }) => {
			health.recordConnectionFailure(NOW_MS, true);
		},
	},
	'failing often': {
		verdict: 'failing',
		prepare: (_, { health }) => {
			for (let failure = 0; failure < 8; failure++) {
				health.recordResponse(true, NOW_MS);
			}
		},
	},
	unresponsive: {
		verdict: 'slow',
		prepare: (_, x) => {
			x.recordRequestSent(0, 0);
		},
	},
	'of another version': { verdict: 'version', prepare: () => undefined, request: { version: 'v1' } },
	excluded: { verdict: 'excluded', prepare: () => undefined, request: { excluded: new Set(['x']) } },
	'over the load limit of the prompt': {
		verdict: 'overloaded',
		prepare: (_, x) => {
			x.ownRequests = 30;
			x.recordActivity(NOW_MS);
		},
		request: { prompt: PROMPT },
	},
	'behind a long prefill queue': {
		verdict: 'slow',
		prepare: (_, x) => {
			x.ownPrefillTokens = 50_000;
		},
		request: { prompt: PROMPT },
	},
	'busier than another': {
		verdict: 'notBest',
		prepare: (_, x) => {
			x.peerRequests = 20;
		},
	},
	'over the load limit of the draw': {
		verdict: 'overloaded',
		prepare: (table) => {
			const { record } = table.find('z') ?? {};
			table.applyChange({ added: [], changed: [], removed: record === undefined ? [] : [record] });
			recordReports(table, 60);
		},
	},
};

function makeTable({ prepare }: Case): TargetTable {
	const table = new TargetTable('a', (zone) => `region of ${zone}`, true, makeRandom());
	const x = makeRecord('x', { zone: 'x-zone', version: 'v0' });
	table.applyChange({ added: [x, makeRecord('y'), makeRecord('z')], changed: [], removed: [] });
	for (const state of table.all) {
		if (state.record.id === 'x') {
			prepare(table, state);
		}
	}
	return table;
}

/** Describes the whole state, with private fields. */
function describeState(table: TargetTable): string {
	return inspect(table, { depth: Infinity, maxArrayLength: Infinity, maxStringLength: Infinity });
}

function explain(
	table: TargetTable,
	request: PlacementRequest,
): readonly [string | undefined, CandidateVerdict] {
	const copy = table.copyService(request.service, makeRandom());
	const trace = new PlacementTrace();
	const chosen = copy.choose(request, NOW_MS, trace.record)?.target;
	const x = copy.find('x');
	if (x === undefined) {
		throw new Error('The copy lacks target x.');
	}
	const { verdict } = explainVerdict(x, {
		step: trace.findLastStep(x),
		isChosen: x === chosen,
		isEvacuated: copy.isEvacuated(x),
		version: request.version,
		nowMs: NOW_MS,
	});
	return [chosen?.record.id, verdict];
}

describe('explanation of a placement', () => {
	for (const [name, reason] of Object.entries(CASES)) {
		const request = { ...REQUEST, ...reason.request };

		// Guards against an explanation that decides by other code or on other state than the request itself.
		it(`names a target that is passed over because it is ${name}, and the one that a request gets`, () => {
			const table = makeTable(reason);
			const [chosen, verdict] = explain(table, request);
			expect(verdict).to.equal(reason.verdict);
			expect(table.choose(request, NOW_MS)?.target.record.id).to.equal(chosen);
			expect(chosen).to.be.oneOf(['y', 'z']);
		});

		// Guards against questions that use up a turn, a share or a use of a prefix, or that end an exclusion.
		it(`leaves no trace in the state when a target is ${name}`, () => {
			const table = makeTable(reason);
			const before = describeState(table);
			for (let question = 0; question < 50; question++) {
				explain(table, request);
			}
			expect(describeState(table)).to.equal(before);
		});
	}
});
