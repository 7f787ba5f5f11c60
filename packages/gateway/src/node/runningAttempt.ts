/** One attempt in progress, and what it occupies on its target until it ends. */
import type { TargetState } from '../common/targetState.js';
import type { AttemptResponse } from './attemptResponse.js';
import type { TargetRun } from './crashTracker.js';

export class RunningAttempt {
	public isSent = false;
	/** Whether no earlier attempt ran on the target. */
	public isFirstRunOnTarget = false;

	/** Version of the target when it got the request, whatever the list shows later. */
	public readonly version: string;
	private readonly startedAtMs = performance.now();

	/** @param prefillTokens prompt tokens that the target has yet to prefill for this attempt */
	constructor(
		public readonly target: TargetState,
		public readonly response: AttemptResponse,
		/** Undefined if the attempt is relayed: the other instance tracks what its target runs. */
		public readonly run: TargetRun | undefined,
		private prefillTokens: number,
	) {
		this.version = target.record.version;
		target.ownPrefillTokens += prefillTokens;
	}

	/** Whether another instance sends the request to a target. */
	public get isRelayed(): boolean {
		return this.run === undefined;
	}

	/** Called when the target has prefilled the prompt. */
	public releasePrefillTokens(): void {
		this.target.ownPrefillTokens -= this.prefillTokens;
		this.prefillTokens = 0;
	}

	/** Releases what the attempt occupies on the target. */
	public end(isCompleted: boolean): void {
		const nowMs = performance.now();
		this.releasePrefillTokens();
		this.target.recordRequestEnded(nowMs);
		if (isCompleted) {
			this.target.brittleness.recordEnd(nowMs - this.startedAtMs);
			this.target.statedLoad.service.recordResidence(nowMs - this.startedAtMs);
		}
	}
}
