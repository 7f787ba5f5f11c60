/** State of one request in the simulated fleet. */
import type { RequestEvent } from '../trace/traceEvent.js';
import type { RouterModel } from './routerModel.js';
import type { TargetModel } from './targetModel.js';

const NONE: ReadonlySet<string> = new Set();

export class Job {
	/** Targets on which an attempt failed, excluded from further attempts. */
	public excluded: ReadonlySet<string> = NONE;
	public target: TargetModel | undefined;
	public sentAtMs = 0;
	public queuedMs = 0;
	/** Whether the request went to a target other than the first choice of its ranking. */
	public isFallbackPlacement = false;
	/** Prompt tokens that were in the engine's prefix cache. */
	public cachedTokens = 0;

	constructor(
		public readonly request: RequestEvent,
		public readonly router: RouterModel,
		public readonly arrivedAtMs: number,
	) {}

	/** Excludes the target on which an attempt failed from the next attempts. */
	public addExcludedTarget(instance: string): void {
		this.excluded = new Set([...this.excluded, instance]);
	}
}
