/** Creates the peer network of one router with its listener and dialer. */
import { GrpcPeerNetwork } from './grpcPeerNetwork.js';
import type { PeerNetworkSettings, PeerTransport } from './networkParts.js';
import type { PeerSecurity } from './peerCredentials.js';
import { assertAllowedAddress, makeChannelCredentials } from './peerCredentials.js';
import { PeerDialer } from './peerDialer.js';
import { PeerListener } from './peerListener.js';
import { SocketMeter } from './socketMeter.js';

export interface PeerNetworkOptions extends Omit<PeerNetworkSettings, 'isEncrypted'> {
	/** `ip:port` to listen on. With port 0, `self.peersAddress` is set to the address that was bound. */
	readonly listenAddress: string;
	readonly security: PeerSecurity;
}

/** Starts listening and connecting to peers. Rejects if the address cannot be bound or is not allowed. */
export async function createPeerNetwork(options: PeerNetworkOptions): Promise<GrpcPeerNetwork> {
	const { listenAddress, security, fleet } = options;
	assertAllowedAddress(security, listenAddress);
	const meter = new SocketMeter();
	const onSocket = meter.track.bind(meter);
	// The listener needs a stream handler before the network exists, and the network needs the bound address.
	const holder: { network?: GrpcPeerNetwork } = {};
	const listener = await PeerListener.listen({
		address: listenAddress,
		fleet,
		security,
		onSocket,
		onStream: (stream) => holder.network?.accept(stream),
	});
	const peersAddress = listenAddress.endsWith(':0') ? listener.readAddress() : options.self.peersAddress;
	const settings = {
		...options,
		self: { ...options.self, peersAddress },
		isEncrypted: security.kind === 'tls',
	};
	const network = new GrpcPeerNetwork(settings, createTransport(options, listener, meter));
	holder.network = network;
	return network;
}

function createTransport(
	options: PeerNetworkOptions,
	listener: PeerListener,
	meter: SocketMeter,
): PeerTransport {
	const dialer = new PeerDialer({
		credentials: makeChannelCredentials(options.security, options.fleet),
		serverName: options.security.kind === 'tls' ? options.fleet : undefined,
		onSocket: meter.track.bind(meter),
	});
	return {
		meter,
		open: (address) => dialer.open(address),
		dispose: () => {
			dialer.dispose();
			listener.dispose();
		},
	};
}
