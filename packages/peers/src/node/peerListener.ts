/**
 * Accepts streams from other routers. It owns the listening socket and injects connections into the gRPC server,
 * because bytes are counted at the sockets.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server as NetServer, Socket } from 'node:net';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import { Server } from '@grpc/grpc-js';
import type { Disposable } from '@papayawell/core';
import { EXCHANGE_PATH, FrameStream, toBuffer } from './frameStream.js';
import { MAX_FRAME_BYTES } from './frameCodec.js';
import type { PeerSecurity } from './peerCredentials.js';
import { isFleetCertificate, makeServerCredentials } from './peerCredentials.js';

const MAX_CONNECTIONS = 1_024;

/** Concurrent streams on one connection. A router opens one. */
const MAX_STREAMS = 4;

export interface ListenOptions {
	/** `ip:port`; with port 0 the operating system assigns a free port. */
	readonly address: string;
	readonly fleet: string;
	readonly security: PeerSecurity;
	readonly onSocket: (socket: Socket) => void;
	readonly onStream: (stream: FrameStream) => void;
}

export class PeerListener implements Disposable {
	private constructor(
		private readonly listener: NetServer,
		private readonly server: Server,
	) {}

	/** Starts listening. Rejects if the address cannot be bound. */
	public static async listen(options: ListenOptions): Promise<PeerListener> {
		const server = createGrpcServer(options);
		const injector = server.createConnectionInjector(makeServerCredentials(options.security));
		const listener = createServer({ noDelay: true }, (socket) => {
			socket.on('error', () => socket.destroy());
			options.onSocket(socket);
			injector.injectConnection(socket);
		});
		listener.maxConnections = MAX_CONNECTIONS;
		await startListening(listener, options.address);
		return new PeerListener(listener, server);
	}

	/** Returns the bound address as `ip:port`. */
	public readAddress(): string {
		const { address, family, port } = this.listener.address() as AddressInfo;
		return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
	}

	public dispose(): void {
		this.listener.close();
		this.server.forceShutdown();
	}
}

function createGrpcServer(options: ListenOptions): Server {
	const server = new Server({
		'grpc.max_receive_message_length': MAX_FRAME_BYTES,
		'grpc.max_concurrent_streams': MAX_STREAMS,
	});
	const method = {
		path: EXCHANGE_PATH,
		requestStream: true,
		responseStream: true,
		requestSerialize: toBuffer,
		requestDeserialize: (bytes: Buffer) => bytes,
		responseSerialize: toBuffer,
		responseDeserialize: (bytes: Buffer) => bytes,
	} as const;
	server.addService(
		{ exchange: method },
		{
			exchange: (call: ServerDuplexStream<Buffer, Uint8Array>) => {
				acceptCall(call, options);
			},
		},
	);
	return server;
}

function acceptCall(call: ServerDuplexStream<Buffer, Uint8Array>, options: ListenOptions): void {
	const isAuthorized =
		options.security.kind === 'plainLoopback' ||
		isFleetCertificate(call.getAuthContext().sslPeerCertificate, options.fleet);
	if (!isAuthorized) {
		call.end();
		return;
	}
	options.onStream(new FrameStream(call, false, () => undefined));
}

function startListening(listener: NetServer, address: string): Promise<void> {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
	return new Promise((resolve, reject) => {
		listener.once('error', reject);
		listener.listen(Number(address.slice(separator + 1)), host, () => {
			listener.off('error', reject);
			resolve();
		});
	});
}
