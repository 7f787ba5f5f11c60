import { expect } from 'chai';
import { PeerRoutes } from '../../src/common/peerRoutes.js';
import type { FleetInstance } from '../../src/common/peerState.js';
import { buildRelayHeaders, readRelayHeaders } from '../../src/common/relayHeaders.js';

const NONE: ReadonlySet<string> = new Set();

function makePeer(index: number, zone = 'a'): FleetInstance {
	const name = `edge-${index}`;
	return {
		fleet: '',
		name,
		incarnation: 'x',
		zone,
		callersAddress: `${name}:1`,
		controlAddress: `${name}:2`,
	};
}

describe('PeerRoutes', () => {
	for (const instances of [4, 31, 79, 323]) {
		for (const cutShare of [0.25, 0.5, 0.75]) {
			// Guards against RECOVER at any size: the requests of cut instances must not all meet at one other.
			it(`${Math.ceil(instances * cutShare)} of ${instances} instances spread their requests over the others`, () => {
				const cut = Math.ceil(instances * cutShare);
				const sound = Array.from({ length: instances - cut }, (_, index) => makePeer(index, `z${index % 3}`));
				const loads = new Map<string, number>();
				const requestsEach = 20;
				for (let index = 0; index < cut; index++) {
					const routes = new PeerRoutes(`z${index % 3}`);
					for (let request = 0; request < requestsEach; request++) {
						const peer = routes.choose(sound, NONE, 0);
						peer?.recordRequestSent(0, 0);
						const id = peer?.record.id ?? '';
						loads.set(id, (loads.get(id) ?? 0) + 1);
					}
				}
				const mean = (cut * requestsEach) / sound.length;
				expect(loads.has('')).to.equal(false);
				expect(Math.max(...loads.values())).to.be.at.most(2 * mean + 3);
			});
		}
	}

	it('does not choose an instance that cannot be reached, or that was tried', () => {
		const routes = new PeerRoutes('a');
		const peers = [makePeer(1), makePeer(2)];
		const first = routes.choose(peers, NONE, 0);
		first?.health.recordConnectionFailure(0, true);
		const second = routes.choose(peers, NONE, 0);
		expect(second?.record.id).not.to.equal(first?.record.id);
		expect(routes.choose(peers, new Set([second?.record.id ?? '']), 0)).to.equal(undefined);
	});

	it('chooses none if no instance reaches the targets', () => {
		expect(new PeerRoutes('a').choose([], NONE, 0)).to.equal(undefined);
	});
});

describe('relay headers', () => {
	function toDictionary(headers: readonly string[]): Record<string, string> {
		const dictionary: Record<string, string> = {};
		for (let index = 0; index + 1 < headers.length; index += 2) {
			dictionary[headers[index] ?? ''] = headers[index + 1] ?? '';
		}
		return dictionary;
	}

	for (const usedTargets of [[], ['i-1'], ['i-1', 'i-2']]) {
		it(`carry the instance and ${usedTargets.length} used targets`, () => {
			const headers = buildRelayHeaders(makePeer(1), usedTargets);
			expect(readRelayHeaders(toDictionary(headers))).to.deep.equal({
				instance: 'edge-1',
				incarnation: 'x',
				usedTargets,
			});
		});
	}

	it('are missing from a request of a caller', () => {
		expect(readRelayHeaders({ host: 'a.example' })).to.equal(undefined);
	});
});
