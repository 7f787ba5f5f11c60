/** Builds the headers with which a request is sent to a target or relayed to another instance. */
import { buildRelayHeaders } from '../common/relayHeaders.js';
import type { Placement } from '../common/placement.js';
import type { ExchangeInput, ExchangeParts } from './exchangeParts.js';

/** What has become of a request so far. */
export interface RequestProgress {
	readonly remainingMs: number;
	readonly priority: number;
	/** Event after which the stream is resumed; undefined to start at the beginning. */
	readonly resumeAfterEventId: string | undefined;
	/** Whether the caller has got events of the stream from this instance. */
	readonly hasForwardedEvents: boolean;
	/** Targets on which the request ran or may have run. */
	readonly usedTargets: readonly string[];
}

/** Returns alternating names and values. */
export function buildOutgoingHeaders(
	{ codec, self }: ExchangeParts,
	{ request, customer, apiKey }: ExchangeInput,
	{ target, cacheSource, reason }: Placement,
	progress: RequestProgress,
): readonly string[] {
	const { remainingMs, priority, resumeAfterEventId, hasForwardedEvents, usedTargets } = progress;
	if (reason === 'relay') {
		const resumedAttemptId = hasForwardedEvents ? request.attemptId : undefined;
		const details = { remainingMs, apiKey, resumeAfterEventId, resumedAttemptId };
		return [...codec.buildRelayedHeaders(request, details), ...buildRelayHeaders(self, usedTargets)];
	}
	return codec.buildDispatchHeaders(request, {
		target: target.record.id,
		remainingMs,
		customer: customer?.name,
		priority,
		cacheSourceAddress: cacheSource?.record.address,
		resumeAfterEventId,
	});
}
