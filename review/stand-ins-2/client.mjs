/** A client, as PROTOCOL.md describes it: it sends one request at a time on a channel that it keeps. */
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';

export function makeId() {
	return randomBytes(8).toString('hex');
}

/** Calls one of the system's own interfaces. */
export function get(port, path) {
	return new Promise((resolve) => {
		const sent = request({ host: '127.0.0.1', port, path, agent: false, timeout: 1000 }, (response) => {
			let text = '';
			response.on('data', (part) => (text += part));
			response.on('end', () => resolve({ status: response.statusCode, text }));
			response.on('error', () => resolve({ status: undefined, text: '' }));
		});
		sent.on('timeout', () => sent.destroy());
		sent.on('error', () => resolve({ status: undefined, text: '' }));
		sent.end();
	});
}

/** Sends requests to one gateway over one kept channel. */
export class Client {
	agent = new Agent({ keepAlive: true, maxSockets: 1 });

	constructor(deployment, port, host, apiKey) {
		this.deployment = deployment;
		this.port = port;
		this.host = host;
		this.apiKey = apiKey;
	}

	/** @returns what the client has seen of the answer; `isComplete` tells that it ended as its framing says */
	send(path, { method = 'POST', plan = {}, deadlineMs = 15_000, id = makeId(), headers = {}, onPiece } = {}) {
		const { deployment } = this;
		const sentAtMs = deployment.nowMs;
		const body = method === 'GET' ? '' : JSON.stringify(plan);
		return new Promise((resolve) => {
			const seen = { id, path, status: undefined, headers: {}, text: '', isComplete: false, sentAtMs };
			let isDone = false;
			const finish = (how) => {
				if (!isDone) {
					isDone = true;
					clearTimeout(timer);
					seen.endedAtMs = deployment.nowMs;
					const pieces = (seen.text.match(/^id: /gm) ?? []).length;
					const what = `${seen.text.length} bytes, ${pieces} pieces${/ last\n/.test(seen.text) ? ' with the last one' : ''}`;
					deployment.note(
						`client: ${id} ${path} to port ${this.port}: ${how}, status ${seen.status}, ${what}`,
					);
					resolve(seen);
				}
			};
			const sent = request(
				{
					agent: this.agent,
					host: '127.0.0.1',
					port: this.port,
					path,
					method,
					headers: {
						Host: this.host,
						'Papayawell-Attempt-Id': id,
						'Papayawell-Deadline-Ms': String(deadlineMs),
						Authorization: `Bearer ${this.apiKey}`,
						...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
						...headers,
					},
				},
				(response) => {
					seen.status = response.statusCode;
					seen.headers = response.headers;
					response.on('data', (part) => {
						seen.text += part;
						onPiece?.(seen);
					});
					response.on('end', () => {
						seen.isComplete = response.complete;
						finish(response.complete ? 'whole answer' : 'answer broken off');
					});
					response.on('error', () => finish('answer broken off'));
				},
			);
			const timer = setTimeout(() => {
				sent.destroy();
				finish('the client gave up');
			}, deadlineMs);
			sent.on('error', (error) => finish(`channel ended (${error.code ?? error.message})`));
			sent.end(body);
		});
	}

	close() {
		this.agent.destroy();
	}
}
