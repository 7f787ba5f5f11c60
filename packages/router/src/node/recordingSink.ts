/** Forwards an answer and stores it for the record of a non-idempotent operation. */
import type { Outcome, StoredResponse } from '@papayawell/core';
import type { ResponseSink } from '@papayawell/targets';

export class RecordingSink implements ResponseSink {
	private stored: StoredResponse | undefined;

	constructor(private readonly sink: ResponseSink) {}

	public get hasStarted(): boolean {
		return this.sink.hasStarted;
	}

	/** The forwarded answer; without its body if it was streamed. */
	public get answer(): StoredResponse | undefined {
		return this.stored;
	}

	public sendComplete(
		status: number,
		headers: Readonly<Record<string, string | string[]>>,
		body: Uint8Array,
		outcome: Outcome,
		target?: string,
	): void {
		this.stored = { status, contentType: readContentType(headers), body: Buffer.from(body).toString('utf8') };
		this.sink.sendComplete(status, headers, body, outcome, target);
	}

	public startStream(
		status: number,
		headers: Readonly<Record<string, string | string[]>>,
		target: string,
	): void {
		this.stored = { status, contentType: readContentType(headers) };
		this.sink.startStream(status, headers, target);
	}

	public write(chunk: Uint8Array | string): boolean {
		return this.sink.write(chunk);
	}

	public onDrain(listener: () => void): void {
		this.sink.onDrain(listener);
	}

	public endStream(outcome: Outcome): void {
		this.sink.endStream(outcome);
	}
}

function readContentType(headers: Readonly<Record<string, string | string[]>>): string {
	return String(headers['content-type'] ?? 'application/octet-stream');
}
