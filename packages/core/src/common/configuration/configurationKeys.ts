/** Keys of the configuration in the key-value service. */
import type { ChangeReference } from './configurationDocument.js';

const VERSION_DIGITS = 12;

/** Key of the current document. */
export function makeConfigurationKey(prefix: string): string {
	return `${prefix}/configuration`;
}

/** Prefix of the keys of replaced documents; a watch on the current document does not include them. */
export function makeHistoryPrefix(prefix: string): string {
	return `${prefix}/history/configuration/`;
}

/**
 * Prefix of the keys of replaced documents with one version. Versions are zero-padded, so that keys sort by
 * version.
 */
export function makeHistoryVersionPrefix(prefix: string, version: number): string {
	return `${makeHistoryPrefix(prefix)}${version.toString().padStart(VERSION_DIGITS, '0')}-`;
}

/** Key of one replaced document. */
export function makeHistoryKey(prefix: string, reference: ChangeReference): string {
	return `${makeHistoryVersionPrefix(prefix, reference.version)}${reference.changeId}`;
}
