/** Restores the configuration in force to the key-value service after the service has lost accepted changes. */
import { randomUUID } from 'node:crypto';
import type { ConfigurationDocument, KeyValueStore, Repair } from '@papayawell/core';
import {
	decideRepair,
	decodeConfiguration,
	encodeConfiguration,
	makeConfigurationKey,
	makeHistoryKey,
} from '@papayawell/core';
import type { ConfigurationAdopter } from '@papayawell/core';

export type RepairOutcome =
	/** The stored document needs no repair. */
	| { readonly kind: 'none' }
	| { readonly kind: 'repaired'; readonly repair: Exclude<Repair['kind'], 'none'>; readonly version: number }
	/** The stored document changed after it was read; the repair has to start again. */
	| { readonly kind: 'raced' }
	| { readonly kind: 'failed'; readonly message: string };

/** Swaps against the revision that it has just read, so that it never overwrites a newer change. */
export class ConfigurationRepairer {
	private readonly key: string;

	constructor(
		private readonly keyValue: KeyValueStore,
		private readonly prefix: string,
		private readonly adopter: ConfigurationAdopter,
	) {
		this.key = makeConfigurationKey(prefix);
	}

	/** Compares the stored document with the one in force and repairs it if the service has lost changes. */
	public async reconcile(): Promise<RepairOutcome> {
		const { inForce } = this.adopter;
		if (inForce === undefined) {
			return { kind: 'none' };
		}
		const entry = await this.keyValue.read(this.key);
		if (entry.err) {
			return { kind: 'failed', message: entry.val.message };
		}
		const stored = entry.val === undefined ? undefined : decodeConfiguration(entry.val.value);
		if (stored?.err === true) {
			return { kind: 'failed', message: `the stored configuration can't be decoded (${stored.val.kind})` };
		}
		const repair = decideRepair(stored?.val, inForce.document, randomUUID(), new Date().toISOString());
		return this.store(repair, stored?.val, entry.val?.revision ?? 0, inForce.encoded);
	}

	private async store(
		repair: Repair,
		stored: ConfigurationDocument | undefined,
		revision: number,
		encodedInForce: string,
	): Promise<RepairOutcome> {
		switch (repair.kind) {
			case 'none':
				return { kind: 'none' };
			case 'writeBack':
				return this.swap('writeBack', revision, encodedInForce);
			case 'supersede': {
				const encoded = encodeConfiguration(repair.document);
				if (encoded.err) {
					return { kind: 'failed', message: 'the superseding document exceeds the size limit' };
				}
				await this.storeHistoryEntry(stored);
				return this.swap('supersede', revision, encoded.val);
			}
		}
	}

	private async swap(
		repair: 'writeBack' | 'supersede',
		revision: number,
		encoded: string,
	): Promise<RepairOutcome> {
		const answer = await this.keyValue.swap(this.key, revision, encoded);
		if (answer.err) {
			return { kind: 'failed', message: answer.val.message };
		}
		if (answer.val.kind === 'conflict') {
			return { kind: 'raced' };
		}
		this.adopter.offer(encoded, 'keyValue');
		return { kind: 'repaired', repair, version: this.adopter.version };
	}

	/** Stores the divergent document in the history, so that its operator can read it and apply it again. */
	private async storeHistoryEntry(document: ConfigurationDocument | undefined): Promise<void> {
		if (document !== undefined) {
			await this.keyValue.swap(makeHistoryKey(this.prefix, document), 0, JSON.stringify(document));
		}
	}
}
