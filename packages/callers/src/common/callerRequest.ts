/** A caller's request after authentication, with its body read completely. */
import type { RequestKind } from '@papayawell/core';

/** Header that names the chat of a request. */
export const CHAT_HEADER = 'papayawell-chat';
/** Header with the caller's time-out for the request, in ms. */
export const TIMEOUT_HEADER = 'papayawell-timeout-ms';

export interface CallerRequest {
	readonly requestId: string;
	readonly customer: string;
	readonly caller: string;
	readonly kind: RequestKind;
	readonly method: string;
	/** Path without the query. */
	readonly path: string;
	/** Path with the query, as sent to the target. */
	readonly url: string;
	/** Headers to forward, with lower-case names; without hop-by-hop headers and the caller's key. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly generation: GenerationAttributes | undefined;
	/** Chat, from the `papayawell-chat` header. */
	readonly chat: string | undefined;
	/** Arrival of the request head, in ms of the monotonic clock. */
	readonly receivedAtMs: number;
	/** Deadline, in ms of the monotonic clock. */
	readonly deadlineAtMs: number;
	/** Aborts when the caller disconnects before the response is complete. */
	readonly signal: AbortSignal;
}

/** Attributes of a chat completion request that routing needs, read from its body. */
export interface GenerationAttributes {
	readonly model: string | undefined;
	readonly isStreamed: boolean;
	/** Chat, from the `prompt_cache_key` field. */
	readonly chat: string | undefined;
	/** Text of the first messages, whose KV cache an engine may already hold. */
	readonly promptPrefix: string;
	/** Upper estimate of the tokens that the request uses: prompt plus maximum output. */
	readonly estimatedTokens: number;
}
