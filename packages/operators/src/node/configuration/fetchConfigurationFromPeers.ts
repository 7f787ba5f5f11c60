/** Fetches the configuration in force from a few peers. */
import type { PeerNetwork } from '@papayawell/core';
import { RouterState } from '@papayawell/core';

const MAX_QUERIED_PEERS = 3;
const CALL_TIMEOUT_MS = 2000;

/** Queries a few random peers and returns the document with the highest version, or undefined. */
export async function fetchConfigurationFromPeers(
	network: PeerNetwork,
	ownInstance: string,
): Promise<string | undefined> {
	const answers = await Promise.all(
		choosePeers(network, ownInstance).map((instance) =>
			network.call(instance, { kind: 'fetchConfiguration', aboveVersion: 0 }, CALL_TIMEOUT_MS),
		),
	);
	let best: { readonly version: number; readonly document: string } | undefined;
	for (const answer of answers) {
		if (answer.err || answer.val.kind !== 'configuration' || answer.val.document === undefined) {
			continue;
		}
		const { version, document } = answer.val;
		best = best === undefined || version > best.version ? { version, document } : best;
	}
	return best?.document;
}

function choosePeers(network: PeerNetwork, ownInstance: string): readonly string[] {
	const peers = network
		.readView()
		.filter(({ router, state }) => state === RouterState.Alive && router.instance !== ownInstance)
		.map(({ router }) => ({ instance: router.instance, order: Math.random() }))
		.sort((a, b) => a.order - b.order);
	return peers.slice(0, MAX_QUERIED_PEERS).map(({ instance }) => instance);
}
