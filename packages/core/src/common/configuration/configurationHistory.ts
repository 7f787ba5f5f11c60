/** Creates successors of configuration documents and compares the histories of two documents. */
import type { ChangeReference, ConfigurationDocument } from './configurationDocument.js';
import { MAX_HISTORY_LENGTH } from './configurationDocument.js';

/** A change that an operator requests. */
export interface ConfigurationChange {
	/** Unique id, by which an operator finds out whether the change was accepted when the response is lost. */
	readonly changeId: string;
	readonly who: string;
	readonly why: string;
	/** ISO 8601. */
	readonly at: string;
	readonly text: string;
}

/**
 * Whether a change was accepted, by the history of a document. `forgotten`: the history does not cover the
 * change.
 */
export type ChangeStatus = 'accepted' | 'refused' | 'forgotten';

/** Relation of a document to the one in force, whose version is at least as high. */
export type HistoryRelation = 'same' | 'ancestor' | 'divergent';

/** Creates the successor of `current`. */
export function createNextDocument(
	current: ConfigurationDocument | undefined,
	change: ConfigurationChange,
): ConfigurationDocument {
	const previousVersion = current?.version ?? 0;
	return { version: previousVersion + 1, ...change, previousVersion, history: listChanges(current) };
}

/** Determines from the current document whether `change`, proposed as `change.version`, was accepted. */
export function findChangeStatus(current: ConfigurationDocument, change: ChangeReference): ChangeStatus {
	const changes = [toReference(current), ...current.history];
	if (changes.some(({ changeId }) => changeId === change.changeId)) {
		return 'accepted';
	}
	const isStoreBehind = current.version < change.version - 1;
	if (isStoreBehind) {
		return 'forgotten';
	}
	const oldest = changes.at(-1)?.version ?? 0;
	return change.version >= oldest || current.history.length < MAX_HISTORY_LENGTH ? 'refused' : 'forgotten';
}

/** Determines how `other` relates to `inForce`, whose version is at least as high. */
export function findRelation(other: ConfigurationDocument, inForce: ConfigurationDocument): HistoryRelation {
	if (other.changeId === inForce.changeId) {
		return 'same';
	}
	if (other.version === inForce.version) {
		return 'divergent';
	}
	const entries = inForce.history.filter(({ version }) => version === other.version);
	if (entries.length === 0) {
		return 'ancestor';
	}
	return entries.some(({ changeId }) => changeId === other.changeId) ? 'ancestor' : 'divergent';
}

/** Creates a document that resolves a divergence: the text in force, with a version above both documents. */
export function createSupersedingDocument(
	inForce: ConfigurationDocument,
	other: ConfigurationDocument,
	changeId: string,
	at: string,
): ConfigurationDocument {
	const change = {
		changeId,
		who: 'papayawell',
		why: `keeps version ${inForce.version} in force over divergent version ${other.version} of ${other.who}`,
		at,
		text: inForce.text,
	};
	const next = createNextDocument(inForce, change);
	const history = [toReference(other), ...next.history].slice(0, MAX_HISTORY_LENGTH);
	return { ...next, history };
}

function listChanges(document: ConfigurationDocument | undefined): readonly ChangeReference[] {
	return document === undefined
		? []
		: [toReference(document), ...document.history].slice(0, MAX_HISTORY_LENGTH);
}

function toReference({ version, changeId }: ChangeReference): ChangeReference {
	return { version, changeId };
}
