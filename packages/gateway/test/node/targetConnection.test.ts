import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import type { ConnectionListener } from '../../src/node/targetConnection.js';
import { TargetConnection } from '../../src/node/targetConnection.js';

interface ReceivedResponse {
	readonly status: number | undefined;
	readonly body: string;
	readonly outcome: string;
}

describe('TargetConnection', () => {
	let server: Server;
	const sockets = new Set<Socket>();

	afterEach(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
		sockets.clear();
	});

	async function listen(handle: (socket: Socket) => void): Promise<number> {
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				handle(socket);
			});
		});
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
		return (server.address() as AddressInfo).port;
	}

	function connectTo(port: number, onClosed: () => void = () => undefined): TargetConnection {
		const findEndEvidence = (): Promise<'newConnection'> => Promise.resolve('newConnection');
		const options = { host: '127.0.0.1', port, connectTimeoutMs: 500, findEndEvidence, onClosed };
		return new TargetConnection(options, 4000);
	}

	function request(connection: TargetConnection, isAwaited = (): boolean => true): Promise<ReceivedResponse> {
		return new Promise((resolve) => {
			let status: number | undefined;
			let body = '';
			const listener: ConnectionListener = {
				onHead: (head) => {
					status = head.status;
				},
				onBody: (chunk) => {
					body += chunk.toString();
				},
				onEnd: () => {
					const isEnd = isAwaited();
					if (isEnd) {
						resolve({ status, body, outcome: 'whole' });
					}
					return isEnd;
				},
				onFailure: (failure) => {
					resolve({ status, body, outcome: failure });
				},
			};
			connection.send('GET', [Buffer.from('GET / HTTP/1.1\r\n\r\n')], () => true, listener);
		});
	}

	it('treats a response without a length as complete when the connection ends in order', async () => {
		const port = await listen((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'));
		const response = await request(connectTo(port));
		expect(response).to.deep.equal({ status: 200, body: 'all of it', outcome: 'whole' });
	});

	it('treats a response without a length as broken when the connection is reset', async () => {
		for (let round = 0; round < 20; round++) {
			const port = await listen((socket) => {
				socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy());
			});
			const response = await request(connectTo(port));
			server.close();
			expect(response.outcome).to.equal('broken');
		}
	});

	it('treats a response that ends before its length as broken', async () => {
		const port = await listen((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf'));
		expect((await request(connectTo(port))).outcome).to.equal('broken');
	});

	it('continues reading after the response to another request', async () => {
		const port = await listen((socket) => {
			socket.write(
				'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew',
			);
		});
		let answers = 0;
		const response = await request(connectTo(port), () => {
			answers += 1;
			return answers === 2;
		});
		expect(response.body).to.equal('oldnew');
		expect(response.outcome).to.equal('whole');
	});

	it('closes the connection when bytes follow a response', async () => {
		const port = await listen((socket) => {
			socket.write(
				'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra',
			);
		});
		let isClosed = false;
		const connection = connectTo(port, () => {
			isClosed = true;
		});
		expect((await request(connection)).outcome).to.equal('whole');
		expect(isClosed).to.equal(true);
	});

	it('closes an idle connection on which bytes arrive', async () => {
		const port = await listen((socket) => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			setTimeout(() => socket.write('HTTP/1.1 200 OK\r\n'), 30);
		});
		const closed = new Promise<void>((resolve) => {
			void request(connectTo(port, resolve));
		});
		await closed;
	});

	it('reports bytes that are not a response as malformed', async () => {
		const port = await listen((socket) => socket.write('garbage\r\n\r\n'));
		expect((await request(connectTo(port))).outcome).to.equal('malformed');
	});

	// Guards against the end of the whole process, with all other requests, when one response cannot be handled.
	it('fails only the request whose response cannot be handled', async () => {
		const port = await listen((socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'));
		const response = await request(connectTo(port), () => {
			throw new TypeError('the response cannot be handled');
		});
		expect(response.outcome).to.equal('malformed');
	});

	it('reports a refused connection as unreachable', async () => {
		const port = await listen(() => undefined);
		await new Promise((resolve) => server.close(resolve));
		expect((await request(connectTo(port))).outcome).to.equal('unreachable');
	});
});
