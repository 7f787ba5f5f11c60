/** Messages that an instance sends to another beside its state, once each. Their fields go over the wire. */
import type { StreamOriginReport } from './streamOrigins.js';
import { isStreamOriginReport } from './streamOrigins.js';
import type { VersionOpinion } from './versionHistory.js';

/** Tells that a brittle target rejected a request for want of room. */
export interface RejectionMessage {
	readonly kind: 'rejection';
	readonly target: string;
	/** Start of the target's process in epoch ms. */
	readonly startedAtMs: number;
	/** Requests that the target may have to reject in a second. */
	readonly rejectionsPerSecond: number;
	/** Requests that the target held then; undefined if it does not tell, and from instances of an older version. */
	readonly held?: number | undefined;
}

/** A sign of life between two states, in fleets in which states come seldom. */
export interface HeartbeatMessage {
	readonly kind: 'heartbeat';
	readonly name: string;
	readonly incarnation: string;
	readonly isServing: boolean;
}

/** Tells that a target has stated that it is cold. */
export interface ColdTargetMessage {
	readonly kind: 'cold';
	readonly target: string;
	/** Start of the target's process in epoch ms. */
	readonly startedAtMs: number;
	/** Time for which the target stays cold, in ms. */
	readonly leftMs: number;
}

/** Tells that the sender could open no connection to a target. */
export interface UnreachableTargetMessage {
	readonly kind: 'unreachable';
	readonly target: string;
	/** Start of the target's process in epoch ms. */
	readonly startedAtMs: number;
}

/** Tells that a prompt was sent to an engine that had little of its shared part cached. */
export interface PlacementMessage {
	readonly kind: 'placement';
	readonly target: string;
	/** Start of the engine's process in epoch ms. */
	readonly startedAtMs: number;
	/** Shared tokens that the engine has to prefill. */
	readonly prefillTokens: number;
	/** Alternating hash and token count of each shared part. */
	readonly links: readonly number[];
}

export type PeerMessage =
	| StreamOriginMessage
	| RejectionMessage
	| HeartbeatMessage
	| ColdTargetMessage
	| UnreachableTargetMessage
	| PlacementMessage;

/** Messages by which instances tell and ask one another of the origins of streams. */
export type StreamOriginMessage =
	| { readonly kind: 'origins'; readonly origins: readonly StreamOriginReport[] }
	| {
			readonly kind: 'query';
			readonly query: number;
			readonly attemptId: string;
			readonly service: string;
	  }
	/** `origin` is null if the instance does not know it. */
	| {
			readonly kind: 'reply';
			readonly query: number;
			readonly origin: StreamOriginReport | null;
			readonly opinion: VersionOpinion;
	  };

export function encodePeerMessage(message: PeerMessage): Buffer {
	return Buffer.from(JSON.stringify(message));
}

/** Returns undefined if the bytes hold no valid message. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
	let value: unknown;
	try {
		value = JSON.parse(bytes.toString('utf8'));
	} catch {
		// The caller logs the failure.
		return undefined;
	}
	return isPeerMessage(value) ? value : undefined;
}

function isPeerMessage(value: unknown): value is PeerMessage {
	const message = (value ?? {}) as Readonly<Record<string, unknown>>;
	switch (message.kind) {
		case 'origins':
			return Array.isArray(message.origins) && message.origins.every(isStreamOriginReport);
		case 'query':
			return (
				Number.isSafeInteger(message.query) &&
				typeof message.attemptId === 'string' &&
				typeof message.service === 'string'
			);
		case 'reply':
			return (
				Number.isSafeInteger(message.query) &&
				(message.origin === null || isStreamOriginReport(message.origin)) &&
				isVersionOpinion(message.opinion)
			);
		case 'heartbeat':
			return (
				typeof message.name === 'string' &&
				typeof message.incarnation === 'string' &&
				typeof message.isServing === 'boolean'
			);
		case 'rejection':
			return (
				typeof message.target === 'string' &&
				Number.isSafeInteger(message.startedAtMs) &&
				typeof message.rejectionsPerSecond === 'number' &&
				(message.held === undefined || (Number.isSafeInteger(message.held) && Number(message.held) >= 0))
			);
		case 'cold':
			return (
				typeof message.target === 'string' &&
				Number.isSafeInteger(message.startedAtMs) &&
				Number.isSafeInteger(message.leftMs) &&
				Number(message.leftMs) >= 0
			);
		case 'unreachable':
			return typeof message.target === 'string' && Number.isSafeInteger(message.startedAtMs);
		case 'placement':
			return (
				typeof message.target === 'string' &&
				Number.isSafeInteger(message.startedAtMs) &&
				Number.isSafeInteger(message.prefillTokens) &&
				Number(message.prefillTokens) >= 0 &&
				Array.isArray(message.links) &&
				message.links.every((item) => Number.isSafeInteger(item) && Number(item) >= 0)
			);
		default:
			return false;
	}
}

function isVersionOpinion(value: unknown): value is VersionOpinion {
	const opinion = (value ?? {}) as Readonly<Record<string, unknown>>;
	return (
		opinion.kind === 'several' ||
		opinion.kind === 'unknown' ||
		(opinion.kind === 'sole' && typeof opinion.version === 'string')
	);
}
