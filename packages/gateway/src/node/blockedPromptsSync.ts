/**
 * Keeps the blocked prompt parts in the store. Instances learn of them from their peers; the store is for the case that
 * all instances restart at once.
 */
import type { Disposable } from '@papayawell/core';
import { decodeBlockedPrompts, encodeBlockedPrompts } from '../common/blockedPromptsDocument.js';
import type { EventLog } from '../common/eventLog.js';
import type { MetadataStore } from '../common/metadataStore.js';
import { describeError } from '../common/metadataStore.js';
import type { PartDeathReport } from '../common/promptCrashTracker.js';

/** Time between two attempts to read or write the document. */
const SYNC_INTERVAL_MS = 1000;

export interface BlockedPromptsSyncParts {
	readonly store: MetadataStore;
	readonly log: EventLog;
	readonly listBlockingDeaths: (nowMs: number) => readonly PartDeathReport[];
	readonly adoptDeaths: (deaths: readonly PartDeathReport[], nowMs: number) => void;
	/** Rank of this instance among those that serve; the first one writes. */
	readonly readOwnRank: () => number;
}

export class BlockedPromptsSync implements Disposable {
	private readonly abortController = new AbortController();
	private hasRead = false;
	private isBusy = false;
	private nextSyncMs = 0;
	/** What the document is known to say, without the ages. */
	private storedContent = describeContent([]);

	constructor(private readonly parts: BlockedPromptsSyncParts) {}

	/** Called periodically: reads the document once, then writes it if what is blocked has changed. */
	public tick(nowMs: number): void {
		if (this.isBusy || nowMs < this.nextSyncMs) {
			return;
		}
		this.nextSyncMs = nowMs + SYNC_INTERVAL_MS;
		if (!this.hasRead) {
			void this.execute(() => this.read());
			return;
		}
		const deaths = this.parts.listBlockingDeaths(nowMs);
		if (describeContent(deaths) !== this.storedContent && this.parts.readOwnRank() === 0) {
			void this.execute(() => this.write(deaths));
		}
	}

	/** Called when the store came back from a copy, in which the document may be older or missing. */
	public handleRestore(): void {
		this.storedContent = describeContent([]);
	}

	public dispose(): void {
		this.abortController.abort();
	}

	private async execute(run: () => Promise<void>): Promise<void> {
		this.isBusy = true;
		try {
			await run();
		} catch (error) {
			if (!this.abortController.signal.aborted) {
				this.parts.log.write('state', 'blockedPromptsNotSynced', { detail: describeError(error) });
			}
		}
		this.isBusy = false;
	}

	private async read(): Promise<void> {
		const text = await this.parts.store.readBlockedPrompts(this.abortController.signal);
		this.hasRead = true;
		const deaths = text === undefined ? [] : decodeBlockedPrompts(text, Date.now());
		if (deaths === undefined) {
			this.parts.log.write('state', 'blockedPromptsNotSynced', { detail: 'the document cannot be read' });
			return;
		}
		this.storedContent = describeContent(deaths);
		this.parts.adoptDeaths(deaths, performance.now());
	}

	private async write(deaths: readonly PartDeathReport[]): Promise<void> {
		const text = encodeBlockedPrompts(deaths, Date.now());
		await this.parts.store.writeBlockedPrompts(text, this.abortController.signal);
		this.storedContent = describeContent(deaths);
	}
}

function describeContent(deaths: readonly PartDeathReport[]): string {
	return deaths.map(([part, target]) => `${part} ${target}`).join();
}
