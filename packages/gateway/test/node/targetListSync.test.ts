import type { Clock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import type { MetadataStore } from '../../src/common/metadataStore.js';
import { StoreError } from '../../src/common/metadataStore.js';
import { TargetView } from '../../src/common/targetView.js';
import { TargetListSync } from '../../src/node/targetListSync.js';
import { makeRecord } from '../common/fixtures.js';

const TICK_MS = 100;
/** The store does not answer calls within this time while it is silent. */
const CALL_TIMEOUT_MS = 1500;
const OUTAGE_FROM_MS = 5000;
/** Time without a fault from which an instance has to know what the store has. */
const STABLE_MS = 3000;
/** Time after which a target that has left the store gets no more work. */
const LEAVE_BOUND_MS = 2000;

describe('TargetListSync', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Removes a target from a store that was silent until `outageEndMs`; returns whether it is used after the bound. */
	async function isUsedTooLong(outageEndMs: number): Promise<boolean> {
		const startedAtMs = performance.now();
		const readTimeMs = (): number => performance.now() - startedAtMs;
		const leaveAtMs = outageEndMs + STABLE_MS;
		const view = new TargetView();
		const listTargets: MetadataStore['listTargets'] = async () => {
			if (readTimeMs() > OUTAGE_FROM_MS && readTimeMs() < outageEndMs) {
				await new Promise((resolve) => setTimeout(resolve, CALL_TIMEOUT_MS));
				throw new StoreError('unreachable', 'no response');
			}
			const isListed = readTimeMs() < leaveAtMs;
			const targets = [makeRecord('a'), makeRecord('b')].slice(isListed ? 0 : 1);
			return { era: 1, revision: isListed ? 1 : 2, targets };
		};
		const sync = new TargetListSync({
			store: { listTargets } as Partial<MetadataStore> as MetadataStore,
			view,
			log: { write: () => undefined },
			readOwnRank: () => 0,
			onDidChange: () => undefined,
			onColdnessListed: () => undefined,
			fetchFromPeer: () => Promise.resolve(undefined),
		});
		while (readTimeMs() < leaveAtMs + LEAVE_BOUND_MS) {
			sync.tick(performance.now());
			await clock.tickAsync(TICK_MS);
		}
		sync.dispose();
		return view.records.some(({ id }) => id === 'a');
	}

	// Guards against work for targets that leave when the store is stable again, kept because the first read came late.
	it('a target that leaves 3 s after an outage is out of use 2 s later, whenever the outage ends', async () => {
		const late: number[] = [];
		for (
			let outageEndMs = OUTAGE_FROM_MS + 2000;
			outageEndMs < OUTAGE_FROM_MS + 8000;
			outageEndMs += TICK_MS
		) {
			if (await isUsedTooLong(outageEndMs)) {
				late.push(outageEndMs);
			}
		}
		expect(late).to.deep.equal([]);
	});
});
