/**
 * One attempt to run a non-idempotent operation. Decides, immediately before the first byte is sent, whether
 * sending is still allowed. Reads no clock itself: callers pass in the readings.
 */

/**
 * One instant as two clocks show it, because neither is reliable alone: the monotonic clock may stop while the
 * machine is suspended, and the wall clock may be set forward or back.
 */
export interface ClockReading {
	/** `performance.now()`, ms. */
	readonly monotonicMs: number;
	/** `Date.now()`, ms. */
	readonly epochMs: number;
}

export type AttemptState =
	/** The write-ahead record is being written; nothing may be sent. */
	| 'recording'
	/** The record is confirmed and nothing has been sent. */
	| 'recorded'
	/** Bytes may have reached a target. */
	| 'sent'
	/** Withdrawn or too late before anything was sent; nothing may be sent any more. Final. */
	| 'fenced'
	/** The complete response was received. Final. */
	| 'completed';

export interface AttemptLimits {
	/** Period after the start of the attempt within which it may be sent, in ms. */
	readonly dispatchWindowMs: number;
	/** The request's deadline on the monotonic clock. */
	readonly deadlineMs: number;
}

export class AtMostOnceAttempt {
	private currentState: AttemptState = 'recording';

	/** @param startedAt read before the first write of the record is sent */
	constructor(
		public readonly id: string,
		private readonly startedAt: ClockReading,
		private readonly limits: AttemptLimits,
	) {}

	public get state(): AttemptState {
		return this.currentState;
	}

	public get mayHaveRun(): boolean {
		return this.currentState === 'sent' || this.currentState === 'completed';
	}

	public get deadlineMs(): number {
		return this.limits.deadlineMs;
	}

	/** Marks the record as confirmed. Returns false if the attempt was withdrawn in the meantime. */
	public noteRecorded(): boolean {
		if (this.currentState !== 'recording') {
			return false;
		}
		this.currentState = 'recorded';
		return true;
	}

	/**
	 * Called immediately before the first byte is sent; returns whether sending is allowed. A refusal is
	 * final.
	 */
	public tryDispatch(now: ClockReading): boolean {
		if (this.currentState !== 'recorded') {
			return false;
		}
		if (this.isTooLateToDispatch(now)) {
			this.currentState = 'fenced';
			return false;
		}
		this.currentState = 'sent';
		return true;
	}

	/**
	 * Marks the attempt as not sent, such as when the target refused the connection, so that another target
	 * may be tried.
	 */
	public noteNothingSent(): void {
		if (this.currentState === 'sent') {
			this.currentState = 'recorded';
		}
	}

	/** Rules out any later sending. Returns false if bytes may have been sent already. */
	public withdraw(): boolean {
		if (this.mayHaveRun) {
			return false;
		}
		this.currentState = 'fenced';
		return true;
	}

	public noteCompleted(): void {
		if (this.currentState === 'sent') {
			this.currentState = 'completed';
		}
	}

	/**
	 * A wall clock that was set back by more than the window cannot show the elapsed time, so that counts as
	 * too late.
	 */
	private isTooLateToDispatch(now: ClockReading): boolean {
		const { dispatchWindowMs, deadlineMs } = this.limits;
		const epochElapsedMs = Math.abs(now.epochMs - this.startedAt.epochMs);
		const monotonicElapsedMs = now.monotonicMs - this.startedAt.monotonicMs;
		return (
			epochElapsedMs > dispatchWindowMs ||
			monotonicElapsedMs > dispatchWindowMs ||
			now.monotonicMs >= deadlineMs
		);
	}
}
