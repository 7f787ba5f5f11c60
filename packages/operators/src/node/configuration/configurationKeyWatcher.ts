/** Watches the configuration key and repairs it after the key-value service has lost accepted changes. */
import type { Disposable, KeyValueStore, WatchEvent } from '@papayawell/core';
import { DisposableStore, makeConfigurationKey } from '@papayawell/core';
import type { ConfigurationRepairer } from './configurationRepairer.js';
import { TimerSet } from './timerSet.js';

/** A watch may stall without an error, so the revision is also polled; the response omits the value. */
const POLL_INTERVAL_MS = 3000;
const READ_TIMEOUT_MS = 2000;
const READ_RETRY_DELAY_MS = 1000;
const GAP_READ_JITTER_MS = 300;
/** Delayed watch events and stale reads resolve by themselves, so a repair waits before it compares. */
const REPAIR_DELAY_MS = 2000;
const REPAIR_JITTER_MS = 2000;
/** Poll intervals are uniform between this multiple of the mean and one more than it. */
const MIN_INTERVAL_FACTOR = 0.5;

export interface ConfigurationKeyWatcherOptions {
	readonly keyValue: KeyValueStore;
	/** Prefix of all keys of this fleet. */
	readonly prefix: string;
	readonly repairer: ConfigurationRepairer;
	/** Called with each document that is read or received from the watch. */
	readonly offer: (encoded: string) => void;
	/** Called after a repair, which may have changed the version in force. */
	readonly onDidRepair: () => void;
	/** Logs a warning for operators. */
	readonly warn: (message: string) => void;
}

export class ConfigurationKeyWatcher implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly timers = this.disposables.add(new TimerSet());
	private readonly key: string;
	private isDisposed = false;
	private isReading = false;
	private isReadPending = false;
	private isRetryScheduled = false;
	private isRepairScheduled = false;
	/** Revision of the last document passed to `offer`. */
	private lastOfferedRevision = 0;

	/** Starts the watch and reads the current document. */
	constructor(private readonly options: ConfigurationKeyWatcherOptions) {
		this.key = makeConfigurationKey(options.prefix);
		const watch = options.keyValue.watch(this.key, (event) => {
			this.handleEvent(event);
		});
		this.disposables.add(watch);
		void this.read();
		this.scheduleNextPoll();
	}

	/** Schedules a comparison of the stored version with the one in force, and a repair if needed. */
	public scheduleRepair(): void {
		if (this.isRepairScheduled) {
			return;
		}
		this.isRepairScheduled = true;
		this.timers.schedule(REPAIR_DELAY_MS + Math.random() * REPAIR_JITTER_MS, () => {
			this.isRepairScheduled = false;
			void this.reconcile();
		});
	}

	public dispose(): void {
		this.isDisposed = true;
		this.disposables.dispose();
	}

	private handleEvent(event: WatchEvent): void {
		switch (event.kind) {
			case 'put':
				if (event.entry.key === this.key) {
					this.lastOfferedRevision = event.entry.revision;
					this.options.offer(event.entry.value);
				}
				break;
			case 'delete':
				this.scheduleRepair();
				break;
			case 'gap':
				this.timers.schedule(Math.random() * GAP_READ_JITTER_MS, () => {
					void this.read();
				});
				break;
		}
	}

	private scheduleNextPoll(): void {
		this.timers.schedule(POLL_INTERVAL_MS * (MIN_INTERVAL_FACTOR + Math.random()), () => {
			void this.pollRevision();
			this.scheduleNextPoll();
		});
	}

	/** Reads the document if its revision differs from the last one offered; a lower one means lost changes. */
	private async pollRevision(): Promise<void> {
		const options = { timeoutMs: READ_TIMEOUT_MS, withoutValue: true };
		const entry = await this.options.keyValue.read(this.key, options);
		const revision = entry.ok ? (entry.val?.revision ?? 0) : 0;
		if (revision === 0 || revision !== this.lastOfferedRevision) {
			await this.read();
		}
	}

	/** Reads the document. A call during a read triggers one more read after it. */
	private async read(): Promise<void> {
		this.isReadPending = true;
		if (this.isReading) {
			return;
		}
		this.isReading = true;
		while (this.isReadPending && !this.isDisposed) {
			this.isReadPending = false;
			await this.readOnce();
		}
		this.isReading = false;
	}

	private async readOnce(): Promise<void> {
		const entry = await this.options.keyValue.read(this.key, { timeoutMs: READ_TIMEOUT_MS });
		if (this.isDisposed) {
			return;
		}
		if (entry.err) {
			this.options.warn(`Failed to read the configuration from the key-value service: ${entry.val.message}.`);
			this.scheduleRetry();
			return;
		}
		if (entry.val === undefined) {
			this.scheduleRepair();
			return;
		}
		this.lastOfferedRevision = entry.val.revision;
		this.options.offer(entry.val.value);
	}

	private scheduleRetry(): void {
		if (this.isRetryScheduled) {
			return;
		}
		this.isRetryScheduled = true;
		this.timers.schedule(READ_RETRY_DELAY_MS * (1 + Math.random()), () => {
			this.isRetryScheduled = false;
			void this.read();
		});
	}

	private async reconcile(): Promise<void> {
		const outcome = await this.options.repairer.reconcile();
		switch (outcome.kind) {
			case 'none':
				break;
			case 'repaired':
				this.options.warn(
					`Repaired the key-value service: stored version ${outcome.version} (${outcome.repair}).`,
				);
				this.options.onDidRepair();
				break;
			case 'raced':
				this.scheduleRepair();
				break;
			case 'failed':
				this.options.warn(`Failed to repair the configuration in the key-value service: ${outcome.message}.`);
				this.scheduleRepair();
				break;
		}
	}
}
