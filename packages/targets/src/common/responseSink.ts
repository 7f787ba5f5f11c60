/** Destination of a target's response: the response to the caller. */
import type { Outcome } from '@papayawell/core';

export interface ResponseSink {
	/** Whether the response head was sent; the caller would notice a retry from then on. */
	readonly hasStarted: boolean;
	/** Sends a complete response. */
	sendComplete(
		status: number,
		headers: Readonly<Record<string, string | string[]>>,
		body: Uint8Array,
		outcome: Outcome,
		target?: string,
	): void;
	/** Starts a streamed response of unknown length. */
	startStream(status: number, headers: Readonly<Record<string, string | string[]>>, target: string): void;
	/** Writes a chunk of the body; false if the producer should wait for `onDrain` (back-pressure). */
	write(chunk: Uint8Array | string): boolean;
	onDrain(listener: () => void): void;
	/** Ends a streamed response that is complete. */
	endStream(outcome: Outcome): void;
}
