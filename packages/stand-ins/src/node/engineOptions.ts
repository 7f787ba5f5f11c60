/** Options and log entries of the engine stand-in. */
import type { BatchModel } from './batchLoop.js';
import type { CacheEventOptions } from './cacheEventStream.js';
import type { StandInOptions } from './standInServer.js';

export interface EngineStandInOptions extends StandInOptions {
	readonly batch?: Partial<BatchModel>;
	/** Size of the prefix cache in tokens. */
	readonly cacheTokens?: number;
	/** Delay with which `/metrics` reports the load, in ms. */
	readonly loadReportLagMs?: number;
	readonly cacheEvents?: Partial<CacheEventOptions>;
	/** Period in which a stream can be resumed after its connection has closed, in ms. */
	readonly resumeWindowMs?: number;
	/** Whether orders with a stale fencing token are refused. */
	readonly checksFencing?: boolean;
	/** Delay between the arrival of a request with a crash marker and the crash, in ms. */
	readonly crashDelayMs?: number;
}

export interface EngineSettings {
	readonly batch: BatchModel;
	readonly cacheTokens: number;
	readonly loadReportLagMs: number;
	readonly cacheEvents: CacheEventOptions;
	readonly resumeWindowMs: number;
	readonly checksFencing: boolean;
	readonly crashDelayMs: number;
}

const DEFAULT_BATCH: BatchModel = {
	capacity: 32,
	tokenMs: 4,
	slowdownPerSequence: 0.03,
	prefillMsPerToken: 0.02,
};

/** Applies the defaults. */
export function resolveEngineSettings(options: EngineStandInOptions): EngineSettings {
	return {
		batch: { ...DEFAULT_BATCH, ...options.batch },
		cacheTokens: options.cacheTokens ?? 200_000,
		loadReportLagMs: options.loadReportLagMs ?? 200,
		cacheEvents: { delayMs: 300, dropEvery: 0, ...options.cacheEvents },
		resumeWindowMs: options.resumeWindowMs ?? 3_000,
		checksFencing: options.checksFencing ?? true,
		crashDelayMs: options.crashDelayMs ?? 20,
	};
}

/** A state change of a generation. */
export interface EngineLogEntry {
	/** Epoch milliseconds. */
	readonly atMs: number;
	readonly event: 'started' | 'resumed' | 'disconnected' | 'finished';
	readonly requestId: string;
	/** See `hashBody`. */
	readonly bodyDigest: string;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly priority: number;
	/** Position after the last token that has been generated. */
	readonly answerTokens: number;
}
