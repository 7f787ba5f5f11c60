/** Continuous batching: a step generates one token per running sequence, and takes longer for larger batches. */

/** Timing and capacity of an engine. */
export interface BatchModel {
	/** Maximum number of concurrent sequences. */
	readonly capacity: number;
	/** Duration of a step with one sequence, in ms. */
	readonly tokenMs: number;
	/** Fraction of `tokenMs` that each further sequence adds to a step. */
	readonly slowdownPerSequence: number;
	/** Prefill time of one prompt token that is not cached, in ms. */
	readonly prefillMsPerToken: number;
}

/** One generation. `onToken` is called for each position from `position` (inclusive) to `end` (exclusive). */
export interface Sequence {
	readonly priority: number;
	readonly prefillTokens: number;
	position: number;
	readonly end: number;
	onToken(position: number): void;
	onFinish(): void;
}

interface RunningSequence {
	readonly sequence: Sequence;
	/** End of the prefill, on the monotonic clock. */
	readonly readyAtMs: number;
}

export class BatchLoop {
	private readonly running = new Set<RunningSequence>();
	private readonly waiting: Sequence[] = [];
	private externalRequests = 0;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly model: BatchModel,
		private readonly onDidChangeLoad: () => void,
	) {}

	/** Number of running sequences, including the external requests. */
	public get runningCount(): number {
		return this.running.size + this.externalRequests;
	}

	public get waitingCount(): number {
		return this.waiting.length;
	}

	/** Sets the number of requests that another system runs on this engine; they take up capacity. */
	public setExternalRequests(count: number): void {
		this.externalRequests = count;
		this.onDidChangeLoad();
	}

	/** Enqueues a sequence behind those of the same or a more urgent priority. */
	public enqueue(sequence: Sequence): void {
		const at = this.waiting.findIndex((other) => other.priority > sequence.priority);
		this.waiting.splice(at === -1 ? this.waiting.length : at, 0, sequence);
		this.admitWaiting();
		this.onDidChangeLoad();
		this.scheduleStep();
	}

	/** Removes a sequence from the batch or the queue. */
	public withdraw(sequence: Sequence): void {
		const at = this.waiting.indexOf(sequence);
		if (at !== -1) {
			this.waiting.splice(at, 1);
		}
		for (const item of this.running) {
			if (item.sequence === sequence) {
				this.running.delete(item);
			}
		}
		this.admitWaiting();
		this.onDidChangeLoad();
	}

	public stop(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.running.clear();
		this.waiting.length = 0;
	}

	private admitWaiting(): void {
		while (this.waiting.length > 0 && this.runningCount < this.model.capacity) {
			const sequence = this.waiting.shift();
			if (sequence !== undefined) {
				this.running.add({ sequence, readyAtMs: performance.now() + this.computePrefillMs(sequence) });
			}
		}
	}

	private computePrefillMs(sequence: Sequence): number {
		return sequence.prefillTokens * this.model.prefillMsPerToken;
	}

	private scheduleStep(): void {
		if (this.timer !== undefined || this.running.size + this.waiting.length === 0) {
			return;
		}
		const otherSequences = Math.max(0, this.runningCount - 1);
		const stepMs = this.model.tokenMs * (1 + this.model.slowdownPerSequence * otherSequences);
		this.timer = setTimeout(() => {
			this.timer = undefined;
			this.runStep();
			this.scheduleStep();
		}, stepMs);
	}

	private runStep(): void {
		const nowMs = performance.now();
		for (const item of [...this.running]) {
			if (item.readyAtMs <= nowMs && this.running.has(item)) {
				this.advance(item);
			}
		}
		this.admitWaiting();
		this.onDidChangeLoad();
	}

	private advance(item: RunningSequence): void {
		const { sequence } = item;
		if (sequence.position < sequence.end) {
			sequence.position += 1;
			sequence.onToken(sequence.position - 1);
		}
		if (sequence.position >= sequence.end && this.running.delete(item)) {
			sequence.onFinish();
		}
	}
}
