/** HTTP server of the admin API. It listens on the admin address only; every path requires the token. */
import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Disposable } from '@papayawell/core';
import type { AdminApi } from './adminApi.js';
import type { AdminResponse } from './adminRoutes.js';
import { makeProblemResponse, handleAdminRequest } from './adminRoutes.js';
import { OperatorToken } from './operatorToken.js';

const MAX_HEAD_BYTES = 8192;
const HEAD_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS = 64;

export interface AdminServerOptions {
	/** `ip:port`; port 0 selects a free one. */
	readonly address: string;
	/** SHA-256 of the bearer token, in hexadecimal. */
	readonly tokenHash: string;
	readonly api: AdminApi;
	/** Logs errors of handlers. */
	readonly log?: (message: string) => void;
}

export interface AdminServer extends Disposable {
	/** The bound `ip:port`. */
	readonly address: string;
}

/** Starts the admin server; rejects if the address can't be bound. */
export async function createAdminServer(options: AdminServerOptions): Promise<AdminServer> {
	const token = new OperatorToken(options.tokenHash);
	const server = createServer(
		{ maxHeaderSize: MAX_HEAD_BYTES, headersTimeout: HEAD_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
		(request, response) => {
			void handleRequest(options, token, request, response);
		},
	);
	server.maxConnections = MAX_CONNECTIONS;
	await listenOn(server, options.address);
	return {
		address: readAddress(server),
		dispose: () => {
			closeServer(server);
		},
	};
}

async function handleRequest(
	options: AdminServerOptions,
	token: OperatorToken,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	request.resume();
	if (!token.isAuthorized(request.headers.authorization)) {
		response.setHeader('www-authenticate', 'Bearer');
		sendResponse(response, makeProblemResponse(401, 'The operators\u2019 token is missing or wrong'));
		return;
	}
	try {
		const [path = '/'] = (request.url ?? '/').split('?');
		sendResponse(response, await handleAdminRequest(options.api, request.method ?? 'GET', path));
	} catch (error) {
		options.log?.(`Admin request failed: ${String(error)}.`);
		sendResponse(response, makeProblemResponse(500, 'The router failed to answer'));
	}
}

function sendResponse(response: ServerResponse, answer: AdminResponse): void {
	if (answer.allow !== undefined) {
		response.setHeader('allow', answer.allow);
	}
	response.writeHead(answer.status, { 'content-type': answer.contentType, 'cache-control': 'no-store' });
	response.end(answer.body);
}

async function listenOn(server: Server, address: string): Promise<void> {
	const index = address.lastIndexOf(':');
	const host = address.slice(0, index).replace(/^\[|\]$/g, '');
	server.listen(Number(address.slice(index + 1)), host);
	await once(server, 'listening');
}

function readAddress(server: Server): string {
	const { address, family, port } = server.address() as AddressInfo;
	return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}

function closeServer(server: Server): void {
	server.close();
	server.closeAllConnections();
}
