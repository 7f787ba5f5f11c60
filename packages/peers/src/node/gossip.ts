/**
 * Gossip between routers. Member records and warnings are flooded and repaired by anti-entropy digests; reports of
 * load and of shared limits travel on a broadcast tree for each origin.
 */
import type { Fact } from '@papayawell/core';
import { computeDigest, diffDigests, hashToBucket } from '../common/digest.js';
import type { Warning } from '../common/facts.js';
import type { MemberRecord } from '../common/memberRecord.js';
import { formatRecordVersion } from '../common/memberRecord.js';
import type { Membership } from '../common/membership.js';
import { ReportStore } from '../common/reportStore.js';
import { ReportTree } from '../common/reportTree.js';
import type { ReportEntry } from '../common/reports.js';
import { WarningStore } from '../common/warningStore.js';
import type { Frame } from './frameCodec.js';
import type { PeerLink } from './peerLink.js';
import { decodeRecord, decodeReport, decodeWarning } from './wireRecords.js';

/** Sent in place of an origin to request the reports of all origins that the peer knows. */
const ALL_ORIGINS = '*';
/** Time-to-live of a load that is not reported again. */
const LOAD_TTL_MS = 600_000;

export interface GossipOptions {
	readonly self: string;
	readonly membership: Membership;
	/** Streams on which member records and warnings are sent. */
	readonly listLinks: () => Iterable<PeerLink>;
	/** Streams on which reports are sent. */
	readonly listReportLinks: () => Iterable<PeerLink>;
	readonly scheduleFlush: (link: PeerLink) => void;
	readonly readNowMs: () => number;
	readonly onDidReceiveFact: (fact: Fact) => void;
}

export class Gossip {
	private readonly warnings = new WarningStore();
	private readonly tree = new ReportTree();
	private readonly reports: ReportStore;

	constructor(private readonly options: GossipOptions) {
		this.reports = new ReportStore(options.self);
	}

	public publishWarning(warning: Warning): void {
		this.addWarning(warning, undefined);
	}

	public publishEntry(entry: ReportEntry): void {
		if (this.reports.publish(entry, this.options.readNowMs())) {
			this.options.onDidReceiveFact(entry);
		}
	}

	public countLoads(): number {
		return this.reports.countLoads();
	}

	/** Sends a member record on all gossip streams except the one it was received on. */
	public forwardRecord(record: MemberRecord, except: PeerLink | undefined): void {
		for (const link of this.options.listLinks()) {
			if (link !== except) {
				link.outbox.addRecord(record);
				this.options.scheduleFlush(link);
			}
		}
	}

	/** Queues this router's own report on the report streams. */
	public publishOwnReport(): void {
		for (const entry of this.reports.takeReport(this.options.readNowMs())) {
			this.forwardEntry(this.options.self, entry, undefined);
		}
	}

	/** Sends a digest of the known member records and warnings, so that the peer can find differences. */
	public sendDigest(link: PeerLink): void {
		link.outbox.setDigest(this.makeDigest());
		this.options.scheduleFlush(link);
	}

	/** Requests the reports of all origins, for a router that has none yet. */
	public requestAllReports(link: PeerLink): void {
		link.outbox.addGrafted(ALL_ORIGINS);
	}

	/** Grafts the pruned origins on this stream that have had no new report for `silenceMs`. */
	public requestStaleOrigins(link: PeerLink, silenceMs: number): void {
		for (const origin of this.tree.takeGrafts(link.instance, this.options.readNowMs(), silenceMs)) {
			link.outbox.addGrafted(origin);
		}
	}

	public prune(): void {
		const { membership } = this.options;
		const isMember = (router: string): boolean => membership.readRecord(router) !== undefined;
		const epochMs = Date.now();
		this.warnings.prune(epochMs);
		this.reports.prune(epochMs - LOAD_TTL_MS, isMember);
		this.tree.prune(isMember);
	}

	public removeLink(link: PeerLink): void {
		this.tree.removePeer(link.instance);
	}

	/** Handles the gossip fields of a frame. */
	public receive(link: PeerLink, frame: Frame): void {
		for (const wire of frame.members) {
			this.receiveRecord(link, decodeRecord(wire));
		}
		for (const wire of frame.facts) {
			this.receiveWarning(link, decodeWarning(wire));
		}
		for (const wire of [...frame.reports, ...frame.uses]) {
			this.receiveReport(link, decodeReport(wire, link.inboundNames));
		}
		this.receivePrunes(link, frame.pruned);
		this.receiveGrafts(link, frame.grafted);
		if (frame.digest.length > 0) {
			this.receiveDigest(link, frame.digest);
		}
		if (frame.wanted.length > 0) {
			this.sendBuckets(link, new Set(frame.wanted));
		}
	}

	/** Merges a received record. If the known record is newer, sends it back to the peer. */
	private receiveRecord(link: PeerLink, record: MemberRecord | undefined): void {
		if (record === undefined) {
			return;
		}
		const { membership } = this.options;
		membership.receiveRecord(record, this.options.readNowMs());
		const known = membership.readRecord(record.router.instance);
		if (known !== undefined && formatRecordVersion(known) !== formatRecordVersion(record)) {
			link.outbox.addRecord(known);
			this.options.scheduleFlush(link);
		}
	}

	private receiveWarning(link: PeerLink, warning: Warning | undefined): void {
		if (warning !== undefined) {
			this.addWarning(warning, link);
		}
	}

	private addWarning(warning: Warning, source: PeerLink | undefined): void {
		if (!this.warnings.add(warning, Date.now())) {
			return;
		}
		this.options.onDidReceiveFact(warning);
		for (const link of this.options.listLinks()) {
			if (link !== source) {
				link.outbox.addWarning(warning);
				this.options.scheduleFlush(link);
			}
		}
	}

	private receiveReport(link: PeerLink, report: ReturnType<typeof decodeReport>): void {
		if (report === undefined || report.origin === this.options.self) {
			return;
		}
		const newEntries = report.entries.filter((entry) => this.reports.add(report.origin, entry));
		if (newEntries.length > 0) {
			this.tree.recordNewReport(report.origin, link.instance, this.options.readNowMs());
		} else if (report.entries.length > 0 && this.tree.recordDuplicate(report.origin, link.instance)) {
			link.outbox.addPruned(report.origin);
			link.outbox.removeOrigin(report.origin);
		}
		for (const entry of newEntries) {
			this.options.onDidReceiveFact(entry);
			this.forwardEntry(report.origin, entry, link);
		}
	}

	/** Queues an entry on each report stream; it is sent with the next flush of that stream. */
	private forwardEntry(origin: string, entry: ReportEntry, source: PeerLink | undefined): void {
		for (const link of this.options.listReportLinks()) {
			if (link !== source && this.tree.isWanted(origin, link.instance)) {
				link.outbox.addEntry(origin, entry);
			}
		}
	}

	private receivePrunes(link: PeerLink, numbers: readonly number[]): void {
		for (const number of numbers) {
			const origin = link.inboundNames.toName(number);
			if (origin !== undefined) {
				this.tree.receivePrune(origin, link.instance);
				link.outbox.removeOrigin(origin);
			}
		}
	}

	private receiveGrafts(link: PeerLink, numbers: readonly number[]): void {
		for (const number of numbers) {
			const origin = link.inboundNames.toName(number);
			if (origin !== undefined) {
				this.tree.receiveGraft(origin, link.instance);
				this.sendKnownEntries(link, origin === ALL_ORIGINS ? undefined : origin);
			}
		}
	}

	private sendKnownEntries(link: PeerLink, origin: string | undefined): void {
		for (const known of this.reports.list(origin)) {
			if (known.origin !== link.instance) {
				link.outbox.addEntry(known.origin, known.entry);
			}
		}
	}

	private receiveDigest(link: PeerLink, digest: readonly number[]): void {
		const differing = diffDigests(this.makeDigest(), digest);
		if (differing.length === 0) {
			return;
		}
		this.sendBuckets(link, new Set(differing));
		link.outbox.setWanted(differing);
	}

	private sendBuckets(link: PeerLink, buckets: ReadonlySet<number>): void {
		for (const record of this.options.membership.readRecords()) {
			if (buckets.has(hashToBucket(record.router.instance))) {
				link.outbox.addRecord(record);
			}
		}
		for (const [key, warning] of this.warnings.list()) {
			if (buckets.has(hashToBucket(key))) {
				link.outbox.addWarning(warning);
			}
		}
		this.options.scheduleFlush(link);
	}

	private makeDigest(): readonly number[] {
		const versions: [string, string][] = this.options.membership
			.readRecords()
			.map((record) => [record.router.instance, formatRecordVersion(record)]);
		for (const [key, warning] of this.warnings.list()) {
			versions.push([key, String(warning.version)]);
		}
		return computeDigest(versions);
	}
}
