/**
 * Makes the origin of a stream known beyond the instance that served its first event, since the caller may resume it at
 * any other. Each origin is sent to a few instances that its attempt's id selects, before the caller gets the event;
 * the instance that has to resume the stream asks these.
 */
import type { OriginHolder } from '../common/originHolders.js';
import { isOriginHolder, rankOriginHolders } from '../common/originHolders.js';
import type { StreamOriginMessage } from '../common/peerMessage.js';
import type { StreamOrigin, StreamOriginReport } from '../common/streamOrigins.js';
import { StreamOrigins } from '../common/streamOrigins.js';
import type { VersionOpinion } from '../common/versionHistory.js';
import { findCommonVersion } from '../common/versionHistory.js';

/** Instances, beside the one that serves the stream, that are told of its origin. */
const TOLD_INSTANCES = 3;
/** Instances that are asked; more than are told, since instances may see different members of the fleet. */
const ASKED_INSTANCES = 5;
/** Time after which those that have not answered are asked again, since datagrams get lost. */
const REPEAT_MS = 60;
const QUERY_TIMEOUT_MS = 250;
/** Part of the instances that are asked, and this one, that must have replied before a stream without a record goes on. */
const MIN_REPLY_SHARE = 0.5;
/** Age up to which an instance that starts is told of origins: callers resume a stream soon after it breaks. */
const MAX_TOLD_AGE_MS = 20_000;
/** Limit of the origins in one datagram. */
const MAX_TOLD_ORIGINS = 500;

export type OriginLookup =
	| { readonly kind: 'known'; readonly origin: StreamOrigin }
	/** `hasAllReplies` tells that every instance that was asked has replied. */
	| { readonly kind: 'unknown'; readonly hasAllReplies: boolean };

export interface StreamOriginSyncParts {
	readonly listPeers: () => readonly OriginHolder[];
	readonly send: (controlAddress: string, message: StreamOriginMessage) => void;
	/** Whether this instance hears most of the fleet; the others may know of versions and streams that it does not. */
	readonly hearsMajority: () => boolean;
	/** Describes what this instance knows of the versions of a service. */
	readonly describeVersions: (service: string) => VersionOpinion;
}

interface PendingQuery {
	readonly unanswered: Set<string>;
	readonly opinions: VersionOpinion[];
	readonly settle: (lookup: OriginLookup) => void;
	readonly service: string;
	/** Number of instances that were asked. */
	readonly asked: number;
}

export class StreamOriginSync {
	private readonly origins = new StreamOrigins();
	private readonly queries = new Map<number, PendingQuery>();
	private lastQuery = 0;

	constructor(private readonly parts: StreamOriginSyncParts) {}

	/** Records the origin of a stream whose first event is about to be sent to the caller. */
	public record(attemptId: string, { service, version }: StreamOrigin): void {
		const report: StreamOriginReport = [attemptId, service, version, 0];
		this.origins.add(report, performance.now());
		const message: StreamOriginMessage = { kind: 'origins', origins: [report] };
		for (const { controlAddress } of rankOriginHolders(attemptId, this.parts.listPeers(), TOLD_INSTANCES)) {
			this.parts.send(controlAddress, message);
		}
	}

	/**
	 * Finds what began the stream that a caller resumes. If most instances that may know reply that they do not, it must have
	 * been the only version of the service, unless there were several.
	 * @param attemptId undefined if the caller does not name its attempt
	 */
	public async find(attemptId: string | undefined, service: string): Promise<OriginLookup> {
		const origin = attemptId === undefined ? undefined : this.origins.find(attemptId);
		if (origin !== undefined) {
			return { kind: 'known', origin };
		}
		const id = attemptId ?? '';
		const asked = rankOriginHolders(id, this.parts.listPeers(), ASKED_INSTANCES);
		if (asked.length === 0) {
			return this.decideOrigin(service, [this.parts.describeVersions(service)], asked.length);
		}
		return this.ask(id, service, asked);
	}

	/** Tells an instance that has just started of the origins that it is to hold. */
	public handlePeerStart(peer: OriginHolder): void {
		const peers = this.parts.listPeers();
		const origins = this.origins
			.listRecent(MAX_TOLD_AGE_MS, performance.now())
			.filter(([attemptId]) => isOriginHolder(attemptId, peer.name, peers, TOLD_INSTANCES))
			.slice(0, MAX_TOLD_ORIGINS);
		if (origins.length > 0) {
			this.parts.send(peer.controlAddress, { kind: 'origins', origins });
		}
	}

	/** Handles a message of the instance with the given control address. */
	public handleMessage(message: StreamOriginMessage, controlAddress: string): void {
		switch (message.kind) {
			case 'origins':
				for (const report of message.origins) {
					this.origins.add(report, performance.now());
				}
				return;
			case 'query':
				this.answer(message, controlAddress);
				return;
			case 'reply':
				this.handleReply(message, controlAddress);
				return;
		}
	}

	private ask(attemptId: string, service: string, asked: readonly OriginHolder[]): Promise<OriginLookup> {
		this.lastQuery += 1;
		const query = this.lastQuery;
		const message: StreamOriginMessage = { kind: 'query', query, attemptId, service };
		return new Promise((resolve) => {
			const unanswered = new Set(asked.map(({ controlAddress }) => controlAddress));
			const opinions = [this.parts.describeVersions(service)];
			const sendToUnanswered = (): void => {
				for (const controlAddress of unanswered) {
					this.parts.send(controlAddress, message);
				}
			};
			const repeatTimer = setTimeout(sendToUnanswered, REPEAT_MS);
			const timer = setTimeout(() => {
				settle(this.decideOrigin(service, opinions, asked.length));
			}, QUERY_TIMEOUT_MS);
			const settle = (lookup: OriginLookup): void => {
				clearTimeout(repeatTimer);
				clearTimeout(timer);
				this.queries.delete(query);
				resolve(lookup);
			};
			this.queries.set(query, { unanswered, opinions, settle, service, asked: asked.length });
			sendToUnanswered();
		});
	}

	private answer(
		{ query, attemptId, service }: Extract<StreamOriginMessage, { kind: 'query' }>,
		controlAddress: string,
	): void {
		const origin = this.origins.find(attemptId);
		const reply: StreamOriginMessage = {
			kind: 'reply',
			query,
			origin: origin === undefined ? null : [attemptId, origin.service, origin.version, 0],
			opinion: this.parts.describeVersions(service),
		};
		this.parts.send(controlAddress, reply);
	}

	private handleReply(
		{ query, origin, opinion }: Extract<StreamOriginMessage, { kind: 'reply' }>,
		controlAddress: string,
	): void {
		const pending = this.queries.get(query);
		if (pending === undefined) {
			return;
		}
		if (origin !== null) {
			const [, service, version] = origin;
			pending.settle({ kind: 'known', origin: { service, version } });
			return;
		}
		if (pending.unanswered.delete(controlAddress)) {
			pending.opinions.push(opinion);
		}
		if (pending.unanswered.size === 0) {
			pending.settle(this.decideOrigin(pending.service, pending.opinions, pending.asked));
		}
	}

	/** @param opinions those of this instance and of the instances that have replied */
	private decideOrigin(service: string, opinions: readonly VersionOpinion[], asked: number): OriginLookup {
		const hasMostReplies = opinions.length > MIN_REPLY_SHARE * (asked + 1) && this.parts.hearsMajority();
		const version = hasMostReplies ? findCommonVersion(opinions) : undefined;
		return version === undefined
			? { kind: 'unknown', hasAllReplies: opinions.length === asked + 1 && hasMostReplies }
			: { kind: 'known', origin: { service, version } };
	}
}
