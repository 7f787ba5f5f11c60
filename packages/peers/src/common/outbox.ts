/**
 * Queues outgoing items of one stream. A newer record, warning or report entry with the same key replaces a
 * queued one.
 */
import type { PeerResponse, PeerRequest } from '@papayawell/core';
import type { ConfigurationFetch, ConfigurationVersion, Transfer } from './configurationMessages.js';
import type { Warning } from './facts.js';
import { formatWarningKey } from './facts.js';
import type { MemberRecord } from './memberRecord.js';
import type { Probe } from './probes.js';
import type { ReportEntry } from './reports.js';
import { formatEntryKey } from './reports.js';
import { TrafficKind } from './trafficKind.js';

export interface OutgoingCall {
	readonly id: number;
	readonly request: PeerRequest;
}

/** An answer, or one part of an answer that contains a document. */
export type AnswerBody =
	PeerResponse | { readonly kind: 'transfer'; readonly transfer: Transfer } | { readonly kind: 'failed' };

export interface OutgoingAnswer {
	readonly id: number;
	readonly body: AnswerBody;
}

/** Report entries by the router that measured them, then by their key. */
export type EntriesByOrigin = Map<string, Map<string, ReportEntry>>;

/** Content of one frame. */
export interface Batch {
	readonly records: readonly MemberRecord[];
	readonly warnings: readonly Warning[];
	readonly probes: readonly Probe[];
	readonly digest: readonly number[];
	readonly wanted: readonly number[];
	readonly configuration: ConfigurationVersion | undefined;
	readonly fetch: ConfigurationFetch | undefined;
	readonly transfers: readonly Transfer[];
	readonly calls: readonly OutgoingCall[];
	readonly answers: readonly OutgoingAnswer[];
	readonly pruned: readonly string[];
	readonly grafted: readonly string[];
	readonly loads: EntriesByOrigin;
	readonly uses: EntriesByOrigin;
}

/** The limits per frame keep it far below the maximum message size. */
const MAX_RECORDS_PER_FRAME = 100;
const MAX_WARNINGS_PER_FRAME = 64;
const MAX_CALLS_PER_FRAME = 64;
const MAX_ENTRIES_PER_FRAME = 800;
/** Document parts in one frame. */
const MAX_TRANSFERS_PER_FRAME = 1;

export class Outbox {
	private readonly records = new Map<string, MemberRecord>();
	private readonly warnings = new Map<string, Warning>();
	private readonly calls: OutgoingCall[] = [];
	private readonly answers: OutgoingAnswer[] = [];
	private readonly transfers: Transfer[] = [];
	private readonly loads: EntriesByOrigin = new Map();
	private readonly uses: EntriesByOrigin = new Map();
	private readonly pruned = new Set<string>();
	private readonly grafted = new Set<string>();
	private probes: Probe[] = [];
	private digest: readonly number[] = [];
	private wanted: readonly number[] = [];
	private configuration: ConfigurationVersion | undefined;
	private fetch: ConfigurationFetch | undefined;

	public addRecord(record: MemberRecord): void {
		this.records.set(record.router.instance, record);
	}

	public addWarning(warning: Warning): void {
		this.warnings.set(formatWarningKey(warning), warning);
	}

	public addProbe(probe: Probe): void {
		this.probes.push(probe);
	}

	public addCall(call: OutgoingCall): void {
		this.calls.push(call);
	}

	public addAnswer(answer: OutgoingAnswer): void {
		this.answers.push(answer);
	}

	public addTransfer(transfer: Transfer): void {
		this.transfers.push(transfer);
	}

	/** Queues a report entry; drops it if a full frame of entries of its origin is queued. */
	public addEntry(origin: string, entry: ReportEntry): void {
		const byOrigin = entry.kind === 'load' ? this.loads : this.uses;
		let entries = byOrigin.get(origin);
		if (entries === undefined) {
			entries = new Map();
			byOrigin.set(origin, entries);
		}
		if (entries.size < MAX_ENTRIES_PER_FRAME) {
			entries.set(formatEntryKey(entry), entry);
		}
	}

	/** Drops the queued entries of an origin, whose reports the peer receives on another stream. */
	public removeOrigin(origin: string): void {
		this.loads.delete(origin);
		this.uses.delete(origin);
	}

	public addPruned(origin: string): void {
		this.grafted.delete(origin);
		this.pruned.add(origin);
	}

	public addGrafted(origin: string): void {
		this.pruned.delete(origin);
		this.grafted.add(origin);
	}

	public setDigest(digest: readonly number[]): void {
		this.digest = digest;
	}

	public setWanted(buckets: readonly number[]): void {
		this.wanted = buckets;
	}

	public setConfiguration(configuration: ConfigurationVersion): void {
		this.configuration = configuration;
	}

	public setFetch(fetch: ConfigurationFetch): void {
		this.fetch = fetch;
	}

	/** Whether an item is queued that must not wait for the next flush of reports. */
	public hasUrgent(): boolean {
		return (
			this.probes.length + this.calls.length + this.answers.length + this.transfers.length > 0 ||
			this.records.size + this.warnings.size + this.digest.length + this.wanted.length > 0 ||
			this.configuration !== undefined ||
			this.fetch !== undefined
		);
	}

	/**
	 * Dequeues the content of the next frame. Warnings, loads and uses stay queued while `isAllowed` refuses
	 * their kind.
	 */
	public takeBatch(isAllowed: (kind: TrafficKind) => boolean, withReports: boolean): Batch {
		const batch: Batch = {
			records: takeSome(this.records, MAX_RECORDS_PER_FRAME),
			warnings: isAllowed(TrafficKind.Warning) ? takeSome(this.warnings, MAX_WARNINGS_PER_FRAME) : [],
			probes: this.probes,
			digest: this.digest,
			wanted: this.wanted,
			configuration: this.configuration,
			fetch: this.fetch,
			transfers: this.transfers.splice(0, MAX_TRANSFERS_PER_FRAME),
			calls: this.calls.splice(0, MAX_CALLS_PER_FRAME),
			answers: this.takeAnswers(),
			pruned: withReports ? takeAll(this.pruned) : [],
			grafted: withReports ? takeAll(this.grafted) : [],
			loads:
				withReports && isAllowed(TrafficKind.Load)
					? takeEntries(this.loads)
					: new Map<string, Map<string, ReportEntry>>(),
			uses:
				withReports && isAllowed(TrafficKind.Use)
					? takeEntries(this.uses)
					: new Map<string, Map<string, ReportEntry>>(),
		};
		this.probes = [];
		this.digest = [];
		this.wanted = [];
		this.configuration = undefined;
		this.fetch = undefined;
		return batch;
	}

	/** Dequeues answers up to and including the first document part, since a frame holds at most one. */
	private takeAnswers(): readonly OutgoingAnswer[] {
		const part = this.answers.findIndex(({ body }) => body.kind === 'transfer');
		return this.answers.splice(0, Math.min(MAX_CALLS_PER_FRAME, part < 0 ? MAX_CALLS_PER_FRAME : part + 1));
	}
}

function takeSome<T>(items: Map<string, T>, count: number): T[] {
	const taken: T[] = [];
	for (const [key, item] of items) {
		if (taken.length >= count) {
			break;
		}
		items.delete(key);
		taken.push(item);
	}
	return taken;
}

function takeAll(items: Set<string>): string[] {
	const taken = [...items];
	items.clear();
	return taken;
}

function takeEntries(queued: EntriesByOrigin): EntriesByOrigin {
	const taken: EntriesByOrigin = new Map();
	let remaining = MAX_ENTRIES_PER_FRAME;
	for (const [origin, entries] of queued) {
		if (entries.size > remaining) {
			break;
		}
		remaining -= entries.size;
		queued.delete(origin);
		taken.set(origin, entries);
	}
	return taken;
}
