/** Stores the report entries known to this router with their origins, and builds its own reports. */
import type { ReportEntry } from './reports.js';
import { isSameValue, formatEntryKey, normalizeRequests } from './reports.js';

/**
 * Every second report also contains unchanged entries, which refreshes them at the peers and repairs lost
 * ones.
 */
const FULL_REPORT_PERIOD = 2;
/** Maximum number of entries, from all routers together. */
export const MAX_ENTRIES = 65_536;
/** Time-to-live of an entry of this router, from its last publication. */
const OWN_ENTRY_TTL_MS = 60_000;

interface OwnEntry {
	readonly entry: ReportEntry;
	readonly publishedAtMs: number;
}

interface KnownEntry {
	readonly origin: string;
	readonly entry: ReportEntry;
}

export class ReportStore {
	private readonly ownEntries = new Map<string, OwnEntry>();
	private readonly lastReported = new Map<string, ReportEntry>();
	private readonly knownEntries = new Map<string, KnownEntry>();
	private reportCount = 0;
	private loadCount = 0;

	constructor(private readonly self: string) {}

	/** Adds an entry measured by this router. Returns whether it is new. */
	public publish(entry: ReportEntry, nowMs: number): boolean {
		const normalized =
			entry.kind === 'load' ? { ...entry, requests: normalizeRequests(entry.requests) } : entry;
		if (!this.add(this.self, normalized)) {
			return false;
		}
		this.ownEntries.set(formatEntryKey(entry), { entry: normalized, publishedAtMs: nowMs });
		return true;
	}

	/** Adds an entry measured by `origin`. Returns whether it is new; false also if the store is full. */
	public add(origin: string, entry: ReportEntry): boolean {
		const key = formatEntryKey(entry);
		const known = this.knownEntries.get(key);
		if (known === undefined ? this.knownEntries.size >= MAX_ENTRIES : known.entry.version >= entry.version) {
			return false;
		}
		this.knownEntries.set(key, { origin, entry });
		this.loadCount += known === undefined && entry.kind === 'load' ? 1 : 0;
		return true;
	}

	/** Lists all known entries, or those of one origin. */
	public list(origin: string | undefined): readonly KnownEntry[] {
		return [...this.knownEntries.values()].filter((known) => origin === undefined || known.origin === origin);
	}

	/** Removes loads older than `oldestVersion`, and limit usage of routers that are not members. */
	public prune(oldestVersion: number, isMember: (router: string) => boolean): void {
		for (const [key, { entry }] of this.knownEntries) {
			if (entry.kind === 'use' && !isMember(entry.router)) {
				this.knownEntries.delete(key);
			}
			if (entry.kind === 'load' && entry.version < oldestVersion) {
				this.knownEntries.delete(key);
				this.loadCount--;
			}
		}
	}

	/** Number of engines whose load is known. */
	public countLoads(): number {
		return this.loadCount;
	}

	/** Builds the next report of this router: changed entries only, or all entries in every second report. */
	public takeReport(nowMs: number): readonly ReportEntry[] {
		const isFull = this.reportCount % FULL_REPORT_PERIOD === 0;
		this.reportCount++;
		const entries: ReportEntry[] = [];
		for (const [key, own] of this.ownEntries) {
			if (nowMs - own.publishedAtMs > OWN_ENTRY_TTL_MS) {
				this.ownEntries.delete(key);
				this.lastReported.delete(key);
			} else if (isFull || !isSameValue(own.entry, this.lastReported.get(key))) {
				this.lastReported.set(key, own.entry);
				entries.push(own.entry);
			}
		}
		return entries;
	}
}
