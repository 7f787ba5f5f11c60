/** Loads that shared knowledge of the engines' caches answers, each named by its pattern. */
import { expect } from 'chai';
import type { PromptChain } from '../../src/common/promptChain.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { TargetTable } from '../../src/common/targetTable.js';
import { PromptFollower } from '../../src/node/promptFollower.js';
import { makeRecord } from '../common/fixtures.js';

const MEMORY = 280_000;
const ENGINES = ['engine-0', 'engine-1', 'engine-2', 'engine-3'];

interface Instance {
	readonly targets: TargetTable;
	readonly follower: PromptFollower;
	readonly events: string[];
}

function startInstance(fetchFromPeer: () => Promise<string | undefined>, startedAtMs = 1): Instance {
	const targets = new TargetTable('a');
	const added = ENGINES.map((id) => makeRecord(id, { startedAtMs }));
	targets.apply({ added, changed: [], removed: [] });
	const events: string[] = [];
	const follower = new PromptFollower({
		targets,
		log: {
			write: (_, event) => {
				events.push(event);
			},
		},
		getMemory: () => MEMORY,
		fetchFromPeer,
	});
	return { targets, follower, events };
}

function makePrompt(subject: number, own: string): PromptChain {
	return buildPromptChain([
		{ id: 'group', tokens: 2500 },
		{ id: `subject-${subject}`, tokens: 6000 },
		{ id: own, tokens: 500 },
	]);
}

function place({ targets, follower }: Instance, chain: PromptChain): string | undefined {
	const request = {
		service: 'engines',
		prompt: chain,
		objectiveMs: 1000,
		hasCacheTransfer: true,
		excluded: new Set<string>(),
		allowed: undefined,
	};
	const placement = targets.choose(request, 0);
	if (placement !== undefined) {
		follower.notePlaced(placement.target, chain, 0);
	}
	return placement?.target.record.id;
}

const tellNothing = (): Promise<undefined> => Promise.resolve(undefined);

describe('PromptFollower', () => {
	it('rolling restart: an instance that starts sends each subject where it is cached', async () => {
		const old = startInstance(tellNothing);
		// Engines under load when the subjects were placed: not where an instance without knowledge looks for them.
		const busy = ENGINES.slice(0, 2).map((id) => old.targets.find(id));
		for (const target of busy) {
			target?.noteSent(0, 0);
			target?.noteSent(0, 0);
		}
		const places = Array.from({ length: 20 }, (_, subject) => place(old, makePrompt(subject, 'a')));
		const started = startInstance(() => Promise.resolve(old.follower.encodeSnapshot()));
		started.follower.notePeer('old', 'x', old.follower.countKnownTokens(), 0);
		await Promise.resolve();
		await Promise.resolve();
		for (const [subject, engine] of places.entries()) {
			expect(place(started, makePrompt(subject, 'b'))).to.equal(engine);
		}
		expect(started.events).to.deep.equal(['promptsFetched']);
	});

	it('equal knowledge: fetches nothing', () => {
		let fetches = 0;
		const one = startInstance(() => {
			fetches += 1;
			return tellNothing();
		});
		for (let subject = 0; subject < 20; subject++) {
			place(one, makePrompt(subject, 'a'));
		}
		one.follower.notePeer('other', 'x', one.follower.countKnownTokens() + 9000, 0);
		expect(fetches).to.equal(0);
	});

	it('an engine that started again has nothing of what a peer says of its former life', async () => {
		const old = startInstance(tellNothing);
		place(old, makePrompt(1, 'a'));
		place(old, makePrompt(2, 'a'));
		const started = startInstance(() => Promise.resolve(old.follower.encodeSnapshot()), 2);
		started.follower.notePeer('old', 'x', 100_000, 0);
		await Promise.resolve();
		await Promise.resolve();
		expect(started.follower.countKnownTokens()).to.equal(0);
	});

	it('a snapshot that cannot be read changes nothing and is logged', async () => {
		const one = startInstance(() => Promise.resolve('[["engine-0"]]'));
		one.follower.notePeer('other', 'x', 100_000, 0);
		await Promise.resolve();
		await Promise.resolve();
		expect(one.events).to.deep.equal(['promptsNotFetched']);
		expect(one.follower.countKnownTokens()).to.equal(0);
	});

	it('many requests for known subjects: tells the peers nothing new', () => {
		const one = startInstance(tellNothing);
		for (let request = 0; request < 30; request++) {
			place(one, makePrompt(1, `own-${request}`));
		}
		expect(one.follower.listNews(0)).to.have.lengthOf(1);
		const other = startInstance(tellNothing);
		other.follower.adoptNews(one.follower.listNews(0));
		expect(other.follower.countKnownTokens()).to.equal(8500);
	});
});
