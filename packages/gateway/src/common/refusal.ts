/** Status codes and `Retry-After` times of the error responses that the gateway generates itself. */

export type RefusalReason =
	| 'noConfiguration'
	/** There is no configuration yet, and the store does not respond. */
	| 'storeLost'
	| 'noRoute'
	| 'unknownKey'
	| 'missingId'
	| 'bodyTooLarge'
	| 'noTarget'
	| 'noConnection'
	| 'targetsBusy'
	/** The home regions of the route and of the customer have none in common. */
	| 'noCommonRegion'
	/** The operator has evacuated the zones of all targets of the service. */
	| 'zonesEvacuated'
	/** All targets of the service asked for a pause. */
	| 'targetsBackingOff'
	/** The service has less capacity than its callers ask for. */
	| 'capacityShort'
	/** The request would end after its deadline on every target. */
	| 'deadlineTooShort'
	/** What this instance holds for callers has reached its limit. */
	| 'memoryShort'
	| 'crashingRequest'
	/** No instance knows which version began the stream that the caller resumes. */
	| 'unknownStream'
	/** The instances that may know which version began the stream did not reply in time. */
	| 'streamNotFound'
	/** No target of the version that began the stream is left. */
	| 'versionGone'
	| 'timeoutBeforeRun'
	| 'timeout'
	| 'targetFailed'
	| 'draining';

export interface ErrorResponse {
	readonly status: number;
	/** Undefined if a retry would not help. */
	readonly retryAfterMs: number | undefined;
}

/** Targets and instances restart within a few hundred ms to a few seconds. */
const RECOVERY_RETRY_AFTER_MS = 400;
/** Outages of the store and evacuations last a few seconds or longer; callers wait at most a third of their deadline. */
const OUTAGE_RETRY_AFTER_MS = 2000;
/** Another instance can accept the request at once. */
const OTHER_INSTANCE_RETRY_AFTER_MS = 20;
/** Requests in flight finish within a few hundred ms. */
const BUSY_RETRY_AFTER_MS = 150;
/** Content that crashes targets stays quarantined for a long time. */
const CRASHING_RETRY_AFTER_MS = 30_000;
/** Share of the retry time that is randomized, so that callers do not retry simultaneously. */
const JITTER_SHARE = 0.5;

/**
 * @param jitter random number in [0, 1)
 * @param returnDelayMs time after which a retry can succeed, if it is known
 */
export function buildErrorResponse(
	reason: RefusalReason,
	jitter: number,
	returnDelayMs?: number,
): ErrorResponse {
	const addJitter = (typicalMs: number): number =>
		Math.round(typicalMs * (1 - JITTER_SHARE / 2 + JITTER_SHARE * jitter));
	switch (reason) {
		case 'noRoute':
			return { status: 404, retryAfterMs: undefined };
		case 'unknownKey':
			return { status: 401, retryAfterMs: undefined };
		case 'missingId':
			return { status: 400, retryAfterMs: undefined };
		case 'noCommonRegion':
		case 'unknownStream':
		case 'versionGone':
			return { status: 503, retryAfterMs: undefined };
		case 'bodyTooLarge':
			return { status: 413, retryAfterMs: undefined };
		case 'storeLost':
		case 'zonesEvacuated':
			return { status: 503, retryAfterMs: addJitter(OUTAGE_RETRY_AFTER_MS) };
		case 'noConfiguration':
		case 'streamNotFound':
		case 'noTarget':
			return { status: 503, retryAfterMs: addJitter(RECOVERY_RETRY_AFTER_MS) };
		case 'capacityShort':
		case 'deadlineTooShort':
		case 'targetsBackingOff':
			return { status: 503, retryAfterMs: returnDelayMs ?? addJitter(RECOVERY_RETRY_AFTER_MS) };
		case 'noConnection':
		case 'targetsBusy':
		case 'memoryShort':
		case 'timeoutBeforeRun':
			return { status: 503, retryAfterMs: addJitter(BUSY_RETRY_AFTER_MS) };
		case 'draining':
			return { status: 503, retryAfterMs: OTHER_INSTANCE_RETRY_AFTER_MS };
		case 'crashingRequest':
			return { status: 503, retryAfterMs: addJitter(CRASHING_RETRY_AFTER_MS) };
		case 'targetFailed':
			return { status: 502, retryAfterMs: undefined };
		case 'timeout':
			return { status: 504, retryAfterMs: undefined };
	}
}
