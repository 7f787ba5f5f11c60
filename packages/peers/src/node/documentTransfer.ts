/** Encodes documents as compressed chunks, in full or as a delta against a version that the receiver has. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';
import { MAX_VALUE_BYTES, hashTextToHex } from '@papayawell/core';
import type { Transfer } from '../common/configurationMessages.js';
import { applyDelta, computeDelta, isDelta } from '../common/documentDelta.js';

const deflate = promisify(deflateRaw);
const inflate = promisify<Buffer, { maxOutputLength: number }, Buffer>(inflateRaw);

const CHUNK_BYTES = 16_384;
/** Maximum compressed size of a document. */
const MAX_COMPRESSED_BYTES = MAX_VALUE_BYTES + CHUNK_BYTES;
/** A delta contains its lines as JSON strings, which escaping can double in size. */
const MAX_INFLATED_BYTES = 2 * MAX_VALUE_BYTES;

/** One version of the configuration document. */
export interface VersionedDocument {
	readonly version: number;
	readonly hash: string;
	readonly document: string;
}

export function makeVersionedDocument(version: number, document: string): VersionedDocument {
	return { version, document, hash: hashTextToHex(document) };
}

/** Compresses a document, or its delta against `base` if given, and splits it into chunks. */
export async function splitDocument(
	target: VersionedDocument,
	base: VersionedDocument | undefined,
): Promise<readonly Transfer[]> {
	const content =
		base === undefined ? target.document : JSON.stringify(computeDelta(base.document, target.document));
	const data = await deflate(content);
	const count = Math.max(1, Math.ceil(data.length / CHUNK_BYTES));
	return Array.from({ length: count }, (_, index) => ({
		version: target.version,
		hash: target.hash,
		baseVersion: base?.version ?? 0,
		index,
		isLast: index === count - 1,
		data: data.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES),
	}));
}

/** Reassembles a document from its chunks. */
export class DocumentAssembler {
	private readonly chunks: Uint8Array[] = [];
	private length = 0;
	private first: Transfer | undefined;

	/** Appends a chunk. Returns `broken` if it is out of order, of another document or over the size limit. */
	public add(transfer: Transfer): 'incomplete' | 'complete' | 'broken' {
		this.first ??= transfer;
		this.length += transfer.data.length;
		const isInOrder =
			transfer.index === this.chunks.length &&
			transfer.hash === this.first.hash &&
			transfer.baseVersion === this.first.baseVersion &&
			this.length <= MAX_COMPRESSED_BYTES;
		if (!isInOrder) {
			return 'broken';
		}
		this.chunks.push(transfer.data);
		return transfer.isLast ? 'complete' : 'incomplete';
	}

	/** Returns the document, or undefined if it is malformed, lacks its base or does not match its hash. */
	public async decode(base: VersionedDocument | undefined): Promise<string | undefined> {
		const first = this.first;
		if (first === undefined) {
			return undefined;
		}
		try {
			const content = await inflate(Buffer.concat(this.chunks), { maxOutputLength: MAX_INFLATED_BYTES });
			const document = decodeContent(content.toString('utf8'), first, base);
			return document !== undefined && hashTextToHex(document) === first.hash ? document : undefined;
		} catch {
			return undefined;
		}
	}
}

function decodeContent(
	content: string,
	first: Transfer,
	base: VersionedDocument | undefined,
): string | undefined {
	if (first.baseVersion === 0) {
		return content;
	}
	const delta: unknown = JSON.parse(content);
	if (base?.version !== first.baseVersion || !isDelta(delta)) {
		return undefined;
	}
	return applyDelta(base.document, delta, MAX_VALUE_BYTES);
}
