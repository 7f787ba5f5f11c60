/** One call to a target: its request, its events and its kinds of failure. */

export type TargetHeaders = Readonly<Record<string, string | string[] | undefined>>;

export interface TargetRequest {
	readonly method: string;
	/** Path with the query. */
	readonly url: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	/** Time-out for the response head and between two chunks of the response body, in ms. */
	readonly idleTimeoutMs: number;
}

export const TargetFailureKind = {
	/** The connection was refused or could not be established in time. */
	Unreachable: 'unreachable',
	/** The connection broke during the call, for example because the target crashed. */
	Broken: 'broken',
	/** The response ended early, or a part of it is missing. */
	Incomplete: 'incomplete',
	/** The response belongs to another request and was discarded. */
	Crossed: 'crossed',
	/** The target sent nothing within the idle time-out. */
	Timeout: 'timeout',
	/** The router cancelled the call. */
	Cancelled: 'cancelled',
} as const;
export type TargetFailureKind = (typeof TargetFailureKind)[keyof typeof TargetFailureKind];

export interface TargetFailure {
	readonly kind: TargetFailureKind;
	/** Whether a byte of the request may have reached the target. */
	readonly mayHaveRun: boolean;
	readonly message: string;
}

/** Receives the events of a call, in the order below; exactly one of `onEnd` and `onFailure` is called, last. */
export interface TargetListener {
	/** Called right before the first byte of the request is written. False: don't write it; the call fails. */
	onSending(): boolean;
	onHead(status: number, headers: TargetHeaders): void;
	/** False: deliver no further chunks until `resume` is called (back-pressure). */
	onData(chunk: Buffer): boolean;
	onEnd(): void;
	onFailure(failure: TargetFailure): void;
}

/** A call in flight. */
export interface TargetCall {
	resume(): void;
	cancel(): void;
}
