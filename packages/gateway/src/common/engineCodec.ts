/** Calls to an engine beside callers' requests, translated for one deployment. */
import type { PromptPart } from './gatewayRequest.js';

export interface EngineCodec {
	/** Path of the call that lists what an engine has cached. */
	readonly cacheListPath: string;
	/** Undefined if the body can't be read. */
	decodeCacheList(body: string): readonly PromptPart[] | undefined;
}
