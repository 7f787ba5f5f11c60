import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { fetchDocument } from '../../src/node/documentFetch.js';
import { TargetConnection } from '../../src/node/targetConnection.js';

const TIMEOUT_MS = 10_000;
const MAX_REFUSAL_MS = 5000;

describe('fetchDocument', () => {
	let server: Server;
	const sockets = new Set<Socket>();

	afterEach(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
		sockets.clear();
	});

	/** Starts a server that answers a request with these bytes, and repeats the last ones without end. */
	async function connectTo(head: string, repeated: string): Promise<TargetConnection> {
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			const write = (): void => {
				while (repeated !== '' && !socket.destroyed && socket.write(repeated)) {
					// Fills the buffer of the socket.
				}
			};
			socket.on('drain', write);
			socket.once('data', () => {
				socket.write(head);
				write();
			});
		});
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
		const { port } = server.address() as AddressInfo;
		const options = {
			host: '127.0.0.1',
			port,
			connectTimeoutMs: 500,
			findEndEvidence: () => Promise.resolve('newConnection' as const),
			onClosed: () => undefined,
		};
		return new TargetConnection(options, 4000);
	}

	function fetch(connection: TargetConnection, failures: string[]): Promise<string | undefined> {
		return fetchDocument(connection, 'a.example', '/list', TIMEOUT_MS, (detail) => failures.push(detail));
	}

	it('returns the text of a document', async () => {
		const failures: string[] = [];
		const connection = await connectTo('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext', '');
		expect(await fetch(connection, failures)).to.equal('text');
		expect(failures).to.deep.equal([]);
	});

	// Guards against a document that is read as the answer to the next request, after a copy of an earlier answer.
	it('does not keep a connection on which a refusal has come in place of the document', async () => {
		const failures: string[] = [];
		const connection = await connectTo('HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n', '');
		expect(await fetch(connection, failures)).to.equal(undefined);
		expect(connection.isIdle(performance.now())).to.equal(false);
		expect(failures).to.deep.equal(['HTTP 503']);
	});

	// Guards against an engine that fills the memory of the gateway with a list that never ends.
	it('gives up a document without end', async () => {
		const failures: string[] = [];
		const connection = await connectTo('HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(65_536));
		const startedAtMs = performance.now();
		expect(await fetch(connection, failures)).to.equal(undefined);
		expect(performance.now() - startedAtMs).to.be.below(MAX_REFUSAL_MS);
		expect(failures).to.deep.equal(['the document is longer than 8388608 bytes']);
	});
});
