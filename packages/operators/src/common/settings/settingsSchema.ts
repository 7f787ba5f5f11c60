/** Schema of the settings file, with defaults. Durations are in ms, sizes in bytes. */
import type { RouterSettings } from '@papayawell/core';
import { PlacementPolicyKind } from '@papayawell/core';
import { z } from 'zod';

const MAX_PORT = 65_535;
const MS_PER_SECOND = 1000;
const MS_PER_HOUR = 3_600_000;
const KIB = 1024;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'expected letters, digits and . _ - only');
const address = z.string().refine(isAddress, 'expected ip:port, such as 10.0.0.5:8080 or [::1]:8080');
const origin = z.string().refine(isHttpUrl, 'expected a URL that starts with http:// or https://');
const positive = z.int().positive();
const filePath = z.string().min(1);

/** Splits `ip:port`; returns undefined if the text is malformed. */
export function splitAddress(text: string): { readonly ip: string; readonly port: number } | undefined {
	const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
	if (match === null) {
		return undefined;
	}
	const [, ipv6, ipv4, portText] = match;
	const port = Number(portText);
	const isIp = ipv6 === undefined ? z.ipv4().safeParse(ipv4).success : z.ipv6().safeParse(ipv6).success;
	return isIp && port >= 1 && port <= MAX_PORT ? { ip: ipv6 ?? ipv4 ?? '', port } : undefined;
}

function isAddress(text: string): boolean {
	return splitAddress(text) !== undefined;
}

function isHttpUrl(text: string): boolean {
	return URL.canParse(text) && /^https?:\/\//.test(text);
}

const callers = z.strictObject({
	address,
	maxHeadBytes: positive.default(16 * KIB),
	maxBodyBytes: positive.default(4 * KIB * KIB),
	headTimeoutMs: positive.default(10 * MS_PER_SECOND),
	bodyTimeoutMs: positive.default(30 * MS_PER_SECOND),
	maxConnections: positive.default(4096),
	entriesTtlMs: positive.default(10 * MS_PER_SECOND),
	deadlineMs: positive.default(120 * MS_PER_SECOND),
	maxQueued: positive.default(1024),
	maxQueueMs: positive.default(5 * MS_PER_SECOND),
});

const admin = z.strictObject({
	address,
	tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256: 64 hexadecimal digits in lower case'),
});

const tls = z.strictObject({ certificateFile: filePath, keyFile: filePath, authorityFile: filePath });

const peers = z.strictObject({
	address,
	fleet: name,
	tls: tls.optional(),
	allowPlainLoopback: z.boolean().default(false),
	bytesPerSecond: positive.default(5000),
});

const platform = z.strictObject({
	keyValueOrigins: z.array(origin).min(1),
	keyPrefix: z
		.string()
		.regex(/^[A-Za-z0-9._/-]+$/, 'expected letters, digits and . _ / - only')
		.optional(),
	keyValueCallsPerSecond: positive.default(100),
	instanceListUrl: origin,
	instanceListPollMs: positive.default(MS_PER_SECOND),
	watchersPerZone: positive.default(2),
});

const placement = z.strictObject({
	policy: z.enum(PlacementPolicyKind).default(PlacementPolicyKind.Adaptive),
	reportIntervalMs: positive.default(500),
});

const outcomes = z.strictObject({
	keyRetentionMs: positive.default(24 * MS_PER_HOUR),
	retryShare: z.number().min(0).max(1).default(0.1),
	quarantineMs: positive.default(600 * MS_PER_SECOND),
});

export const settingsSchema = z.strictObject({
	instance: name,
	region: name,
	zone: name,
	callers,
	admin,
	peers,
	platform,
	placement: placement.prefault({}),
	outcomes: outcomes.prefault({}),
	drainLimitMs: positive.default(60 * MS_PER_SECOND),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** Converts the validated file to the settings of the router and fills in the default key prefix. */
export function toRouterSettings(parsed: z.output<typeof settingsSchema>): RouterSettings {
	const keyPrefix = parsed.platform.keyPrefix ?? `papayawell/${parsed.peers.fleet}`;
	return {
		...parsed,
		peers: { ...parsed.peers, tls: parsed.peers.tls },
		platform: { ...parsed.platform, keyPrefix },
	};
}
