/** Opens streams to other routers. Each stream has its own gRPC client, and so its own connection. */
import { AsyncLocalStorage } from 'node:async_hooks';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import type { ChannelCredentials } from '@grpc/grpc-js';
import { Client, Metadata } from '@grpc/grpc-js';
import type { Disposable } from '@papayawell/core';
import { toDisposable } from '@papayawell/core';
import { MAX_FRAME_BYTES } from './frameCodec.js';
import { EXCHANGE_PATH, FrameStream, toBuffer } from './frameStream.js';

/** Diagnostics channel on which Node.js publishes new client sockets; the async context identifies the dialer. */
const CLIENT_SOCKET_CHANNEL = 'net.client.socket';

export interface DialOptions {
	readonly credentials: ChannelCredentials;
	/** With TLS, the name that the server's certificate must contain. */
	readonly serverName: string | undefined;
	readonly onSocket: (socket: Socket) => void;
}

export class PeerDialer implements Disposable {
	private readonly context = new AsyncLocalStorage<true>();
	private readonly subscription: Disposable;

	constructor(private readonly options: DialOptions) {
		const onMessage = (message: unknown): void => {
			if (this.context.getStore() === true) {
				options.onSocket((message as { socket: Socket }).socket);
			}
		};
		subscribe(CLIENT_SOCKET_CHANNEL, onMessage);
		this.subscription = toDisposable(() => unsubscribe(CLIENT_SOCKET_CHANNEL, onMessage));
	}

	/** Opens a stream. If the connection fails, the stream ends. */
	public open(address: string): FrameStream {
		return this.context.run(true, () => this.openStream(address));
	}

	public dispose(): void {
		this.subscription.dispose();
	}

	private openStream(address: string): FrameStream {
		const { credentials, serverName } = this.options;
		const client = new Client(address, credentials, {
			...(serverName !== undefined && { 'grpc.ssl_target_name_override': serverName }),
			'grpc.use_local_subchannel_pool': 1,
			'grpc.enable_retries': 0,
			'grpc.enable_http_proxy': 0,
			'grpc.service_config_disable_resolution': 1,
			'grpc.max_receive_message_length': MAX_FRAME_BYTES,
		});
		const call = client.makeBidiStreamRequest<Uint8Array, Buffer>(
			EXCHANGE_PATH,
			toBuffer,
			(bytes) => bytes,
			new Metadata(),
		);
		return new FrameStream(call, true, () => {
			client.close();
		});
	}
}
