import { expect } from 'chai';
import type { PlacementMessage } from '../../src/common/peerMessage.js';
import { PlacementAnnouncer } from '../../src/common/placementAnnouncer.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { TargetState } from '../../src/common/targetState.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { makeRecord } from './fixtures.js';

const PROMPT = buildPromptChain([
	{ id: 'a1', tokens: 2500 },
	{ id: 'b1', tokens: 6120 },
	{ id: 'c1', tokens: 580 },
]);

function makeAnnouncer(reportsSlowdown: boolean): {
	announcer: PlacementAnnouncer;
	engine: TargetState;
	sent: PlacementMessage[];
} {
	const targets = new TargetTable('a');
	targets.applyChange({ added: [makeRecord('engine')], changed: [], removed: [] });
	const engine = targets.find('engine');
	if (engine === undefined) {
		throw new Error('the engine is not known');
	}
	engine.statedLoad.service.isInUse = reportsSlowdown;
	const sent: PlacementMessage[] = [];
	const announcer = new PlacementAnnouncer({
		targets,
		broadcast: (message) => sent.push(message),
		adoptPrompt: () => undefined,
	});
	return { announcer, engine, sent };
}

describe('PlacementAnnouncer', () => {
	it('announces a long prefix that is not cached, and not one that is', () => {
		const { announcer, engine, sent } = makeAnnouncer(true);
		announcer.announce(engine, PROMPT, undefined, 0);
		engine.prefixCache.recordPrompt(PROMPT, 280_000);
		announcer.announce(engine, PROMPT, undefined, 1);
		expect(sent.map(({ target, prefillTokens }) => [target, prefillTokens])).to.deep.equal([
			['engine', 8620],
		]);
	});

	it('a prefix that is fetched from another engine counts as the part of its prefill that a fetch takes', () => {
		const { announcer, engine, sent } = makeAnnouncer(true);
		const source = new TargetState(engine.record);
		source.prefixCache.recordPrompt(PROMPT, 280_000);
		announcer.announce(engine, PROMPT, source, 0);
		expect(sent.map(({ prefillTokens }) => prefillTokens)).to.deep.equal([2586]);
	});

	it('services without load reports are served as before: nothing is announced', () => {
		const { announcer, engine, sent } = makeAnnouncer(false);
		announcer.announce(engine, PROMPT, undefined, 0);
		expect(sent).to.deep.equal([]);
	});

	it('a flood of new prefixes: at most five a second are announced after a burst of ten', () => {
		const { announcer, engine, sent } = makeAnnouncer(true);
		for (let nowMs = 0; nowMs < 4000; nowMs += 10) {
			announcer.announce(engine, PROMPT, undefined, nowMs);
		}
		expect(sent.length).to.be.within(28, 30);
	});

	it('an announced prefill counts until the engine has done it, and not for an engine that restarted since', () => {
		const { announcer, engine } = makeAnnouncer(true);
		const message = { kind: 'placement', target: 'engine', prefillTokens: 9000, links: [] } as const;
		announcer.adopt({ ...message, startedAtMs: 0 }, 0);
		expect(engine.computePrefillTokens(0)).to.equal(0);
		announcer.adopt({ ...message, startedAtMs: 1 }, 0);
		expect(engine.computePrefillTokens(0)).to.equal(9000);
		expect(engine.computePrefillTokens(150)).to.equal(4500);
		expect(engine.computePrefillTokens(300)).to.equal(0);
	});
});
