/** Writes one response to a caller, with its outcome; a truncated response never appears complete to the caller. */
import type { ServerResponse } from 'node:http';
import type { Outcome, Problem } from '@papayawell/core';
import { OUTCOME_HEADER, REQUEST_ID_HEADER, TARGET_HEADER } from '@papayawell/core';
import { PROBLEM_MEDIA_TYPE } from '../common/problems.js';

export type ResponseHeaders = Readonly<Record<string, string | string[]>>;

export class ResponseWriter {
	private isFinished = false;
	private isEventStream = false;
	private reportedOutcome: Outcome | undefined;

	constructor(
		private readonly response: ServerResponse,
		public readonly requestId: string,
	) {}

	/** Whether the response head was sent; the status can't change any more. */
	public get hasStarted(): boolean {
		return this.response.headersSent;
	}

	/** Outcome that was reported to the caller, or undefined if none was yet. */
	public get outcome(): Outcome | undefined {
		return this.reportedOutcome;
	}

	/** Sends a complete response, with the outcome in its head. */
	public sendComplete(
		status: number,
		headers: ResponseHeaders,
		body: Uint8Array,
		outcome: Outcome,
		target?: string,
	): void {
		if (this.isFinished) {
			return;
		}
		this.isFinished = true;
		this.reportedOutcome = outcome;
		this.response.writeHead(status, {
			...headers,
			...this.makeOutcomeHeaders(outcome, target),
			'content-length': body.byteLength,
		});
		this.response.end(body);
	}

	/** Starts a streamed response; its outcome is sent in a trailer after the body. */
	public startStream(status: number, headers: ResponseHeaders, target: string): void {
		this.isEventStream = String(headers['content-type']).startsWith('text/event-stream');
		this.response.writeHead(status, {
			...headers,
			[REQUEST_ID_HEADER]: this.requestId,
			[TARGET_HEADER]: target,
			trailer: OUTCOME_HEADER,
		});
		this.response.flushHeaders();
	}

	/** Writes a chunk of the body; false if the next one should wait for `onDrain` (back-pressure). */
	public write(chunk: Uint8Array | string): boolean {
		// A disconnected caller applies no back-pressure, so that an operation which must run to its end is not blocked.
		return this.isFinished || this.response.destroyed || this.response.write(chunk);
	}

	/** Calls `listener` each time the write buffer has drained. */
	public onDrain(listener: () => void): void {
		this.response.on('drain', listener);
	}

	/** Ends a streamed response that is complete. */
	public endStream(outcome: Outcome): void {
		if (this.isFinished) {
			return;
		}
		this.isFinished = true;
		this.reportedOutcome = outcome;
		this.response.addTrailers({ [OUTCOME_HEADER]: outcome });
		this.response.end();
	}

	/**
	 * Sends a problem document. If the head was already sent, an event stream gets the problem as an `error`
	 * event, and the connection is closed without the end of the body.
	 */
	public sendProblem(problem: Problem): void {
		if (this.isFinished) {
			return;
		}
		this.isFinished = true;
		this.reportedOutcome = problem.outcome;
		const text = JSON.stringify(problem);
		if (this.response.headersSent) {
			this.closeWithError(text);
			return;
		}
		this.response.writeHead(problem.status, {
			...this.makeOutcomeHeaders(problem.outcome),
			'content-type': PROBLEM_MEDIA_TYPE,
			'content-length': Buffer.byteLength(text),
			...(problem.retryAfter === undefined ? {} : { 'retry-after': String(problem.retryAfter) }),
		});
		this.response.end(text);
	}

	private closeWithError(problemText: string): void {
		const errorEvent = this.isEventStream ? `event: error\ndata: ${problemText}\n\n` : '';
		this.response.write(errorEvent, () => this.response.destroy());
	}

	private makeOutcomeHeaders(outcome: Outcome, target?: string): Record<string, string> {
		return {
			[OUTCOME_HEADER]: outcome,
			[REQUEST_ID_HEADER]: this.requestId,
			...(target === undefined ? {} : { [TARGET_HEADER]: target }),
		};
	}
}
