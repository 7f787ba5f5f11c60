/** The versioned document that contains the operators' rules, and its JSON encoding. */
import type { Result } from '../base/result.js';
import { Err, Ok } from '../base/result.js';
import { MAX_VALUE_BYTES } from '../platform/keyValueStore.js';
import { countUtf8Bytes } from '../rules/parseRules.js';

/** Maximum number of earlier changes that a document lists. */
export const MAX_HISTORY_LENGTH = 50;

/** One accepted change. */
export interface ChangeReference {
	readonly version: number;
	readonly changeId: string;
}

export interface ConfigurationDocument extends ChangeReference {
	/** The operator who made the change. */
	readonly who: string;
	readonly why: string;
	/** Time of the change in ISO 8601 form, by the operator's clock. */
	readonly at: string;
	/** The rules text. */
	readonly text: string;
	/** Version that the change is based on; 0 for the first change. */
	readonly previousVersion: number;
	/** Earlier changes, newest first, at most `MAX_HISTORY_LENGTH`. */
	readonly history: readonly ChangeReference[];
}

export type DocumentError =
	| { readonly kind: 'malformed'; readonly message: string }
	| { readonly kind: 'tooLarge'; readonly bytes: number };

/** Encodes a document; fails if it exceeds the size limit of values in the key-value service. */
export function encodeConfiguration(document: ConfigurationDocument): Result<string, DocumentError> {
	const encoded = JSON.stringify(document);
	const bytes = countUtf8Bytes(encoded);
	return bytes > MAX_VALUE_BYTES ? Err({ kind: 'tooLarge', bytes }) : Ok(encoded);
}

/** Decodes a document; never throws. */
export function decodeConfiguration(encoded: string): Result<ConfigurationDocument, DocumentError> {
	if (encoded.length > MAX_VALUE_BYTES) {
		return Err({ kind: 'tooLarge', bytes: encoded.length });
	}
	const value = parseJson(encoded);
	return isDocument(value)
		? Ok(value)
		: Err({
				kind: 'malformed',
				message: 'not a configuration document: invalid JSON, or a field is missing or has the wrong type',
			});
}

/** Describes an error in one sentence. */
export function describeDocumentError(error: DocumentError): string {
	switch (error.kind) {
		case 'malformed':
			return error.message;
		case 'tooLarge':
			return `the document takes ${error.bytes} bytes, the limit is ${MAX_VALUE_BYTES}`;
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function isDocument(value: unknown): value is ConfigurationDocument {
	return (
		isReference(value) &&
		hasText(value, ['who', 'why', 'at', 'text']) &&
		'previousVersion' in value &&
		isCount(value.previousVersion) &&
		'history' in value &&
		Array.isArray(value.history) &&
		value.history.length <= MAX_HISTORY_LENGTH &&
		value.history.every(isReference)
	);
}

function isReference(value: unknown): value is ChangeReference {
	return isObject(value) && isCount(value.version) && value.version > 0 && hasText(value, ['changeId']);
}

function hasText(value: object, keys: readonly string[]): boolean {
	return isObject(value) && keys.every((key) => typeof value[key] === 'string');
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}
