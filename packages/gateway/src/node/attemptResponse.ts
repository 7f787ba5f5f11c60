/** Handles a target's response to one attempt: relays it, buffers it until it is complete, or discards it. */
import { BodyParts } from '../common/bodyParts.js';
import { isNoLaterEvent } from '../common/eventIds.js';
import type { ScannedEvent } from '../common/eventScanner.js';
import { EventScanner } from '../common/eventScanner.js';
import type { TargetResponseInfo } from '../common/gatewayRequest.js';
import { isNotExecutedStatus } from '../common/gatewayRequest.js';
import type { ResponseHead } from '../common/responseParser.js';
import type { CallerResponse } from './callerResponse.js';
import type { Call, CallListener } from './targetClient.js';
import type { ConnectionFailure } from './targetConnection.js';

/** A longer body of a response that is not used is not read to its end. */
const MAX_DISCARDED_BYTES = 65_536;
/** While memory is free, responses up to this size are buffered until complete, so that an attempt that breaks can be retried. */
const MAX_BUFFERED_BYTES = 262_144;

/** A longer part of an event is given up if memory is short: it cannot be sent before its end has come. */
const MAX_PARTIAL_EVENT_BYTES = 65_536;

export type AttemptFailure =
	/** No connection was established, so nothing was sent. */
	| 'unreachable'
	/** The target stated that it did not run the request. */
	| 'rejected'
	/** The address now belongs to another target. */
	| 'otherTarget'
	/** The connection broke before the response was complete. */
	| 'broken'
	/** The response is invalid or cannot be used. */
	| 'malformed'
	/** The target sent nothing for too long. */
	| 'silent';

export type AttemptResult =
	/** The complete response was sent to the caller. */
	| { readonly kind: 'delivered'; readonly status: number }
	/** A 5xx response of the target, which another attempt may replace. */
	| { readonly kind: 'failureAnswer'; readonly head: ResponseHead; readonly body: Buffer }
	| {
			readonly kind: 'failed';
			readonly failure: AttemptFailure;
			readonly mayHaveRun: boolean;
			readonly detail: string;
			/** Time in seconds, unparsed, after which a rejected request may come again; undefined if none is stated. */
			readonly retryAfter?: string | undefined;
			/** Load that the target stated when it rejected the request; undefined if it stated none. */
			readonly load?: string | undefined;
	  };

export interface AttemptResponseOptions {
	readonly response: CallerResponse;
	readonly isStream: boolean;
	/** Whether the attempt resumes a stream of which the caller already has a part. */
	readonly isResumedStream: boolean;
	/** Id of the last event that the caller has, also from an earlier request that it resumes; undefined if none is known. */
	readonly readLastEventId: () => string | undefined;
	readonly onRequestWriting: () => void;
	/** Called before an event is sent to the caller. */
	readonly onEvent: (event: ScannedEvent) => void;
	/** Called before the first part of the response is sent to the caller. */
	readonly onResponseStarted: () => void;
	readonly onResult: (result: AttemptResult) => void;
}

type BodyMode = 'head' | 'buffer' | 'events' | 'relay' | 'discard';

const REJECTED = {
	kind: 'failed',
	failure: 'rejected',
	mayHaveRun: false,
	detail: 'turned down',
} as const satisfies AttemptResult;
const OTHER_TARGET: AttemptResult = {
	kind: 'failed',
	failure: 'otherTarget',
	mayHaveRun: false,
	detail: 'another target answered at the address',
};

export class AttemptResponse implements CallListener {
	private readonly scanner = new EventScanner();
	private bodyMode: BodyMode = 'head';
	private head: ResponseHead | undefined;
	private readonly buffered = new BodyParts();
	private hasReceivedEvents = false;
	/** Result to report when the discarded response has ended. */
	private discardResult: AttemptResult | undefined;
	private call: Call | undefined;
	private isSettled = false;
	private isPaused = false;

	constructor(private readonly options: AttemptResponseOptions) {}

	public bind(call: Call): void {
		this.call = call;
	}

	public onRequestWriting(): void {
		this.options.onRequestWriting();
	}

	public onHead(head: ResponseHead, facts: TargetResponseInfo): void {
		this.head = head;
		if (facts.isMisdirected || facts.isNotRun) {
			this.dropBody(
				facts.isMisdirected ? OTHER_TARGET : { ...REJECTED, retryAfter: facts.retryAfter, load: facts.load },
			);
			return;
		}
		const isSuccess = head.status >= 200 && head.status < 300;
		if (!facts.isSigned || head.headers.has('content-encoding') || isNotExecutedStatus(head.status)) {
			this.dropBody(makeMalformedResult(`HTTP ${head.status} is not a proper answer`));
			return;
		}
		const { isStream, isResumedStream } = this.options;
		if (isResumedStream && !(isSuccess && isEventStream(head))) {
			this.dropBody(makeMalformedResult(`HTTP ${head.status} in place of the rest of the stream`));
			return;
		}
		this.bodyMode = isStream && isSuccess && isEventStream(head) ? 'events' : 'buffer';
	}

	public onBody(chunk: Buffer): void {
		switch (this.bodyMode) {
			case 'events':
				this.forwardEvents(chunk);
				return;
			case 'buffer':
				this.collectBody(chunk);
				return;
			case 'relay':
				this.write(chunk);
				return;
			case 'head':
			case 'discard':
				return;
		}
	}

	public onEnd(): void {
		const { head, options } = this;
		if (this.discardResult !== undefined || head === undefined) {
			this.report(this.discardResult ?? makeMalformedResult('the answer has no head'));
			return;
		}
		const { response } = options;
		if (this.bodyMode === 'events') {
			this.endEvents(head);
			return;
		}
		if (this.bodyMode === 'relay') {
			response.end();
			this.report({ kind: 'delivered', status: head.status });
			return;
		}
		const body = this.buffered.take();
		if (head.status >= 500) {
			this.report({ kind: 'failureAnswer', head, body });
			return;
		}
		options.onResponseStarted();
		response.sendComplete(head, body);
		this.report({ kind: 'delivered', status: head.status });
	}

	public onFailure(failure: ConnectionFailure, mayHaveRun: boolean, detail: string): void {
		this.report(this.discardResult ?? { kind: 'failed', failure, mayHaveRun, detail });
	}

	/** Cancels the attempt; no result is reported afterwards. */
	public cancel(): void {
		this.isSettled = true;
		this.options.response.recordBuffered(0);
		this.call?.cancel();
	}

	private dropBody(result: AttemptResult): void {
		this.bodyMode = 'discard';
		this.discardResult = result;
		const framing = this.head?.framing;
		const isShort =
			framing?.kind === 'none' || (framing?.kind === 'length' && framing.length <= MAX_DISCARDED_BYTES);
		if (!isShort) {
			this.call?.cancel();
			this.report(result);
		}
	}

	private collectBody(chunk: Buffer): void {
		this.buffered.add(chunk);
		const mayBuffer = this.options.response.recordBuffered(this.buffered.bytes);
		if ((mayBuffer && this.buffered.bytes <= MAX_BUFFERED_BYTES) || this.head === undefined) {
			return;
		}
		this.bodyMode = 'relay';
		this.options.onResponseStarted();
		this.options.response.start(this.head);
		this.write(this.buffered.take());
	}

	private forwardEvents(chunk: Buffer): void {
		for (const event of this.scanner.add(chunk)) {
			this.hasReceivedEvents = true;
			if (event.id !== undefined && this.isDuplicateEvent(event.id)) {
				continue;
			}
			this.startStream();
			this.options.onEvent(event);
			this.write(event.bytes);
		}
		const partialBytes = this.scanner.rest.length;
		const mayHold =
			this.options.response.recordBuffered(partialBytes) || partialBytes <= MAX_PARTIAL_EVENT_BYTES;
		if (this.scanner.isOverflowing || !mayHold) {
			this.call?.cancel();
			this.report(makeMalformedResult('an event is too long'));
		}
	}

	/** A resumed stream may repeat events that the caller already has. */
	private isDuplicateEvent(id: string): boolean {
		const last = this.options.readLastEventId();
		return last !== undefined && isNoLaterEvent(id, last);
	}

	private endEvents(head: ResponseHead): void {
		if (this.scanner.hasPartialEvent) {
			this.report({
				kind: 'failed',
				failure: 'broken',
				mayHaveRun: true,
				detail: 'the last event is torn',
			});
			return;
		}
		if (head.framing.kind === 'untilClose' && !this.hasReceivedEvents && !this.options.response.hasStarted) {
			// Nothing but its events tells a whole stream without a length from one that was broken off.
			this.report({
				kind: 'failed',
				failure: 'broken',
				mayHaveRun: true,
				detail: 'the stream ended before its first event',
			});
			return;
		}
		this.startStream();
		if (this.scanner.rest.length > 0) {
			this.write(this.scanner.rest);
		}
		this.options.response.end();
		this.report({ kind: 'delivered', status: head.status });
	}

	private startStream(): void {
		if (!this.options.response.hasStarted && this.head !== undefined) {
			this.options.onResponseStarted();
			this.options.response.startEvents(this.head);
		}
	}

	private write(chunk: Buffer): void {
		if (this.options.response.write(chunk) || this.isPaused) {
			return;
		}
		this.isPaused = true;
		this.call?.pause();
		this.options.response.onDrain(() => {
			this.isPaused = false;
			this.call?.resume();
		});
	}

	private report(result: AttemptResult): void {
		if (this.isSettled) {
			return;
		}
		this.isSettled = true;
		if (result.kind === 'failed') {
			this.options.response.recordBuffered(0);
		}
		this.options.onResult(result);
	}
}

function isEventStream(head: ResponseHead): boolean {
	return head.headers.get('content-type')?.startsWith('text/event-stream') ?? false;
}

function makeMalformedResult(detail: string): AttemptResult {
	return { kind: 'failed', failure: 'malformed', mayHaveRun: true, detail };
}
