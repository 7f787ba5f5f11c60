/** A caller's request and a target's response, independent of the headers that a deployment uses for them. */

/**
 * One part of a prompt. Requests whose prompts begin with the same parts can reuse the KV cache of that
 * prefix.
 */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

export interface GatewayRequest {
	/** Identifies this attempt of the caller; responses carry it. */
	readonly attemptId: string;
	readonly method: string;
	/** Path and query as received. */
	readonly url: string;
	/** Headers that are forwarded to the target unchanged: alternating names and values. */
	readonly forwardedHeaders: readonly string[];
	/** In ms from the arrival of the request; undefined if the caller set none. */
	readonly deadlineMs: number | undefined;
	/** Parts of the prompt in order; the last one is specific to the request. Empty if there is no prompt. */
	readonly prompt: readonly PromptPart[];
	/** Event after which the caller resumes a stream; undefined to start at the beginning. */
	readonly lastEventId: string | undefined;
	/** The caller's attempt that brought the first event of the stream that it resumes; undefined if it names none. */
	readonly resumedAttemptId: string | undefined;
}

/** Details that the gateway adds to a request when it dispatches it to a target. */
export interface DispatchDetails {
	/** Id of the intended target; a different target at the same address rejects the request. */
	readonly target: string;
	readonly remainingMs: number;
	readonly customer: string | undefined;
	readonly priority: number;
	/** Event after which the target resumes the stream. */
	readonly resumeAfterEventId: string | undefined;
	/** Address of an engine from which to fetch more of the prompt's KV cache. */
	readonly cacheSourceAddress: string | undefined;
}

/** Details that the gateway adds to a request when another instance is to dispatch it. */
export interface RelayDetails {
	readonly remainingMs: number;
	readonly apiKey: string | undefined;
	/** Event after which the stream is resumed. */
	readonly resumeAfterEventId: string | undefined;
	/** The caller's attempt that brought the first event of the stream. */
	readonly resumedAttemptId: string | undefined;
}

/** Statements in the head of a target's response. */
export interface TargetResponseInfo {
	/** The attempt to which the target responds; undefined if the response names none. */
	readonly attemptId: string | undefined;
	/**
	 * Whether the response carries the target's signature; without it a response is not accepted as a
	 * success.
	 */
	readonly isSigned: boolean;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether a different target now has the address. */
	readonly isMisdirected: boolean;
	/** Whether the target announces that it leaves. */
	readonly isLeaving: boolean;
	/** Requests a second, unparsed, that the target takes from the whole fleet; undefined if it names no limit. */
	readonly requestLimit: string | undefined;
	/**
	 * Requests that the target may have to reject in a second for want of room before it fails, unparsed; undefined unless
	 * it says that it is brittle.
	 */
	readonly brittleness: string | undefined;
	/** Time for which the target stays cold in ms, unparsed; undefined if it does not tell. */
	readonly coldTime: string | undefined;
	/** Running requests, waiting requests and slots of the target, unparsed; undefined if it does not tell. */
	readonly load: string | undefined;
	/** Stated time in seconds, unparsed, in which the target wants no further request; undefined if it states none. */
	readonly retryAfter: string | undefined;
}

/** Whether a status tells a caller that the request has not run and will not. */
export function isNotExecutedStatus(status: number): boolean {
	return status === 408 || status === 421 || status === 429 || status === 503;
}

/** Translates between the headers of a deployment and the gateway's types. */
export interface HeaderCodec {
	/** Reads the caller's API key, which is not part of the request because it is not forwarded. */
	readApiKey(headers: NodeJS.Dict<string | string[]>): string | undefined;
	readRequest(method: string, url: string, rawHeaders: readonly string[]): GatewayRequest;
	/** Builds the headers of a request to a target: alternating names and values. */
	buildDispatchHeaders(request: GatewayRequest, details: DispatchDetails): string[];
	/** Builds the headers of a request to another instance, which reads them as a caller's. */
	buildRelayedHeaders(request: GatewayRequest, details: RelayDetails): string[];
	readResponse(status: number, headers: ReadonlyMap<string, string>): TargetResponseInfo;
	/** Whether a header of a target's response is forwarded to the caller. */
	isForwardedToCaller(name: string): boolean;
	/** Builds the headers of a response that the gateway generates itself. */
	buildGatewayResponseHeaders(attemptId: string): Record<string, string>;
}
