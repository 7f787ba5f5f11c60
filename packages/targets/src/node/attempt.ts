/** One attempt at a request: sends it to one target and relays the response to the caller. */
import type { TargetInstance } from '@papayawell/core';
import { REQUEST_ID_HEADER } from '@papayawell/core';
import type { ResponseSink } from '../common/responseSink.js';
import type { TargetFailure, TargetRequest } from '../common/targetCall.js';
import type { TokenStream } from '../common/tokenStream.js';
import { ResponseRelay } from './responseRelay.js';
import type { TargetClient } from './targetClient.js';

export interface AttemptRequest extends TargetRequest {
	readonly requestId: string;
	/** Whether the response is a streamed chat completion, which ends with the `[DONE]` marker. */
	readonly isTokenStream: boolean;
	/** Tracks a streamed chat completion across its attempts. Absent: an interrupted stream is not resumed. */
	readonly stream?: TokenStream;
	readonly signal: AbortSignal;
}

/** Receives the progress of an attempt. */
export interface AttemptObserver {
	/** Called right before the first byte is written. False: don't write it; the attempt fails as not run. */
	onSending(): boolean;
	/** A chunk of the response body arrived, at `nowMs` of the monotonic clock. */
	onChunk(nowMs: number): void;
}

export type AttemptResult =
	| { readonly kind: 'completed'; readonly status: number }
	| { readonly kind: 'failed'; readonly failure: TargetFailure };

/** Runs one attempt; resolves when the response is complete or the attempt has failed. */
export function runAttempt(
	client: TargetClient,
	target: TargetInstance,
	request: AttemptRequest,
	sink: ResponseSink,
	observer: AttemptObserver,
): Promise<AttemptResult> {
	return new Promise((resolve) => {
		const relay = new ResponseRelay(target.instance, request, sink, observer, resolve);
		relay.bindCall(client.send(target.origin, withRequestId(request), relay));
	});
}

function withRequestId(request: AttemptRequest): TargetRequest {
	return { ...request, headers: { ...request.headers, [REQUEST_ID_HEADER]: request.requestId } };
}
