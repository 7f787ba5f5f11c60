/**
 * Replicates the configuration between routers: a router announces a new version to all neighbours, and a
 * router with an older version fetches the document from a peer, as a delta where possible. A router never
 * adopts an older version.
 */
import type { ConfigurationFetch, ConfigurationVersion, Transfer } from '../common/configurationMessages.js';
import type { VersionedDocument } from './documentTransfer.js';
import { DocumentAssembler, makeVersionedDocument, splitDocument } from './documentTransfer.js';
import type { Frame } from './frameCodec.js';
import type { Logger } from './logger.js';
import type { PeerLink } from './peerLink.js';
import { decodeTransfer } from './wireCalls.js';

/** A fetch is abandoned if no chunk arrives for this long. */
const FETCH_IDLE_TIMEOUT_MS = 3_000;
/** Documents retained as delta bases for peers that are a few versions behind. */
const MAX_RETAINED_DOCUMENTS = 3;

interface PendingFetch {
	readonly link: PeerLink;
	readonly assembler: DocumentAssembler;
	lastReceivedAtMs: number;
}

export interface ConfigurationSyncOptions {
	readonly onDidAdopt: (document: VersionedDocument) => void;
	readonly listLinks: () => Iterable<PeerLink>;
	readonly scheduleFlush: (link: PeerLink) => void;
	readonly readNowMs: () => number;
	readonly logger: Logger;
}

export class ConfigurationSync {
	/** The retained documents, newest first. */
	private documents: readonly VersionedDocument[] = [];
	/** Newer versions that peers announced. */
	private readonly offers = new Map<PeerLink, ConfigurationVersion>();
	/** Chunks of the current document, by current version and base version. */
	private readonly chunkCache = new Map<string, Promise<readonly Transfer[]>>();
	private pending: PendingFetch | undefined;
	/** Whether the next fetch requests the full document, because a delta could not be applied. */
	private isDeltaDisabled = false;

	constructor(private readonly options: ConfigurationSyncOptions) {}

	/** Publishes a document from this router. Returns whether it is newer than the current version. */
	public publish(version: number, document: string): boolean {
		return this.adopt(makeVersionedDocument(version, document));
	}

	/** Announces the current version to one peer. */
	public announceTo(link: PeerLink): void {
		const current = this.documents[0];
		if (current !== undefined) {
			link.outbox.setConfiguration({ version: current.version, hash: current.hash });
			this.options.scheduleFlush(link);
		}
	}

	/** Handles the configuration fields of a frame. */
	public receive(link: PeerLink, frame: Frame): void {
		if (frame.configuration) {
			this.receiveVersion(link, decodeVersion(frame.configuration));
		}
		if (frame.fetch) {
			const { version, baseVersion, baseHash } = frame.fetch;
			const base = decodeVersion({ version: baseVersion, hash: baseHash });
			void this.receiveFetch(link, { version: version ?? 0, base });
		}
		for (const transfer of frame.transfers) {
			void this.receiveTransfer(link, decodeTransfer(transfer));
		}
	}

	/** Removes a closed stream; a fetch in progress on it restarts on another stream. */
	public removeLink(link: PeerLink): void {
		this.offers.delete(link);
		if (this.pending?.link === link) {
			this.pending = undefined;
			this.startFetch();
		}
	}

	/** Abandons a stalled fetch and tries another peer. */
	public tick(nowMs: number): void {
		if (this.pending !== undefined && nowMs - this.pending.lastReceivedAtMs > FETCH_IDLE_TIMEOUT_MS) {
			this.offers.delete(this.pending.link);
			this.pending = undefined;
			this.startFetch();
		}
	}

	private receiveVersion(link: PeerLink, offered: ConfigurationVersion): void {
		const version = this.readCurrentVersion();
		if (offered.version < version) {
			this.announceTo(link);
			return;
		}
		if (offered.version > version) {
			this.offers.set(link, offered);
			this.startFetch();
		}
	}

	private async receiveFetch(link: PeerLink, fetch: ConfigurationFetch): Promise<void> {
		const current = this.documents[0];
		if (current === undefined || current.version < fetch.version) {
			return;
		}
		const base = this.documents.find(
			({ version, hash }) => version === fetch.base.version && hash === fetch.base.hash,
		);
		for (const transfer of await this.prepareChunks(current, base)) {
			link.outbox.addTransfer(transfer);
		}
		this.options.scheduleFlush(link);
	}

	private async receiveTransfer(link: PeerLink, transfer: Transfer): Promise<void> {
		const pending = this.pending;
		if (pending?.link !== link) {
			return;
		}
		pending.lastReceivedAtMs = this.options.readNowMs();
		const state = pending.assembler.add(transfer);
		if (state === 'incomplete') {
			return;
		}
		const base = this.documents.find(({ version }) => version === transfer.baseVersion);
		const document = state === 'complete' ? await pending.assembler.decode(base) : undefined;
		this.finishFetch(link, transfer, document);
	}

	private readCurrentVersion(): number {
		return this.documents[0]?.version ?? 0;
	}

	private startFetch(): void {
		if (this.pending !== undefined) {
			return;
		}
		const best = [...this.offers]
			.filter(([, offer]) => offer.version > this.readCurrentVersion())
			.sort(([, a], [, b]) => b.version - a.version)[0];
		if (best === undefined) {
			this.offers.clear();
			return;
		}
		const [link, offer] = best;
		const current = this.isDeltaDisabled ? undefined : this.documents[0];
		this.pending = { link, assembler: new DocumentAssembler(), lastReceivedAtMs: this.options.readNowMs() };
		link.outbox.setFetch({
			version: offer.version,
			base: { version: current?.version ?? 0, hash: current?.hash ?? '' },
		});
		this.options.scheduleFlush(link);
	}

	private finishFetch(link: PeerLink, transfer: Transfer, document: string | undefined): void {
		if (this.pending?.link === link) {
			this.pending = undefined;
		}
		if (document === undefined) {
			this.options.logger(
				'warn',
				`configuration version ${transfer.version} from ${link.instance} is malformed or does not match its hash`,
			);
			this.isDeltaDisabled = transfer.baseVersion !== 0;
			if (!this.isDeltaDisabled) {
				this.offers.delete(link);
			}
		} else {
			this.isDeltaDisabled = false;
			this.adopt({ version: transfer.version, hash: transfer.hash, document });
		}
		this.startFetch();
	}

	private adopt(next: VersionedDocument): boolean {
		if (next.version <= this.readCurrentVersion()) {
			return false;
		}
		this.documents = [next, ...this.documents].slice(0, MAX_RETAINED_DOCUMENTS);
		this.chunkCache.clear();
		this.options.onDidAdopt(next);
		for (const link of this.options.listLinks()) {
			if ((this.offers.get(link)?.version ?? 0) < next.version) {
				this.announceTo(link);
			}
		}
		return true;
	}

	/** Returns the chunks to send. They are cached, so that peers with the same base version share them. */
	private prepareChunks(
		current: VersionedDocument,
		base: VersionedDocument | undefined,
	): Promise<readonly Transfer[]> {
		const key = `${current.version} ${base?.version ?? 0}`;
		let chunks = this.chunkCache.get(key);
		if (chunks === undefined) {
			chunks = splitDocument(current, base);
			this.chunkCache.set(key, chunks);
		}
		return chunks;
	}
}

function decodeVersion(wire: { version?: number | null; hash?: string | null }): ConfigurationVersion {
	return { version: wire.version ?? 0, hash: wire.hash ?? '' };
}
