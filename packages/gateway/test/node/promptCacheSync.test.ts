/** Situations that synchronized knowledge of the engines' prefix caches must handle; each test is named after one. */
import { expect } from 'chai';
import type { PromptPart } from '../../src/common/gatewayRequest.js';
import type { PromptKnowledge } from '../../src/common/peerState.js';
import type { PromptChain } from '../../src/common/promptChain.js';
import { buildPromptChain } from '../../src/common/promptChain.js';
import { TargetTable } from '../../src/common/targetTable.js';
import type { PeerPromptState } from '../../src/node/promptCacheSync.js';
import { PromptCacheSync } from '../../src/node/promptCacheSync.js';
import { makeRecord } from '../common/fixtures.js';

const MEMORY = 280_000;
const ENGINES = ['engine-0', 'engine-1', 'engine-2', 'engine-3'];

interface Instance {
	readonly targets: TargetTable;
	readonly sync: PromptCacheSync;
	readonly events: string[];
	/** Engines whose cache list was requested. */
	readonly queriedEngines: string[];
}

interface InstanceOptions {
	readonly fetchFromPeer?: () => Promise<string | undefined>;
	/** Start time of the engines. */
	readonly startedAtMs?: number;
	readonly rank?: number;
	/** Cache list of each engine, as JSON rows of id and tokens. */
	readonly cacheLists?: ReadonlyMap<string, string>;
}

function startInstance(options: InstanceOptions = {}): Instance {
	const {
		fetchFromPeer = resolveUndefined,
		startedAtMs = 1,
		rank = 0,
		cacheLists = new Map<string, string>(),
	} = options;
	const queriedEngines: string[] = [];
	const targets = new TargetTable('a');
	const added = ENGINES.map((id) => makeRecord(id, { startedAtMs }));
	targets.applyChange({ added, changed: [], removed: [] });
	const events: string[] = [];
	const sync = new PromptCacheSync({
		targets,
		log: {
			write: (_, event) => {
				events.push(event);
			},
		},
		getCacheCapacity: () => MEMORY,
		codec: { cacheListPath: '/list', decodeCacheList },
		fetchFromPeer,
		fetchDocument: (target) => {
			queriedEngines.push(target.record.id);
			return Promise.resolve(cacheLists.get(target.record.id));
		},
		onDidChangeKnowledge: () => undefined,
		readOwnRank: () => rank,
		countPeers: () => 3,
	});
	return { targets, sync, events, queriedEngines };
}

function resolveUndefined(): Promise<undefined> {
	return Promise.resolve(undefined);
}

function decodeCacheList(body: string): readonly PromptPart[] | undefined {
	return body === '' ? undefined : (JSON.parse(body) as PromptPart[]);
}

function makePeerState(promptTokens: number, promptKnowledge: PromptKnowledge = 'full'): PeerPromptState {
	const instance = {
		fleet: '',
		name: 'peer',
		incarnation: '1',
		zone: 'a',
		callersAddress: '127.0.0.1:1',
		controlAddress: '127.0.0.1:2',
	};
	return { instance, promptTokens, promptKnowledge };
}

async function settle(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

/** Starts an instance that has queried the engines; one of them has a part cached. */
async function startWithFullKnowledge(): Promise<Instance> {
	const cacheLists = new Map([['engine-2', JSON.stringify([{ id: 'group', tokens: 2500 }])]]);
	const instance = startInstance({ cacheLists });
	instance.sync.tick(0);
	instance.sync.tick(50);
	await settle();
	return instance;
}

function makePrompt(subject: number, own: string): PromptChain {
	return buildPromptChain([
		{ id: 'group', tokens: 2500 },
		{ id: `subject-${subject}`, tokens: 6000 },
		{ id: own, tokens: 500 },
	]);
}

function placePrompt({ targets, sync }: Instance, chain: PromptChain): string | undefined {
	const request = {
		service: 'engines',
		prompt: chain,
		objectiveMs: 1000,
		hasCacheTransfer: true,
		excluded: new Set<string>(),
		allowed: undefined,
		version: undefined,
	};
	const placement = targets.choose(request, 0);
	if (placement !== undefined) {
		sync.recordPlacement(placement.target, chain, 0);
	}
	return placement?.target.record.id;
}

describe('PromptCacheSync', () => {
	it('rolling restart: a starting instance sends each subject to the engine that has it cached', async () => {
		const old = startInstance();
		// Load at the time of placement puts the subjects on engines that an instance without knowledge would not choose.
		const busy = ENGINES.slice(0, 2).map((id) => old.targets.find(id));
		for (const target of busy) {
			target?.recordRequestSent(0, 0);
			target?.recordRequestSent(0, 0);
		}
		const places = Array.from({ length: 20 }, (_, subject) => placePrompt(old, makePrompt(subject, 'a')));
		const started = startInstance({
			fetchFromPeer: () => Promise.resolve(old.sync.encodeSnapshot()),
		});
		started.sync.tick(0);
		started.sync.handlePeerState(makePeerState(old.sync.countCachedTokens()), 0);
		await settle();
		for (const [subject, engine] of places.entries()) {
			expect(placePrompt(started, makePrompt(subject, 'b'))).to.equal(engine);
		}
		expect(started.events).to.deep.equal(['promptsFetched']);
	});

	it('nearly equal knowledge: fetches no snapshot', async () => {
		let fetches = 0;
		const one = startInstance({
			fetchFromPeer: () => {
				fetches += 1;
				return resolveUndefined();
			},
		});
		one.sync.tick(0);
		one.sync.tick(1000);
		await settle();
		for (let subject = 0; subject < 20; subject++) {
			placePrompt(one, makePrompt(subject, 'a'));
		}
		one.sync.handlePeerState(makePeerState(one.sync.countCachedTokens() + 9000), 0);
		expect(fetches).to.equal(0);
	});

	it('an engine that restarted has none of the cached parts that a peer reports from before', async () => {
		const old = startInstance();
		placePrompt(old, makePrompt(1, 'a'));
		placePrompt(old, makePrompt(2, 'a'));
		const started = startInstance({
			fetchFromPeer: () => Promise.resolve(old.sync.encodeSnapshot()),
			startedAtMs: 2,
		});
		started.sync.tick(0);
		started.sync.handlePeerState(makePeerState(100_000), 0);
		await settle();
		expect(started.sync.countCachedTokens()).to.equal(0);
	});

	it('a snapshot that cannot be decoded changes nothing and is logged', async () => {
		const one = startInstance({ fetchFromPeer: () => Promise.resolve('[["engine-0"]]') });
		one.sync.tick(0);
		one.sync.handlePeerState(makePeerState(100_000), 0);
		await settle();
		expect(one.events).to.deep.equal(['promptsNotFetched']);
		expect(one.sync.countCachedTokens()).to.equal(0);
	});

	it('many requests for known subjects: gossips only the first prompt', () => {
		const one = startInstance();
		for (let request = 0; request < 30; request++) {
			placePrompt(one, makePrompt(1, `own-${request}`));
		}
		expect(one.sync.listRecentPrompts(0)).to.have.lengthOf(1);
		const other = startInstance();
		other.sync.adoptPrompts(one.sync.listRecentPrompts(0));
		expect(other.sync.countCachedTokens()).to.equal(8500);
	});

	it('loss of all instances: the first one queries the engines and places a cached subject on its engine', async () => {
		const list = JSON.stringify([
			{ id: 'group', tokens: 2500 },
			{ id: 'subject-1', tokens: 6000 },
			{ id: 'own', tokens: 100 },
		]);
		const cacheLists = new Map([['engine-3', list]]);
		const one = startInstance({ cacheLists });
		one.sync.tick(0);
		one.sync.tick(49);
		expect(one.queriedEngines).to.deep.equal([]);
		one.sync.tick(50);
		await settle();
		expect(one.queriedEngines).to.have.members(ENGINES);
		expect(one.events).to.deep.equal(['promptsListed']);
		expect(one.sync.countCachedTokens()).to.equal(8500);
		expect(placePrompt(one, makePrompt(1, 'a'))).to.equal('engine-3');
		expect(one.sync.countCachedTokens()).to.equal(8500);
	});

	it('loss of all instances: a later one adopts the snapshot of the first and queries no engine', async () => {
		const first = await startWithFullKnowledge();
		const second = startInstance({
			rank: 1,
			fetchFromPeer: () => Promise.resolve(first.sync.encodeSnapshot()),
		});
		second.sync.tick(0);
		second.sync.tick(190);
		second.sync.handlePeerState(makePeerState(2500, first.sync.knowledge), 195);
		await settle();
		second.sync.tick(5000);
		await settle();
		expect(second.queriedEngines).to.deep.equal([]);
		expect(second.sync.countCachedTokens()).to.equal(2500);
	});

	it('loss of all instances: a later one queries the engines if the first does not', async () => {
		const second = startInstance({ rank: 1 });
		second.sync.tick(0);
		second.sync.tick(199);
		expect(second.queriedEngines).to.deep.equal([]);
		second.sync.tick(200);
		await settle();
		expect(second.queriedEngines).to.have.members(ENGINES);
	});

	it('loss of a large fleet: the others wait up to 2 s while one queries many engines', async () => {
		const late = startInstance({ rank: 2 });
		late.sync.handlePeerState(makePeerState(0, 'asking'), 0);
		late.sync.tick(0);
		late.sync.tick(1900);
		await settle();
		expect(late.queriedEngines).to.deep.equal([]);
		late.sync.tick(2000);
		await settle();
		expect(late.queriedEngines).to.have.members(ENGINES);
	});

	it('loss of a large fleet: adopts the snapshot of the first, whatever partial knowledge others have', async () => {
		const first = await startWithFullKnowledge();
		const late = startInstance({
			rank: 9,
			fetchFromPeer: () => Promise.resolve(first.sync.encodeSnapshot()),
		});
		late.sync.tick(0);
		late.sync.handlePeerState(makePeerState(60_000, 'own'), 100);
		await settle();
		late.sync.handlePeerState(makePeerState(2500, 'full'), 110);
		await settle();
		expect(late.sync.knowledge).to.equal('full');
	});

	it('rolling restart on slow links: queries no engine while a snapshot is being fetched', async () => {
		let resolveFetch: (text: string | undefined) => void = () => undefined;
		const started = startInstance({
			fetchFromPeer: () =>
				new Promise((resolve) => {
					resolveFetch = resolve;
				}),
		});
		started.sync.tick(0);
		started.sync.handlePeerState(makePeerState(100_000), 0);
		started.sync.tick(700);
		await settle();
		expect(started.queriedEngines).to.deep.equal([]);
		resolveFetch(undefined);
		await settle();
		started.sync.tick(800);
		await settle();
		expect(started.queriedEngines).to.have.members(ENGINES);
	});

	it('a cache list that cannot be decoded does not affect the other engines', async () => {
		const cacheLists = new Map([
			['engine-0', ''],
			['engine-1', JSON.stringify([{ id: 'group', tokens: 2500 }])],
		]);
		const one = startInstance({ cacheLists });
		one.sync.tick(0);
		one.sync.tick(50);
		await settle();
		expect(one.events).to.deep.equal(['promptsNotListed', 'promptsListed']);
		expect(one.sync.countCachedTokens()).to.equal(2500);
	});

	it('the snapshot of a peer seen before the targets are known is fetched once they are', async () => {
		let fetches = 0;
		const one = startInstance({
			fetchFromPeer: () => {
				fetches += 1;
				return Promise.resolve('[]');
			},
		});
		one.sync.handlePeerState(makePeerState(100_000), 0);
		await settle();
		expect(fetches).to.equal(0);
		expect(one.sync.knowledge).to.equal('own');
		one.sync.tick(10);
		await settle();
		expect(fetches).to.equal(1);
		expect(one.sync.knowledge).to.equal('full');
	});
});
