/** Helpers for the HTTP server of the key-value stand-in. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CallAnswer } from './keyValueCalls.js';

export function readPort(server: Server): number {
	return (server.address() as AddressInfo).port;
}

export function sleep(delayMs: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, delayMs).unref();
	});
}

export async function closeServer(server: Server | undefined): Promise<void> {
	if (!server) {
		return;
	}
	await new Promise<void>((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

export async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}
	return Buffer.concat(chunks).toString('utf8');
}

export function sendAnswer(response: ServerResponse, answer: CallAnswer): void {
	const text = JSON.stringify(answer.body);
	response.writeHead(answer.status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	response.end(text);
}
