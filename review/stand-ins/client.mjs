/** A client that follows the protocol pages: one request at a time on a channel that it keeps. */
import { randomBytes } from 'node:crypto';
import { Agent, get, request } from 'node:http';

export function makeId() {
	return randomBytes(8).toString('hex');
}

export class Client {
	/** @param key API key of the client's tenant */
	constructor({ host, key }) {
		this.host = host;
		this.key = key;
		this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
	}

	/**
	 * Sends one request. Resolves with the status (undefined if the channel closed without an answer), the body, whether
	 * the answer is complete, and whether the channel was kept from an earlier request.
	 */
	send(address, { id = makeId(), method = 'POST', path, deadlineMs, headers = {}, body, onResponse }) {
		const [host, port] = address.split(':');
		return new Promise((resolve) => {
			const sentAtMs = Date.now();
			let isReused = false;
			const finish = (result) => {
				clearTimeout(timer);
				resolve({ id, isReused, sentAtMs, endedAtMs: Date.now(), isGivenUp, ...result });
			};
			let isGivenUp = false;
			const call = request(
				{
					agent: this.agent,
					host,
					port: Number(port),
					path,
					method,
					headers: {
						Host: this.host,
						'Papayawell-Attempt-Id': id,
						'Papayawell-Deadline-Ms': String(deadlineMs),
						Authorization: `Bearer ${this.key}`,
						...headers,
					},
				},
				(response) => {
					onResponse?.(response);
					let text = '';
					response.on('data', (chunk) => {
						text += chunk.toString('latin1');
					});
					response.on('error', () => undefined);
					response.on('close', () => {
						const { statusCode: status, complete: isComplete, headers: received } = response;
						finish({ status, isComplete, body: text, headers: received });
					});
				},
			);
			const timer = setTimeout(() => {
				isGivenUp = true;
				call.destroy();
			}, deadlineMs);
			call.on('socket', () => {
				isReused = call.reusedSocket;
			});
			call.on('error', (error) =>
				finish({ status: undefined, isComplete: false, body: '', error: error.code }),
			);
			call.end(body);
		});
	}

	close() {
		this.agent.destroy();
	}
}

/** Asks a machine where to connect; undefined if it does not answer. */
export function lookUp(directory, host) {
	const [ip, port] = directory.split(':');
	return new Promise((resolve) => {
		const call = get(
			{
				host: ip,
				port: Number(port),
				path: `/v1/lookup?name=${host}&region=region&zone=zone-a`,
				agent: false,
				timeout: 1000,
			},
			(response) => {
				let text = '';
				response.on('data', (chunk) => {
					text += chunk.toString();
				});
				response.on('error', () => resolve(undefined));
				response.on('end', () => resolve(response.statusCode === 200 ? JSON.parse(text) : undefined));
			},
		);
		call.on('timeout', () => call.destroy());
		call.on('error', () => resolve(undefined));
	});
}

/** Whether a machine counts as ready. */
export function isReady(address) {
	const [ip, port] = address.split(':');
	return new Promise((resolve) => {
		const call = get(
			{ host: ip, port: Number(port), path: '/v1/readyz', agent: false, timeout: 1000 },
			(response) => {
				response.resume();
				resolve(response.statusCode === 200);
			},
		);
		call.on('timeout', () => call.destroy());
		call.on('error', () => resolve(false));
	});
}
