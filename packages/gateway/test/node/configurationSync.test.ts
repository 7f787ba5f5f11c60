import { expect } from 'chai';
import { ActiveConfiguration } from '../../src/common/activeConfiguration.js';
import type { MetadataStore, DecodedConfiguration } from '../../src/common/metadataStore.js';
import { ConfigurationSync } from '../../src/node/configurationSync.js';
import { makeConfiguration } from '../common/fixtures.js';

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
		rank = 0,
		store = makeUnresponsiveStore(),
	): { readonly activeConfiguration: ActiveConfiguration; readonly sync: ConfigurationSync } {
		const activeConfiguration = new ActiveConfiguration();
		const sync = new ConfigurationSync({
			store,
			activeConfiguration,
			log: { write: () => undefined },
			readOwnRank: () => rank,
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
		makeSync(0, {
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

	it('large fleet: only the first two instances use short watches', async () => {
		const waits: number[] = [];
		for (const rank of [0, 1, 2, 30]) {
			const store: MetadataStore = {
				...makeUnresponsiveStore(),
				readConfiguration: () => Promise.resolve({ decoded: read(1), position: { era: 1, revision: 5 } }),
				watchConfiguration: (_, waitMs) => {
					waits.push(waitMs);
					return new Promise(() => undefined);
				},
			};
			makeSync(rank, store).sync.start();
			await new Promise((resolve) => setImmediate(resolve));
		}
		expect(waits).to.deep.equal([3000, 3000, 20_000, 20_000]);
	});
});
