import type { Clock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { ActiveConfiguration } from '../../src/common/activeConfiguration.js';
import type {
	ConfigurationReadResult,
	DecodedConfiguration,
	MetadataStore,
} from '../../src/common/metadataStore.js';
import { StoreError } from '../../src/common/metadataStore.js';
import { ConfigurationSync } from '../../src/node/configurationSync.js';
import { makeConfiguration } from '../common/fixtures.js';

/** Time in which any call has ended. */
const CALL_MS = 5000;
/** Time after which a change is in force at instances without a recent fault. */
const CHANGE_BOUND_MS = 2000;
/** Time after a fault from which an instance counts as without one. */
const STABLE_MS = 3000;

function read(version: number): DecodedConfiguration {
	return { configuration: makeConfiguration({ version }), encoded: String(version) };
}

/** A store that answers no call, and decodes a configuration from its version number. */
function makeUnresponsiveStore(): MetadataStore {
	const neverResolve = (): Promise<never> => new Promise(() => undefined);
	return {
		onDidRestore: () => ({ dispose: () => undefined }),
		observePeerEra: () => undefined,
		readConfiguration: neverResolve,
		watchConfiguration: neverResolve,
		decodeConfiguration: (encoded) => read(Number(encoded)),
		listTargets: neverResolve,
		listInstances: neverResolve,
		readBlockedPrompts: neverResolve,
		writeBlockedPrompts: neverResolve,
		renewRegistration: neverResolve,
	};
}

describe('ConfigurationSync', () => {
	function makeSync(
		readOwnRank = (): number => 0,
		store = makeUnresponsiveStore(),
	): { readonly activeConfiguration: ActiveConfiguration; readonly sync: ConfigurationSync } {
		const activeConfiguration = new ActiveConfiguration();
		const sync = new ConfigurationSync({
			store,
			activeConfiguration,
			log: { write: () => undefined },
			readOwnRank,
			fetchFromPeer: () => Promise.resolve('7'),
		});
		return { activeConfiguration, sync };
	}

	it('start during an outage of the store: adopts the configuration of a peer at once', async () => {
		const { activeConfiguration, sync } = makeSync();
		sync.handlePeerVersion('127.0.0.1:1', 7);
		await new Promise((resolve) => setImmediate(resolve));
		expect(activeConfiguration.version).to.equal(7);
	});

	it('gives the store 100 ms to deliver a change before it is fetched from a peer', async () => {
		const { activeConfiguration, sync } = makeSync();
		activeConfiguration.tryAdopt(read(6), 'store');
		const adopted = new Promise((resolve) => activeConfiguration.onDidAdopt(resolve));
		const startedAtMs = performance.now();
		sync.handlePeerVersion('127.0.0.1:1', 7);
		await adopted;
		expect(activeConfiguration.version).to.equal(7);
		// Timers of the runtime have a resolution of 1 ms.
		expect(performance.now() - startedAtMs).to.be.at.least(99);
	});

	it('start before the first configuration: waits for it in a single watch', async () => {
		const watched: number[] = [];
		let reads = 0;
		makeSync(() => 0, {
			...makeUnresponsiveStore(),
			readConfiguration: () => {
				reads += 1;
				return Promise.resolve({ decoded: undefined, position: { era: 1, revision: 5 } });
			},
			watchConfiguration: ({ revision }) => {
				watched.push(revision);
				return new Promise(() => undefined);
			},
		}).sync.start();
		await new Promise((resolve) => setImmediate(resolve));
		expect([reads, watched]).to.deep.equal([1, [5]]);
	});

	it('large fleet: only the first four instances use short watches', async () => {
		const waits: number[] = [];
		for (const rank of [0, 3, 4, 30]) {
			const store: MetadataStore = {
				...makeUnresponsiveStore(),
				readConfiguration: () => Promise.resolve({ decoded: read(1), position: { era: 1, revision: 5 } }),
				watchConfiguration: (_, waitMs) => {
					waits.push(waitMs);
					return new Promise(() => undefined);
				},
			};
			makeSync(() => rank, store).sync.start();
			await new Promise((resolve) => setImmediate(resolve));
		}
		expect(waits).to.deep.equal([1000, 1000, 20_000, 20_000]);
	});

	// Guards against an instance that becomes one of the first while its long watch, for 20 s, is not answered.
	it('replaces a long watch by a short one, from the same position, when it becomes one of the first', async () => {
		let rank = 4;
		const watches: (readonly [revision: number, waitMs: number])[] = [];
		const { sync } = makeSync(() => rank, {
			...makeUnresponsiveStore(),
			readConfiguration: () => Promise.resolve({ decoded: read(1), position: { era: 1, revision: 5 } }),
			watchConfiguration: ({ revision }, waitMs, signal) => {
				watches.push([revision, waitMs]);
				return new Promise((_, reject) => {
					signal.addEventListener('abort', () => {
						reject(new StoreError('unreachable', 'aborted'));
					});
				});
			},
		});
		sync.start();
		await new Promise((resolve) => setImmediate(resolve));
		sync.tick();
		rank = 3;
		sync.tick();
		await new Promise((resolve) => setImmediate(resolve));
		expect(sync.isStoreUnreachable).to.equal(false);
		expect(watches).to.deep.equal([
			[5, 20_000],
			[5, 1000],
		]);
	});

	describe('a store that does not answer for a while', () => {
		let clock: Clock;

		beforeEach(() => {
			clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
		});

		afterEach(() => {
			clock.uninstall();
		});

		/** Makes a store that never answers calls sent in the given time, and changes the configuration at `changeAtMs`. */
		function makeSilentStore(fromMs: number, untilMs: number, changeAtMs: number): MetadataStore {
			const answer = (): ConfigurationReadResult => {
				const version = performance.now() < changeAtMs ? 1 : 2;
				return { decoded: read(version), position: { era: 1, revision: version } };
			};
			const call = async (timeoutMs: number, waitMs = 0): Promise<ConfigurationReadResult> => {
				const sentAtMs = performance.now();
				const isLost = (): boolean =>
					(sentAtMs >= fromMs && sentAtMs < untilMs) || (sentAtMs < fromMs && performance.now() >= fromMs);
				const isChanged = (): boolean => sentAtMs < changeAtMs && performance.now() >= changeAtMs;
				while (isLost() || (performance.now() - sentAtMs < waitMs && !isChanged())) {
					if (performance.now() - sentAtMs >= timeoutMs) {
						throw new StoreError('unreachable', 'no response');
					}
					await new Promise((resolve) => setTimeout(resolve, 10));
				}
				return answer();
			};
			return {
				...makeUnresponsiveStore(),
				readConfiguration: () => call(1500),
				watchConfiguration: (_, waitMs) => call(Math.max(1500, waitMs + 500), waitMs),
			};
		}

		/** Returns the time at which the changed configuration is in force. */
		async function measureAdoption(store: MetadataStore, limitMs: number): Promise<number> {
			const { sync, activeConfiguration } = makeSync(() => 0, store);
			let adoptedAtMs = Infinity;
			activeConfiguration.onDidAdopt(({ snapshot }) => {
				adoptedAtMs = snapshot.configuration.version === 2 ? performance.now() : Infinity;
			});
			sync.start();
			await clock.tickAsync(limitMs - performance.now());
			sync.dispose();
			await clock.tickAsync(CALL_MS);
			return adoptedAtMs;
		}

		// Guards against keys and routes that stay in use after they were taken away (rule: 2 s, and 3 s after a fault).
		for (const [fault, durationMs] of [
			['the open connections go silent', 0],
			['the store is silent for 4.5 s', 4500],
		] as const) {
			it(`${fault}: a change is in force in time, whenever the fault begins`, async () => {
				const late: string[] = [];
				for (let phaseMs = 0; phaseMs < 3000; phaseMs += 170) {
					for (const changeAfterMs of [0, 300, 1000, 2000]) {
						const startMs = performance.now();
						const fromMs = startMs + CALL_MS + phaseMs;
						const untilMs = fromMs + durationMs;
						const changeAtMs = untilMs + changeAfterMs;
						const dueMs = Math.max(changeAtMs + CHANGE_BOUND_MS, untilMs + STABLE_MS);
						const store = makeSilentStore(fromMs, untilMs, changeAtMs);
						if ((await measureAdoption(store, dueMs)) > dueMs) {
							late.push(`${phaseMs} ms, change after ${changeAfterMs} ms`);
						}
					}
				}
				expect(late).to.deep.equal([]);
			});
		}
	});
});
