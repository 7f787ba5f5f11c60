/** Relays the response of one call to a target; a truncated or foreign response is never relayed as complete. */
import { Outcome, REQUEST_ID_HEADER } from '@papayawell/core';
import type { ResponseSink } from '../common/responseSink.js';
import { EventStreamParser } from '../common/eventStream.js';
import type { TargetCall, TargetFailure, TargetHeaders, TargetListener } from '../common/targetCall.js';
import { TargetFailureKind } from '../common/targetCall.js';
import { TokenStream } from '../common/tokenStream.js';
import type { AttemptObserver, AttemptRequest, AttemptResult } from './attempt.js';

/** Responses up to this size are buffered until complete, so that the outcome can be sent in their head. */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Response headers of a target that are not forwarded to the caller. */
const DROPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'content-length',
	'keep-alive',
	'transfer-encoding',
	'trailer',
	'upgrade',
	REQUEST_ID_HEADER,
]);

export class ResponseRelay implements TargetListener {
	private readonly parser = new EventStreamParser();
	private readonly stream: TokenStream;
	private readonly bufferedChunks: Buffer[] = [];
	private bufferedBytes = 0;
	private status = 0;
	private headers: Record<string, string | string[]> = {};
	private isStreaming = false;
	private hasFraming = true;
	private failure: TargetFailure | undefined;
	private call: TargetCall | undefined;

	constructor(
		private readonly instance: string,
		private readonly request: AttemptRequest,
		private readonly sink: ResponseSink,
		private readonly observer: AttemptObserver,
		private readonly resolve: (result: AttemptResult) => void,
	) {
		this.stream = request.stream ?? new TokenStream();
	}

	/** Cancels the call when the caller disconnects, and resumes it when the sink has drained. */
	public bindCall(call: TargetCall): void {
		this.call = call;
		this.request.signal.addEventListener('abort', this.handleAbort, { once: true });
		this.sink.onDrain(() => {
			call.resume();
		});
		if (this.request.signal.aborted) {
			call.cancel();
		}
	}

	public onSending(): boolean {
		return this.observer.onSending();
	}

	public onHead(status: number, headers: TargetHeaders): void {
		const answeredRequestId = headers[REQUEST_ID_HEADER];
		if (answeredRequestId !== undefined && answeredRequestId !== this.request.requestId) {
			this.cancelResponse(TargetFailureKind.Crossed, 'The target answered another request.');
			return;
		}
		const isEventStream = String(headers['content-type']).startsWith('text/event-stream');
		if (this.sink.hasStarted && !(isEventStream && status === OK)) {
			this.cancelResponse(
				TargetFailureKind.Incomplete,
				`The target did not continue the stream: HTTP ${status}.`,
			);
			return;
		}
		this.status = status;
		this.headers = selectHeaders(headers);
		this.hasFraming = hasMessageFraming(this.request.method, status, headers);
		if (isEventStream) {
			this.startStreaming();
		}
	}

	public onData(chunk: Buffer): boolean {
		if (this.failure !== undefined) {
			return true;
		}
		this.observer.onChunk(performance.now());
		if (this.isStreaming) {
			return this.request.isTokenStream ? this.forwardEvents(chunk) : this.sink.write(chunk);
		}
		this.bufferedChunks.push(chunk);
		this.bufferedBytes += chunk.byteLength;
		if (this.bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES) {
			return this.startStreaming();
		}
		return true;
	}

	public onEnd(): void {
		const failure = this.failure ?? this.checkCompleteness();
		if (failure !== undefined) {
			this.fail(failure);
			return;
		}
		if (this.isStreaming) {
			this.sink.endStream(Outcome.Completed);
		} else {
			const body = Buffer.concat(this.bufferedChunks);
			this.sink.sendComplete(this.status, this.headers, body, Outcome.Completed, this.instance);
		}
		this.finish({ kind: 'completed', status: this.status });
	}

	public onFailure(failure: TargetFailure): void {
		this.fail(this.failure ?? failure);
	}

	/** Forwards the events that `chunk` completes; drops duplicates and stops at a gap in the event IDs. */
	private forwardEvents(chunk: Buffer): boolean {
		let canContinue = true;
		for (const event of this.parser.append(chunk)) {
			const decision = this.stream.accept(event);
			switch (decision.kind) {
				case 'pass':
					canContinue = this.sink.write(`${decision.text}\n\n`) && canContinue;
					break;
				case 'drop':
					break;
				case 'gap':
					this.cancelResponse(TargetFailureKind.Incomplete, decision.message);
					return true;
			}
		}
		if (this.parser.isOverflowing) {
			this.cancelResponse(TargetFailureKind.Incomplete, 'An event of the stream is too large.');
			return true;
		}
		return canContinue;
	}

	/** Returns a failure if the response is truncated although the connection ended without an error. */
	private checkCompleteness(): TargetFailure | undefined {
		if (this.isStreaming && this.request.isTokenStream) {
			const isComplete = this.stream.isComplete && !this.parser.hasPartialEvent;
			return isComplete ? undefined : makeIncompleteFailure('The stream ended without its end marker.');
		}
		return this.hasFraming ? undefined : makeIncompleteFailure('The answer has neither length nor end.');
	}

	/** Fails the call and discards the rest of the response. */
	private cancelResponse(kind: TargetFailureKind, message: string): void {
		this.failure = { kind, mayHaveRun: true, message };
		this.call?.cancel();
	}

	private startStreaming(): boolean {
		this.isStreaming = true;
		if (!this.sink.hasStarted) {
			this.sink.startStream(this.status, this.headers, this.instance);
		}
		return this.bufferedChunks
			.splice(0)
			.reduce((canContinue, chunk) => this.sink.write(chunk) && canContinue, true);
	}

	private fail(failure: TargetFailure): void {
		this.finish({ kind: 'failed', failure });
	}

	private finish(result: AttemptResult): void {
		this.request.signal.removeEventListener('abort', this.handleAbort);
		this.resolve(result);
	}

	private readonly handleAbort = (): void => {
		this.call?.cancel();
	};
}

function makeIncompleteFailure(message: string): TargetFailure {
	return { kind: TargetFailureKind.Incomplete, mayHaveRun: true, message };
}

/**
 * Whether the message framing shows where the body ends. Without a content length or chunked encoding the body ends
 * with the connection, and a truncated body looks complete.
 */
function hasMessageFraming(method: string, status: number, headers: TargetHeaders): boolean {
	const hasNoBody = method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED;
	return hasNoBody || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function selectHeaders(headers: TargetHeaders): Record<string, string | string[]> {
	const selected: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !DROPPED_RESPONSE_HEADERS.has(name)) {
			selected[name] = value;
		}
	}
	return selected;
}
