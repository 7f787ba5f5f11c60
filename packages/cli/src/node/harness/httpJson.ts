/** HTTP client of the harness for the JSON endpoints of stand-ins and admin ports. */
import { request } from 'undici';

const TIMEOUT_MS = 5_000;

export interface JsonResponse {
	readonly status: number;
	readonly body: unknown;
}

/** Sends a GET, or a POST if there is a body. Rejects if the response does not arrive within the time-out. */
export async function callJson(url: string, body?: unknown, token?: string): Promise<JsonResponse> {
	const response = await request(url, {
		method: body === undefined ? 'GET' : 'POST',
		headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
		...(body === undefined ? {} : { body: JSON.stringify(body) }),
		signal: AbortSignal.timeout(TIMEOUT_MS),
	});
	const text = await response.body.text();
	return { status: response.statusCode, body: parseJson(text) };
}

/** Fetches a text document, such as metrics. */
export async function fetchText(url: string, token?: string): Promise<string> {
	const response = await request(url, {
		headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
		signal: AbortSignal.timeout(TIMEOUT_MS),
	});
	return response.body.text();
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
}
