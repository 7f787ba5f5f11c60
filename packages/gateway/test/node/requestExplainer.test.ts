import { inspect } from 'node:util';
import { expect } from 'chai';
import type { RequestExplanation, RequestQuestion } from '../../src/common/requestExplanation.js';
import { TargetState } from '../../src/common/targetState.js';
import { TargetTable } from '../../src/common/targetTable.js';
import type { AdmissionInput } from '../../src/node/admissionControl.js';
import { AdmissionControl } from '../../src/node/admissionControl.js';
import { RequestExplainer } from '../../src/node/requestExplainer.js';
import { makeConfiguration, makeRecord, makeRoute } from '../common/fixtures.js';

const QUESTION: RequestQuestion = {
	route: 'route',
	customer: 'acme',
	prompt: [{ id: 'own', tokens: 100 }],
	bodyBytes: 1000,
};
const ACME = { name: 'acme', priority: undefined };

describe('RequestExplainer', () => {
	let targets: TargetTable;
	let admission: AdmissionControl;
	let explainer: RequestExplainer;
	let decisions: string[];
	let hasLostPath: boolean;

	beforeEach(() => {
		decisions = [];
		hasLostPath = false;
		targets = new TargetTable('a');
		targets.applyChange({ added: [makeRecord('one', { slots: 4 })], changed: [], removed: [] });
		admission = new AdmissionControl({
			targets,
			log: { write: () => undefined },
			countDecision: (event) => {
				decisions.push(event);
			},
			findService: () => undefined,
			listPeers: () => [],
			countInstances: () => 1,
			seeds: 0,
		});
		const configuration = makeConfiguration({
			routes: [makeRoute({ hasAffinity: true })],
			customersByKey: new Map([['secret-key', ACME]]),
		});
		explainer = new RequestExplainer({
			targets,
			crashes: { explainPrompt: ([part]) => (part === 'crashing' ? 'targets died' : undefined) },
			admission,
			isDraining: () => false,
			readSnapshot: () => ({ configuration }),
			isStoreUnreachable: () => false,
			hasCacheTransfer: () => false,
			hasLostPath: () => hasLostPath,
			hasMemoryFor: (bytes) => bytes !== 600_000,
			choosePeer: () => new TargetState(makeRecord('peer')),
			describeBeliefs: () => ({
				targetsAgeMs: 0,
				peers: 0,
				peersAgeMs: 0,
				oldestPeerAgeMs: 0,
				configurationVersion: 1,
				configurationAgeMs: 0,
			}),
		});
	});

	afterEach(() => {
		admission.dispose();
	});

	function ask(changes: Partial<RequestQuestion> = {}): RequestExplanation {
		const result = explainer.explain({ ...QUESTION, ...changes }, performance.now());
		if (result.kind !== 'explained') {
			throw new Error(result.detail);
		}
		return result.explanation;
	}

	/** Sends a real request to the admission; returns what was decided. */
	function offer(changes: Partial<AdmissionInput> = {}): string {
		let decision = 'waiting';
		const input = { service: 'engines', route: 'route', customer: 'acme', priority: 1, objectiveMs: 1000 };
		const ticket = admission.open(
			{ ...input, remainingMs: 1000, tokens: 100, bodyBytes: 1000, ...changes },
			{
				onAdmitted: () => {
					decision = 'sent';
				},
				onRefused: () => {
					decision = 'refused';
				},
			},
		);
		ticket.start();
		return decision;
	}

	// Guards against an answer that differs from the decision while the service fills up: sent, waiting and refused.
	it('equals the decision on the next request, while capacity is free, short and used up', () => {
		const seen = new Set<string>();
		for (let request = 0; request < 300; request++) {
			const { decision } = ask();
			seen.add(decision.kind);
			expect(offer()).to.equal(decision.kind);
		}
		expect([...seen]).to.have.members(['sent', 'waiting', 'refused']);
		const { capacity } = ask();
		expect(capacity).to.include({ isShort: true, concurrency: 4 });
		expect(capacity?.customerRequests).to.equal(capacity?.ownRequests);
	});

	// Guards against questions that count as demand, take a turn of the queue, or delay the callers that return.
	it('changes no state by a thousand questions', () => {
		for (let request = 0; request < 12; request++) {
			offer();
		}
		const describeState = (): string =>
			inspect([targets, admission], { depth: Infinity, maxArrayLength: Infinity }).replace(
				/Timeout \{[^}]*\}/g,
				'',
			);
		const [before, counted] = [describeState(), decisions.length];
		for (let question = 0; question < 1000; question++) {
			ask();
		}
		expect(describeState()).to.equal(before);
		expect(decisions.length).to.equal(counted);
	});

	it('explains refusals that come before a target is chosen, and never names an API key', () => {
		const early: readonly [Partial<RequestQuestion>, string][] = [
			[{ customer: undefined }, 'unknownKey'],
			[{ bodyBytes: 2_000_000 }, 'bodyTooLarge'],
			[{ bodyBytes: 600_000 }, 'memoryShort'],
			[{ prompt: [{ id: 'crashing', tokens: 5 }, ...QUESTION.prompt] }, 'crashingRequest'],
		];
		for (const [changes, reason] of early) {
			const explanation = ask(changes);
			expect(explanation.decision).to.include({ kind: 'refused', reason });
			expect(JSON.stringify(explanation)).not.to.contain('secret-key');
		}
	});

	it('names the end of a pause when all targets back off, and a missing service', () => {
		targets.find('one')?.recordBackOff(performance.now() + 5000);
		expect(ask().decision).to.include({ kind: 'refused', reason: 'targetsBackingOff' });
		targets.applyChange({ added: [], changed: [], removed: [makeRecord('one')] });
		expect(ask().decision).to.include({ kind: 'refused', reason: 'noTarget' });
	});

	// Guards against a choice among targets that this instance does not reach.
	it('names the instance to which a request is relayed while no target can be reached', () => {
		hasLostPath = true;
		const { candidates, capacity, decision } = ask();
		expect(decision).to.include({ kind: 'sent', target: 'peer', reason: 'relay' });
		expect(candidates.map(({ verdict }) => verdict)).to.deep.equal(['relayed']);
		expect(capacity).to.equal(undefined);
	});

	it('reports unknown routes and customers', () => {
		expect(explainer.explain({ ...QUESTION, route: 'other' }, 0).kind).to.equal('unknownRoute');
		expect(explainer.explain({ ...QUESTION, customer: 'secret-key' }, 0).kind).to.equal('unknownCustomer');
	});
});
