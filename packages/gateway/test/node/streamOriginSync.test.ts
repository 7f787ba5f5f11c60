import { expect } from 'chai';
import type { Clock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import type { StreamOriginMessage } from '../../src/common/peerMessage.js';
import type { VersionOpinion } from '../../src/common/versionHistory.js';
import type { OriginLookup } from '../../src/node/streamOriginSync.js';
import { StreamOriginSync } from '../../src/node/streamOriginSync.js';

const SOLE: VersionOpinion = { kind: 'sole', version: 'v1' };
const SERVICE = 'engines';
const LOOKUP_MS = 300;

describe('StreamOriginSync at an instance whose list shows one version', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
	});

	afterEach(() => {
		clock.uninstall();
	});

	/**
	 * Looks up a stream that no instance remembers.
	 * @param peers number of peers that are heard of
	 * @param replies number of peers that reply
	 */
	async function find(
		peers: number,
		replies: number,
		{ hearsMajority = true, opinion = SOLE } = {},
	): Promise<OriginLookup> {
		const sync: StreamOriginSync = new StreamOriginSync({
			listPeers: () =>
				Array.from({ length: peers }, (_, index) => ({
					name: `edge-${index}`,
					controlAddress: `edge-${index}:1`,
				})),
			hearsMajority: () => hearsMajority,
			describeVersions: () => SOLE,
			send: (address, message: StreamOriginMessage) => {
				if (message.kind === 'query' && Number(/\d+/.exec(address)?.[0]) < replies) {
					setTimeout(() => {
						sync.handleMessage({ kind: 'reply', query: message.query, origin: null, opinion }, address);
					}, 5);
				}
			},
		});
		const found = sync.find('be01', SERVICE);
		await clock.tickAsync(LOOKUP_MS);
		return found;
	}

	// Guards against streams that go on at another version at an instance that is out of step during a release.
	for (const [name, peers, hearsMajority] of [
		['is cut off from peers that it still counts as heard of', 3, true],
		['is cut off and hears nobody any more', 0, false],
		['hears only a minority', 1, false],
	] as const) {
		it(`does not take that version for the one of the stream if it ${name}`, async () => {
			const replies = hearsMajority ? 0 : peers;
			expect(await find(peers, replies, { hearsMajority })).to.deep.equal({
				kind: 'unknown',
				hasAllReplies: false,
			});
		});
	}

	it('goes on at that version if most peers reply, also while one has just been killed', async () => {
		const known = { kind: 'known', origin: { service: SERVICE, version: 'v1' } };
		expect(await find(3, 3)).to.deep.equal(known);
		expect(await find(3, 2)).to.deep.equal(known);
		expect(await find(0, 0)).to.deep.equal(known);
	});

	it('does not if a peer has seen another version', async () => {
		expect(await find(3, 3, { opinion: { kind: 'several' } })).to.deep.equal({
			kind: 'unknown',
			hasAllReplies: true,
		});
	});
});
