/** Encodes and decodes the gateway's own calls to engines, as the deployment's engines define them. */
import type { PromptPart } from './gatewayRequest.js';

export interface EngineCodec {
	/** Path of the call that lists the prompt parts in an engine's KV cache. */
	readonly cacheListPath: string;
	/** Returns undefined if the body cannot be decoded. */
	decodeCacheList(body: string): readonly PromptPart[] | undefined;
}
