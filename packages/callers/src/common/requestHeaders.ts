/** Parses the headers of a caller's request and selects those that are forwarded to the target. */
import { HOP_BY_HOP_HEADERS, parseConnectionHeader } from '@papayawell/core';

/** Headers that are not forwarded: hop-by-hop headers and those that the router consumes or sets itself. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
	...HOP_BY_HOP_HEADERS,
	'authorization',
	'content-length',
	'expect',
	'host',
	'papayawell-request-id',
	'papayawell-timeout-ms',
]);

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+)$/i;

/** Returns the headers to forward; those listed in the `Connection` header are hop-by-hop and removed as well. */
export function selectForwardedHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
	const connectionOptions = parseConnectionHeader(headers.connection?.toString());
	const forwarded: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || DROPPED_HEADERS.has(name) || connectionOptions.has(name)) {
			continue;
		}
		forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
	}
	return forwarded;
}

/** Returns the key from `Authorization: Bearer KEY`, or undefined if the value has another form. */
export function parseBearerKey(authorization: string | undefined): string | undefined {
	return authorization === undefined ? undefined : BEARER_PATTERN.exec(authorization)?.[1];
}

/** Parses a positive integer of ms and caps it at `limitMs`, the default; undefined if the value is malformed. */
export function parseTimeout(value: string | undefined, limitMs: number): number | undefined {
	if (value === undefined) {
		return limitMs;
	}
	if (!/^[1-9]\d{0,8}$/.test(value)) {
		return undefined;
	}
	return Math.min(Number(value), limitMs);
}
