/** Encodes all that an instance knows of the engines' prefix caches, for a peer that knows less. */
import type { CachedLink } from './promptChain.js';
import type { TargetState } from './targetState.js';

/** Size of an encoded link: hash and token count, 32 bits each. */
const LINK_BYTES = 8;
const TOKENS_OFFSET = 4;

/** The shared parts that one engine has cached. */
export interface EngineCacheSnapshot {
	readonly target: string;
	/** Identifies the start of the engine; a restart empties its cache. */
	readonly startedAtMs: number;
	/** Least recently used first. */
	readonly links: readonly CachedLink[];
}

/** Engine id, engine start in epoch ms, and links in base64. */
type EncodedEngineCache = readonly [target: string, startedAtMs: number, links: string];

export function encodePrefixCacheSnapshot(targets: Iterable<TargetState>): string {
	const encoded: EncodedEngineCache[] = [];
	for (const { record, prefixCache } of targets) {
		const links = prefixCache.listShared();
		if (links.length > 0) {
			encoded.push([record.id, record.startedAtMs, encodeLinks(links)]);
		}
	}
	return JSON.stringify(encoded);
}

/** Returns undefined if the text is not a snapshot. */
export function decodePrefixCacheSnapshot(text: string): readonly EngineCacheSnapshot[] | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// The caller logs the failure.
		return undefined;
	}
	if (!Array.isArray(value) || !value.every(isEncodedEngineCache)) {
		return undefined;
	}
	return value.map(([target, startedAtMs, links]) => ({ target, startedAtMs, links: decodeLinks(links) }));
}

function encodeLinks(links: readonly CachedLink[]): string {
	const bytes = Buffer.alloc(links.length * LINK_BYTES);
	for (const [index, { hash, tokens }] of links.entries()) {
		bytes.writeUInt32LE(hash >>> 0, index * LINK_BYTES);
		bytes.writeUInt32LE(tokens, index * LINK_BYTES + TOKENS_OFFSET);
	}
	return bytes.toString('base64');
}

function decodeLinks(text: string): readonly CachedLink[] {
	const bytes = Buffer.from(text, 'base64');
	return Array.from({ length: Math.floor(bytes.length / LINK_BYTES) }, (_, index) => ({
		hash: bytes.readUInt32LE(index * LINK_BYTES),
		tokens: bytes.readUInt32LE(index * LINK_BYTES + TOKENS_OFFSET),
	}));
}

function isEncodedEngineCache(value: unknown): value is EncodedEngineCache {
	return (
		Array.isArray(value) &&
		typeof value[0] === 'string' &&
		typeof value[1] === 'number' &&
		typeof value[2] === 'string'
	);
}
