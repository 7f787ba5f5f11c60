/** Messages by which the instances tell and ask one another of the origins of streams. Their fields go over the wire. */
import type { StreamOriginReport } from './streamOrigins.js';
import { isStreamOriginReport } from './streamOrigins.js';
import type { VersionOpinion } from './versionHistory.js';

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

export function encodeStreamOriginMessage(message: StreamOriginMessage): Buffer {
	return Buffer.from(JSON.stringify(message));
}

/** Returns undefined if the bytes hold no valid message. */
export function decodeStreamOriginMessage(bytes: Buffer): StreamOriginMessage | undefined {
	let value: unknown;
	try {
		value = JSON.parse(bytes.toString('utf8'));
	} catch {
		// The caller logs the failure.
		return undefined;
	}
	return isStreamOriginMessage(value) ? value : undefined;
}

function isStreamOriginMessage(value: unknown): value is StreamOriginMessage {
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
