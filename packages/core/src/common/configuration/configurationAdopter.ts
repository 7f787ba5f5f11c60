/** Decides which configuration is in force on this router. The version in force never decreases. */
import type { Disposable } from '../base/disposable.js';
import { Emitter } from '../base/event.js';
import type { Finding } from '../base/finding.js';
import { parseRules } from '../rules/parseRules.js';
import type { RuleSet } from '../rules/rules.js';
import type { ConfigurationDocument } from './configurationDocument.js';
import { decodeConfiguration, describeDocumentError } from './configurationDocument.js';
import { findRelation } from './configurationHistory.js';

/** Where a document was received from. */
export type ConfigurationSource = 'keyValue' | 'peer';

export interface ConfigurationInForce {
	readonly document: ConfigurationDocument;
	/**
	 * The document in the encoding it was received in, which is sent unchanged to peers and the key-value
	 * service.
	 */
	readonly encoded: string;
	readonly ruleSet: RuleSet;
}

export type AdoptResult =
	/** A newer version. `isDivergent`: the version that was in force is not part of its history. */
	| { readonly kind: 'adopted'; readonly inForce: ConfigurationInForce; readonly isDivergent: boolean }
	| { readonly kind: 'same' }
	/** An older version of the same history: a stale read, a late event or a restored store. */
	| { readonly kind: 'older'; readonly offered: ConfigurationDocument }
	/** Not newer than the version in force, and not part of its history. */
	| { readonly kind: 'divergent'; readonly offered: ConfigurationDocument }
	| { readonly kind: 'invalid'; readonly message: string; readonly findings: readonly Finding[] };

export type AdoptRefusal = Exclude<AdoptResult, { readonly kind: 'adopted' | 'same' }>;

export interface RefusedConfiguration {
	readonly source: ConfigurationSource;
	readonly refusal: AdoptRefusal;
	readonly versionInForce: number;
}

/** Holds the configuration in force and accepts newer documents from any source. */
export class ConfigurationAdopter implements Disposable {
	private readonly adoptEmitter = new Emitter<ConfigurationInForce>();
	private readonly refuseEmitter = new Emitter<RefusedConfiguration>();
	private current: ConfigurationInForce | undefined;

	/** Fires after a higher version came into force. */
	public readonly onDidAdopt = this.adoptEmitter.event;
	/** Fires for each refused document; an offer of the version in force is not a refusal. */
	public readonly onDidRefuse = this.refuseEmitter.event;

	public get inForce(): ConfigurationInForce | undefined {
		return this.current;
	}

	/** Version in force; 0 when there is none. */
	public get version(): number {
		return this.current?.document.version ?? 0;
	}

	/** Adopts an encoded document if it is valid and its version is higher than the one in force. */
	public offer(encoded: string, source: ConfigurationSource): AdoptResult {
		const result = this.decide(encoded);
		switch (result.kind) {
			case 'adopted':
				this.current = result.inForce;
				this.adoptEmitter.fire(result.inForce);
				break;
			case 'same':
				break;
			case 'older':
			case 'divergent':
			case 'invalid':
				this.refuseEmitter.fire({ source, refusal: result, versionInForce: this.version });
				break;
		}
		return result;
	}

	public dispose(): void {
		this.adoptEmitter.dispose();
		this.refuseEmitter.dispose();
	}

	private decide(encoded: string): AdoptResult {
		if (encoded === this.current?.encoded) {
			return { kind: 'same' };
		}
		const decoded = decodeConfiguration(encoded);
		if (decoded.err) {
			return { kind: 'invalid', message: describeDocumentError(decoded.val), findings: [] };
		}
		const offered = decoded.val;
		if (this.current !== undefined && offered.version <= this.version) {
			const relation = findRelation(offered, this.current.document);
			return relation === 'same' ? { kind: 'same' } : { kind: toResultKind(relation), offered };
		}
		return this.decideNewer(offered, encoded);
	}

	private decideNewer(offered: ConfigurationDocument, encoded: string): AdoptResult {
		const parsed = parseRules(offered.text, `configuration ${offered.version}`);
		if (parsed.err) {
			const message = `the rules text has ${parsed.val.length} findings`;
			return { kind: 'invalid', message, findings: parsed.val };
		}
		const isDivergent =
			this.current !== undefined && findRelation(this.current.document, offered) === 'divergent';
		return { kind: 'adopted', inForce: { document: offered, encoded, ruleSet: parsed.val }, isDivergent };
	}
}

function toResultKind(relation: 'ancestor' | 'divergent'): 'older' | 'divergent' {
	return relation === 'ancestor' ? 'older' : 'divergent';
}
