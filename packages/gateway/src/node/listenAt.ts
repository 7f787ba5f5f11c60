import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import type { Server } from 'node:net';
import { splitAddress } from '../common/addresses.js';

export interface ListenOptions {
	/** IP address and port. */
	readonly address: string;
	/** Length of the accept queue; undefined: the runtime's default. */
	readonly backlog?: number;
	/** Called with each error of the listening socket, such as that of an accept; it goes on listening. */
	readonly onError: (error: Error) => void;
}

/** Starts to listen at an address. Rejects if the address can't be bound. */
export async function listenAt(server: Server, { address, backlog, onError }: ListenOptions): Promise<void> {
	server.listen({ ...splitAddress(address), ...(backlog === undefined ? {} : { backlog }) });
	await once(server, 'listening');
	server.on('error', onError);
}

/** Binds a socket for datagrams. Rejects if the address can't be bound. */
export async function bindAt(socket: Socket, { address, onError }: ListenOptions): Promise<void> {
	const { host, port } = splitAddress(address);
	socket.bind(port, host);
	await once(socket, 'listening');
	socket.on('error', onError);
}
