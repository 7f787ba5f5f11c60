/** Gossip of real instances on loopback, in two availability zones. */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { PeerState } from '../../src/common/peerState.js';
import { FleetMembership } from '../../src/node/fleetMembership.js';
import { makePeerState } from '../common/fixtures.js';

/** Time in which instances that start send to all peers directly, and some rounds through relays. */
const SETTLE_MS = 4500;

/** Connections of other tests have another address, and so cannot get a port of this one. */
const HOST = '127.0.0.9';

async function findAddress(): Promise<string> {
	const server = createServer();
	await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
	const { port } = server.address() as AddressInfo;
	await new Promise((resolve) => server.close(resolve));
	return `${HOST}:${port}`;
}

interface Member {
	readonly membership: FleetMembership;
	readonly errors: string[];
	/** Names of the peers that were heard to stop serving. */
	readonly stopped: Set<string>;
	isServing: boolean;
}

function makeMember(name: string, zone: string, addresses: readonly string[], usesZoneRelays = true): Member {
	const controlAddress = addresses[Number(name)] ?? '';
	const { instance, ...state } = makePeerState(name);
	const member = { errors: [] as string[], stopped: new Set<string>(), isServing: true };
	const membership = new FleetMembership({
		self: { ...instance, zone, controlAddress },
		seeds: addresses,
		usesZoneRelays: () => usesZoneRelays,
		store: {
			renewRegistration: () => Promise.resolve(),
			listInstances: () => Promise.resolve([]),
		} as unknown as ConstructorParameters<typeof FleetMembership>[0]['store'],
		log: {
			write: (_class, event, fields) => {
				if (event === 'peerLinkError') {
					member.errors.push(String(fields.detail));
				}
			},
		},
		describeSelf: () => ({ ...state, isServing: member.isServing }),
		describeDepartedTargets: () => ({}),
		onDidContactPeers: () => undefined,
		onPeerState: ({ instance: peer, isServing }: PeerState) => {
			if (!isServing) {
				member.stopped.add(peer.name);
			}
		},
		onPeerStart: () => undefined,
		onMessage: () => undefined,
		onRelayedRequest: () => undefined,
		documents: {},
	});
	return Object.assign(member, { membership });
}

describe('FleetMembership in two zones', function () {
	this.timeout(15_000);
	let members: Member[] = [];
	const timers: NodeJS.Timeout[] = [];

	async function start(makeMembers: (addresses: readonly string[]) => Member[]): Promise<void> {
		const addresses = await Promise.all(Array.from({ length: 5 }, findAddress));
		members = makeMembers(addresses);
		for (const { membership } of members) {
			await membership.listen();
			timers.push(
				setInterval(() => {
					membership.tick(performance.now());
				}, 50),
			);
		}
		await sleep(SETTLE_MS);
	}

	afterEach(() => {
		timers.splice(0).forEach(clearInterval);
		members.forEach(({ membership }) => {
			membership.dispose();
		});
	});

	it('a state crosses to the other zone once a round, and a drain still arrives everywhere at once', async () => {
		await start((addresses) =>
			['0', '1', '2', '3', '4'].map((name) => makeMember(name, name === '0' ? 'a' : 'b', addresses)),
		);
		const [origin, ...others] = members;
		const bytesBefore = origin?.membership.readSentBytes().betweenZones ?? 0;
		await sleep(1200);
		const bytes = (origin?.membership.readSentBytes().betweenZones ?? 0) - bytesBefore;
		// At most five rounds; a state is smaller than 700 bytes, and went to four peers each time without relays.
		expect(bytes).to.be.within(300, 5 * 700);
		if (origin !== undefined) {
			origin.isServing = false;
			origin.membership.announce(performance.now());
		}
		// The next round is 300 ms later.
		const deadlineMs = performance.now() + 250;
		while (performance.now() < deadlineMs && !others.every(({ stopped }) => stopped.has('0'))) {
			await sleep(10);
		}
		expect(others.map(({ stopped }) => stopped.has('0'))).to.deep.equal([true, true, true, true]);
		expect(members.flatMap(({ errors }) => errors)).to.deep.equal([]);
	});

	it('rolling update: instances without relays hear of one that uses them, and it of them', async () => {
		await start((addresses) =>
			['0', '1', '2', '3', '4'].map((name) =>
				makeMember(name, name === '0' ? 'a' : 'b', addresses, name !== '3' && name !== '4'),
			),
		);
		const nowMs = performance.now();
		for (const { membership } of members) {
			expect(membership.peers.listServing(nowMs).length).to.equal(4);
		}
		expect(members.flatMap(({ errors }) => errors)).to.deep.equal([]);
	});
});
