import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { ChannelCredentials } from '@grpc/grpc-js';
import { expect } from 'chai';
import { PeerDialer } from '../../src/node/peerDialer.js';

/** Time within which a stream that was ended is closed, whatever its connection does. */
const MAX_END_MS = 5000;

describe('PeerDialer', () => {
	let server: Server;
	const sockets = new Set<Socket>();

	afterEach(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
		sockets.clear();
	});

	// Guards against streams that keep their channel, and the process, after they were ended while connecting.
	it('a stream that is ended while its connection is not established closes soon', async () => {
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
		});
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
		const { port } = server.address() as AddressInfo;
		const dialer = new PeerDialer({
			credentials: ChannelCredentials.createInsecure(),
			serverName: undefined,
			onSocket: () => undefined,
		});
		const stream = dialer.open(`127.0.0.1:${port}`);
		const ended = new Promise<string>((resolve) => {
			stream.start({
				onFrame: () => undefined,
				onEnd: () => {
					resolve('ended');
				},
			});
		});
		const isLate = new Promise<string>((resolve) => {
			setTimeout(resolve, MAX_END_MS, 'late').unref();
		});
		stream.end();
		expect(await Promise.race([ended, isLate])).to.equal('ended');
		dialer.dispose();
	});
});
