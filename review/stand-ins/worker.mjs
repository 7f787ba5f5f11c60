/** A worker that follows the protocol pages, on raw connections, so that a test can spoil its answers. */
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

export class Worker {
	sockets = new Set();
	/** @param handle called with each request and a `reply`; it decides when and what to answer */
	constructor({ id, host, slots = 64, service, handle }) {
		Object.assign(this, { id, host, slots, service, handle });
		this.server = createServer((socket) => this.serve(socket));
	}

	async listen() {
		await new Promise((resolve) => this.server.listen(0, this.host, resolve));
		this.address = `${this.host}:${this.server.address().port}`;
	}

	/** The entry by which the worker registers itself in the store. */
	describeEntry(state = 'ready') {
		this.born ??= Date.now();
		const { address, born, service, slots } = this;
		const engine = { phase: 'unified', models: [{ name: 'm', version: 1, adapters: [] }] };
		return {
			service,
			addr: address,
			zone: 'zone-a',
			version: 'v1',
			slots,
			state,
			'cold-left-ms': 0,
			seq: 1,
			born,
			...engine,
		};
	}

	close() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	serve(socket) {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => this.sockets.delete(socket));
		let pending = Buffer.alloc(0);
		socket.on('data', (chunk) => {
			pending = Buffer.concat([pending, chunk]);
			for (;;) {
				// An empty line between two requests is ignored.
				while (pending[0] === 0x0d && pending[1] === 0x0a) {
					pending = pending.subarray(2);
				}
				const end = pending.indexOf(HEAD_END);
				if (end < 0) {
					return;
				}
				const [line, ...lines] = pending.toString('latin1', 0, end).split('\r\n');
				const headers = Object.fromEntries(
					lines.map((text) => {
						const colon = text.indexOf(':');
						return [text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim()];
					}),
				);
				const length = Number(headers['content-length'] ?? 0);
				const total = end + HEAD_END.length + length;
				if (pending.length < total) {
					return;
				}
				pending = pending.subarray(total);
				const [method, path] = line.split(' ');
				this.answer({ method, path, headers, socket });
			}
		});
	}

	answer(request) {
		const { headers, socket } = request;
		const id = headers['papayawell-attempt-id'];
		if (id === undefined) {
			// A call for the worker's state: this worker knows none of these.
			socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
			return;
		}
		if (headers['papayawell-expect-instance'] !== this.id) {
			socket.write(
				`HTTP/1.1 421 Misdirected Request\r\nPapayawell-Attempt-Id: ${id}\r\nPapayawell-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
			);
			return;
		}
		this.handle({ ...request, id, worker: this });
	}
}

/** Builds the head of an answer. */
export function buildHead(status, id, worker, fields) {
	const headers = {
		'Papayawell-Attempt-Id': id,
		'Papayawell-Server-Stamp': `3e1b.07.5a2.600.0.${worker.id}`,
		...fields,
	};
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
	return `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}${HEAD_END}`;
}

/** Sends a stream of events in chunks; stops when the connection closes. Calls `onEnd` with whether it was complete. */
export function sendStream({ socket, id, worker }, events, intervalMs, onEnd = () => undefined) {
	socket.write(
		buildHead('200 OK', id, worker, {
			'Content-Type': 'text/event-stream',
			'Transfer-Encoding': 'chunked',
		}),
	);
	let next = 1;
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
			onEnd(false);
			return;
		}
		const event = `id: ${next}\ndata: ${id} ${next}\n\n`;
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		next += 1;
		if (next > events) {
			clearInterval(timer);
			socket.write('0\r\n\r\n');
			onEnd(true);
		}
	}, intervalMs);
}
