/** Routes of the admin API. */
import type { AdminApi } from './adminApi.js';

const JSON_TYPE = 'application/json';
const TEXT_TYPE = 'text/plain; charset=utf-8';
const QUARANTINE_PATH = '/admin/v1/quarantine';

export interface AdminResponse {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
	/** Value of the `allow` header of a 405. */
	readonly allow?: string;
}

type Handler = (api: AdminApi) => AdminResponse | Promise<AdminResponse>;
type Handlers = Readonly<Record<string, Handler>>;

const routes = new Map<string, Handlers>([
	['/health', { GET: () => makeTextResponse(200, 'ok\n') }],
	['/ready', { GET: handleReadiness }],
	['/metrics', { GET: handleMetrics }],
	['/admin/v1/state', { GET: (api) => makeJsonResponse(200, api.readState()) }],
	['/admin/v1/status', { GET: async (api) => makeJsonResponse(200, await api.readStatus()) }],
	['/admin/v1/configuration', { GET: (api) => makeJsonResponse(200, api.readConfiguration()) }],
	['/admin/v1/drain', { POST: handleDrain }],
	['/admin/v1/orders', { GET: (api) => makeJsonResponse(200, api.readOrders?.() ?? []) }],
	[QUARANTINE_PATH, { GET: (api) => makeJsonResponse(200, api.listQuarantine()) }],
]);

/** Handles an authorized request. */
export async function handleAdminRequest(
	api: AdminApi,
	method: string,
	path: string,
): Promise<AdminResponse> {
	const handlers = findHandlers(path);
	if (handlers === undefined) {
		return makeProblemResponse(404, 'Not found');
	}
	const handler = handlers[method];
	if (handler === undefined) {
		return { ...makeProblemResponse(405, 'Method not allowed'), allow: Object.keys(handlers).join(', ') };
	}
	return handler(api);
}

/** Makes a response with a problem document (RFC 9457). */
export function makeProblemResponse(status: number, title: string): AdminResponse {
	const body = JSON.stringify({ type: 'about:blank', title, status });
	return { status, contentType: 'application/problem+json', body: `${body}\n` };
}

function findHandlers(path: string): Handlers | undefined {
	const fingerprint = path.startsWith(`${QUARANTINE_PATH}/`) ? path.slice(QUARANTINE_PATH.length + 1) : '';
	if (fingerprint !== '') {
		return { DELETE: (api) => handleQuarantineRelease(api, fingerprint) };
	}
	return routes.get(path);
}

function handleReadiness(api: AdminApi): AdminResponse {
	const readiness = api.readReadiness();
	return makeJsonResponse(readiness.isReady ? 200 : 503, readiness);
}

async function handleMetrics(api: AdminApi): Promise<AdminResponse> {
	return { status: 200, contentType: api.registry.contentType, body: await api.registry.metrics() };
}

function handleDrain(api: AdminApi): AdminResponse {
	api.drain();
	return makeJsonResponse(202, { isDraining: true });
}

function handleQuarantineRelease(api: AdminApi, fingerprint: string): AdminResponse {
	if (!api.releaseQuarantine(fingerprint)) {
		return makeProblemResponse(404, 'Fingerprint is not quarantined');
	}
	return makeJsonResponse(200, { fingerprint, released: true });
}

function makeJsonResponse(status: number, value: unknown): AdminResponse {
	return { status, contentType: JSON_TYPE, body: `${JSON.stringify(value)}\n` };
}

function makeTextResponse(status: number, body: string): AdminResponse {
	return { status, contentType: TEXT_TYPE, body };
}
