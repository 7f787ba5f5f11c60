/** Counts the bytes at the sockets of one router's streams, including encryption and framing. */
import type { Socket } from 'node:net';

export interface SocketBytes {
	readonly sent: number;
	readonly received: number;
}

/** Sums the byte counters of all tracked sockets, including closed ones. */
export class SocketMeter {
	private readonly sockets = new Set<Socket>();
	private closed: SocketBytes = { sent: 0, received: 0 };

	public track(socket: Socket): void {
		this.sockets.add(socket);
		socket.once('close', () => {
			this.sockets.delete(socket);
			this.closed = addBytes(this.closed, socket);
		});
	}

	public read(): SocketBytes {
		return [...this.sockets].reduce(addBytes, this.closed);
	}

	/** Destroys all connections without a graceful shutdown. */
	public closeAll(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}

function addBytes(sum: SocketBytes, socket: Socket): SocketBytes {
	return { sent: sum.sent + socket.bytesWritten, received: sum.received + socket.bytesRead };
}
