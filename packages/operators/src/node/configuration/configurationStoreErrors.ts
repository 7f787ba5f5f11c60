/** Errors of reading and changing the stored configuration. */
import type { ConfigurationDocument, Finding, KeyValueError } from '@papayawell/core';
import { MAX_VALUE_BYTES } from '@papayawell/core';

export type ConfigurationStoreError =
	/** The rules text has findings; nothing was sent. */
	| { readonly kind: 'findings'; readonly findings: readonly Finding[] }
	| { readonly kind: 'tooLarge'; readonly bytes: number }
	/** The key-value service failed; the change was definitely not stored. */
	| { readonly kind: 'unavailable'; readonly error: KeyValueError }
	/** The base is not the current version; the change was definitely not stored. */
	| { readonly kind: 'raced'; readonly base: number; readonly current: ConfigurationDocument | undefined }
	/** The stored version is older than one in force on a router; nothing was sent. */
	| { readonly kind: 'storeBehind'; readonly storedVersion: number; readonly fleetVersion: number }
	/** The effect of the swap is unknown: the change may have been stored or may still be. */
	| { readonly kind: 'unsettled'; readonly changeId: string; readonly version: number }
	| { readonly kind: 'unreadable'; readonly key: string; readonly message: string }
	| { readonly kind: 'unknownVersion'; readonly version: number };

/** Describes an error in one or two sentences. */
export function describeConfigurationStoreError(error: ConfigurationStoreError): string {
	switch (error.kind) {
		case 'findings':
			return `The rules have ${error.findings.length} findings; nothing was sent.`;
		case 'tooLarge':
			return `The document takes ${error.bytes} bytes, the limit is ${MAX_VALUE_BYTES}; nothing was sent.`;
		case 'unavailable':
			return `Not accepted: the key-value service failed (${error.error.kind}: ${error.error.message}).`;
		case 'raced':
			return describeRace(error.base, error.current);
		case 'storeBehind':
			return (
				`Not sent: the key-value service holds version ${error.storedVersion}, but routers have version ` +
				`${error.fleetVersion} in force. Routers write it back within seconds; then run this again.`
			);
		case 'unsettled':
			return (
				`Unknown: no answer from the key-value service. Run the command again with ` +
				`--change ${error.changeId} --base ${error.version - 1} to settle it.`
			);
		case 'unreadable':
			return `The value under ${error.key} can't be read: ${error.message}.`;
		case 'unknownVersion':
			return `Version ${error.version} is neither current nor kept.`;
	}
}

function describeRace(base: number, current: ConfigurationDocument | undefined): string {
	if (current === undefined) {
		return `Not accepted: the base is version ${base}, but the service holds no configuration.`;
	}
	return (
		`Not accepted: the base is version ${base}, but ${current.who} made version ${current.version} ` +
		`at ${current.at}: ${current.why}. Rebase onto it and give --base ${current.version}.`
	);
}
