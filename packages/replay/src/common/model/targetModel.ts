/** Model of an engine or application that runs up to `capacity` requests concurrently and queues the rest. */
import type { EventQueue } from '../run/eventQueue.js';
import type { InstanceEvent, RequestEvent } from '../trace/traceEvent.js';
import type { Job } from './job.js';
import { PrefixCacheModel } from './prefixCacheModel.js';

/** Speed of the simulated engines. */
export interface EngineSpeed {
	readonly prefillTokensPerMs: number;
	/** Time between two output tokens. */
	readonly tokenMs: number;
}

export const DEFAULT_CACHE_TOKENS = 200_000;
const DEFAULT_SERVICE_MS = 50;

export class TargetModel {
	/** Requests that the older system runs on the target, outside of the routers' control. */
	public externalLoad = 0;
	public state: 'live' | 'leaving' | 'gone' = 'live';
	public joinedAtMs: number;
	private readonly running = new Set<Job>();
	private waiting: Job[] = [];
	private readonly cache: PrefixCacheModel;

	constructor(
		public readonly info: InstanceEvent,
		private readonly speed: EngineSpeed,
		private readonly eventQueue: EventQueue,
		private readonly onFinished: (job: Job) => void,
	) {
		this.cache = new PrefixCacheModel(info.cacheTokens ?? DEFAULT_CACHE_TOKENS);
		this.joinedAtMs = eventQueue.nowMs;
	}

	/** Running and waiting requests, including those of the older system. */
	public get load(): number {
		return this.running.size + this.waiting.length + this.externalLoad;
	}

	public start(job: Job): void {
		if (this.running.size + this.externalLoad >= this.info.capacity) {
			this.waiting.push(job);
			return;
		}
		this.run(job);
	}

	/** Simulates a process crash: clears the cache and returns the requests that were lost. */
	public crash(): Job[] {
		const lost = [...this.running, ...this.waiting];
		this.running.clear();
		this.waiting = [];
		this.cache.clear();
		this.state = 'gone';
		return lost;
	}

	public restore(): void {
		this.state = 'live';
		this.joinedAtMs = this.eventQueue.nowMs;
	}

	private run(job: Job): void {
		this.running.add(job);
		this.eventQueue.schedule(this.computeDuration(job), () => {
			if (this.running.delete(job)) {
				this.finish(job);
			}
		});
	}

	private finish(job: Job): void {
		const { chat, promptTokens = 0, outputTokens = 0 } = job.request;
		if (chat !== undefined) {
			this.cache.store(chat, promptTokens + outputTokens);
		}
		const next = this.waiting.shift();
		if (next !== undefined) {
			this.run(next);
		}
		this.onFinished(job);
	}

	private computeDuration(job: Job): number {
		const { chat, promptTokens = 0, outputTokens, serviceMs } = job.request;
		if (outputTokens === undefined) {
			return serviceMs ?? DEFAULT_SERVICE_MS;
		}
		job.cachedTokens = chat === undefined ? 0 : this.cache.countCachedTokens(chat, promptTokens);
		return (
			(promptTokens - job.cachedTokens) / this.speed.prefillTokensPerMs + outputTokens * this.speed.tokenMs
		);
	}
}

/** Whether the request has at-most-once semantics. */
export function isAtMostOnce(request: RequestEvent): boolean {
	return request.idempotencyKey !== undefined;
}
