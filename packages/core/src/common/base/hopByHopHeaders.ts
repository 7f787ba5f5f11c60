/** Hop-by-hop HTTP headers: they apply to one connection and are not forwarded. */

/** The headers of RFC 9110, section 7.6.1, and the older ones that proxies still remove. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** Returns the header names that a `Connection` header lists, in lower case; these are hop-by-hop too. */
export function parseConnectionHeader(value: string | undefined): ReadonlySet<string> {
	return new Set(value?.split(',').map((name) => name.trim().toLowerCase()));
}
