/** Decides how to repair a key-value service that lost accepted changes or was reset to an older state. */
import type { ConfigurationDocument } from './configurationDocument.js';
import { createSupersedingDocument, findRelation } from './configurationHistory.js';

export type Repair =
	/** Nothing to repair: the stored document is the one in force or a newer one. */
	| { readonly kind: 'none' }
	/** Store the document in force unchanged: the store holds no document or an ancestor of it. */
	| { readonly kind: 'writeBack' }
	/** Store this document: the stored one belongs to a history that diverged from the fleet's. */
	| { readonly kind: 'supersede'; readonly document: ConfigurationDocument };

/** Decides on the repair. `changeId` and `at` identify the change if a superseding document is created. */
export function decideRepair(
	stored: ConfigurationDocument | undefined,
	inForce: ConfigurationDocument,
	changeId: string,
	at: string,
): Repair {
	if (stored === undefined) {
		return { kind: 'writeBack' };
	}
	if (stored.version > inForce.version) {
		return { kind: 'none' };
	}
	const relation = findRelation(stored, inForce);
	switch (relation) {
		case 'same':
			return { kind: 'none' };
		case 'ancestor':
			return { kind: 'writeBack' };
		case 'divergent':
			return { kind: 'supersede', document: createSupersedingDocument(inForce, stored, changeId, at) };
	}
}
