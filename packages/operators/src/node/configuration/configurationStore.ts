/** Reads and changes the operators' configuration and its history in the key-value service. */
import type {
	ChangeReference,
	ConfigurationChange,
	ConfigurationDocument,
	KeyValueEntry,
	KeyValueStore,
	Result,
} from '@papayawell/core';
import {
	Err,
	MAX_HISTORY_LENGTH,
	Ok,
	createNextDocument,
	decodeConfiguration,
	describeDocumentError,
	encodeConfiguration,
	findChangeStatus,
	makeConfigurationKey,
	makeHistoryKey,
	makeHistoryPrefix,
	makeHistoryVersionPrefix,
	parseRules,
} from '@papayawell/core';
import { swapUntilConfirmed } from './configurationSwap.js';
import type { ConfigurationStoreError } from './configurationStoreErrors.js';

const DEFAULT_SWAP_TIMEOUT_MS = 10_000;
/** Documents per call; each may be up to a megabyte. */
const HISTORY_PAGE_LENGTH = 5;

export interface StoredConfiguration {
	readonly document: ConfigurationDocument;
	readonly revision: number;
}

export interface ApplyRequest {
	readonly change: ConfigurationChange;
	/** Version on which the change is based; 0 for the first. */
	readonly baseVersion: number;
	/** Highest version in force on any router. */
	readonly fleetVersion: number;
	/** How long to retry a swap whose effect is unknown, in ms. */
	readonly settleMs?: number;
}

export class ConfigurationStore {
	private readonly key: string;

	constructor(
		private readonly keyValue: KeyValueStore,
		private readonly prefix: string,
	) {
		this.key = makeConfigurationKey(prefix);
	}

	/** Reads the current document; undefined if there is none. */
	public async read(): Promise<Result<StoredConfiguration | undefined, ConfigurationStoreError>> {
		const entry = await this.keyValue.read(this.key);
		if (entry.err) {
			return Err({ kind: 'unavailable', error: entry.val });
		}
		if (entry.val === undefined) {
			return Ok(undefined);
		}
		const { revision } = entry.val;
		return decodeEntry(entry.val).map((document) => ({ document, revision }));
	}

	/** Stores a change as the next version and returns the document after the service has confirmed it. */
	public async apply(request: ApplyRequest): Promise<Result<ConfigurationDocument, ConfigurationStoreError>> {
		const parsed = parseRules(request.change.text, 'rules');
		if (parsed.err) {
			return Err({ kind: 'findings', findings: parsed.val });
		}
		const stored = await this.read();
		if (stored.err) {
			return stored;
		}
		const earlier = findAcceptedChange(request, stored.val?.document);
		return earlier ?? this.replace(request, stored.val);
	}

	/** Reads the current version or one from the history. */
	public async readVersion(version: number): Promise<Result<ConfigurationDocument, ConfigurationStoreError>> {
		const stored = await this.read();
		if (stored.err) {
			return stored;
		}
		if (stored.val?.document.version === version) {
			return Ok(stored.val.document);
		}
		const entries = await this.keyValue.list(makeHistoryVersionPrefix(this.prefix, version), { limit: 1 });
		if (entries.err) {
			return Err({ kind: 'unavailable', error: entries.val });
		}
		const [entry] = entries.val;
		return entry === undefined ? Err({ kind: 'unknownVersion', version }) : decodeEntry(entry);
	}

	/** Lists the current document and the history, newest first. */
	public async listHistory(): Promise<Result<readonly ConfigurationDocument[], ConfigurationStoreError>> {
		const stored = await this.read();
		if (stored.err) {
			return stored;
		}
		const documents: ConfigurationDocument[] = [];
		let startAfter: string | undefined;
		for (;;) {
			const page = await this.listHistoryPage(startAfter);
			if (page.err) {
				return page;
			}
			for (const entry of page.val) {
				const document = decodeEntry(entry);
				if (document.err) {
					return document;
				}
				documents.unshift(document.val);
			}
			startAfter = page.val.at(-1)?.key;
			if (page.val.length < HISTORY_PAGE_LENGTH) {
				return Ok(addCurrentDocument(documents, stored.val?.document));
			}
		}
	}

	private async listHistoryPage(
		startAfter: string | undefined,
	): Promise<Result<readonly KeyValueEntry[], ConfigurationStoreError>> {
		const options = startAfter === undefined ? {} : { startAfter };
		const page = await this.keyValue.list(makeHistoryPrefix(this.prefix), {
			...options,
			limit: HISTORY_PAGE_LENGTH,
		});
		return page.mapErr((error) => ({ kind: 'unavailable', error }));
	}

	private async replace(
		request: ApplyRequest,
		stored: StoredConfiguration | undefined,
	): Promise<Result<ConfigurationDocument, ConfigurationStoreError>> {
		const refusal = checkBaseVersion(request, stored?.document);
		if (refusal !== undefined) {
			return Err(refusal);
		}
		const document = createNextDocument(stored?.document, request.change);
		const encoded = encodeConfiguration(document);
		if (encoded.err) {
			return Err(toConfigurationStoreError(encoded.val, this.key));
		}
		const kept = await this.storeHistoryEntry(stored?.document);
		if (kept.err) {
			return kept;
		}
		const expectedRevision = stored?.revision ?? 0;
		const settleMs = request.settleMs ?? DEFAULT_SWAP_TIMEOUT_MS;
		const swap = { key: this.key, expectedRevision, document, encoded: encoded.val, settleMs };
		const accepted = await swapUntilConfirmed(this.keyValue, swap);
		if (accepted.ok) {
			await this.trimHistory(document.version);
		}
		return accepted;
	}

	/** Stores the document that is about to be replaced in the history; idempotent. */
	private async storeHistoryEntry(
		document: ConfigurationDocument | undefined,
	): Promise<Result<void, ConfigurationStoreError>> {
		if (document === undefined) {
			return Ok(undefined);
		}
		const key = makeHistoryKey(this.prefix, document);
		const answer = await this.keyValue.swap(key, 0, JSON.stringify(document));
		return answer.map(() => undefined).mapErr((error) => ({ kind: 'unavailable', error }));
	}

	/** Removes the oldest history entry if there are too many. A failure is harmless. */
	private async trimHistory(version: number): Promise<void> {
		if (version <= MAX_HISTORY_LENGTH) {
			return;
		}
		const entries = await this.keyValue.list(makeHistoryPrefix(this.prefix), { limit: 1 });
		const [oldest] = entries.ok ? entries.val : [];
		const document = oldest === undefined ? undefined : decodeConfiguration(oldest.value);
		if (
			oldest !== undefined &&
			document?.ok === true &&
			document.val.version < version - MAX_HISTORY_LENGTH
		) {
			await this.keyValue.remove(oldest.key, oldest.revision);
		}
	}
}

/** Puts the current document first. It may also be in the history, if the change to replace it was refused. */
function addCurrentDocument(
	kept: readonly ConfigurationDocument[],
	current: ConfigurationDocument | undefined,
): readonly ConfigurationDocument[] {
	if (current === undefined) {
		return kept;
	}
	return [current, ...kept.filter(({ changeId }) => changeId !== current.changeId)];
}

/** Returns the accepted document if an earlier run of the command has already stored this change ID. */
function findAcceptedChange(
	request: ApplyRequest,
	current: ConfigurationDocument | undefined,
): Result<ConfigurationDocument, ConfigurationStoreError> | undefined {
	const { changeId } = request.change;
	const reference: ChangeReference = { changeId, version: request.baseVersion + 1 };
	if (current === undefined || findChangeStatus(current, reference) !== 'accepted') {
		return undefined;
	}
	const { version } =
		[current, ...current.history].find((change) => change.changeId === changeId) ?? reference;
	return Ok({ ...request.change, version, previousVersion: version - 1, history: [] });
}

function checkBaseVersion(
	request: ApplyRequest,
	current: ConfigurationDocument | undefined,
): ConfigurationStoreError | undefined {
	const storedVersion = current?.version ?? 0;
	if (storedVersion < request.fleetVersion) {
		return { kind: 'storeBehind', storedVersion, fleetVersion: request.fleetVersion };
	}
	if (storedVersion !== request.baseVersion) {
		return { kind: 'raced', base: request.baseVersion, current };
	}
	return undefined;
}

function decodeEntry(entry: KeyValueEntry): Result<ConfigurationDocument, ConfigurationStoreError> {
	return decodeConfiguration(entry.value).mapErr((error) => toConfigurationStoreError(error, entry.key));
}

function toConfigurationStoreError(
	error: Parameters<typeof describeDocumentError>[0],
	key: string,
): ConfigurationStoreError {
	return error.kind === 'tooLarge'
		? error
		: { kind: 'unreadable', key, message: describeDocumentError(error) };
}
