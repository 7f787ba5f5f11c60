/** Input and result of the choice of a target. */
import type { PromptChain } from './promptChain.js';
import type { TargetState } from './targetState.js';

export interface PlacementRequest {
	readonly service: string;
	/** The prompt for which cached prefixes count; empty if the choice does not depend on caches. */
	readonly prompt: PromptChain;
	/** Latency objective: time to the response or its first event, in ms. */
	readonly objectiveMs: number;
	/** Whether cached prompts can be fetched from other targets. */
	readonly hasCacheTransfer: boolean;
	/** Targets that must not be chosen. */
	readonly excluded: ReadonlySet<string>;
	/** The only targets that may be chosen; undefined if the request may run on any. */
	readonly allowed: ReadonlySet<string> | undefined;
	/** Version of the software that the target must have; undefined if any may serve. */
	readonly version: string | undefined;
	/** Regions in which the request may reach targets; undefined if any. */
	readonly regions?: ReadonlySet<string> | undefined;
}

export type PlacementReason =
	/** The target has the most of the prompt cached, or was selected by the hash of its prefix. */
	| 'cached'
	/** A target with more of the prompt cached was passed over, for example at its load limit. */
	| 'overflow'
	| 'leastLoaded'
	/** No healthy target was left; an unhealthy one may have recovered. */
	| 'lastResort'
	/** Another instance sends the request to a target, since this one reaches none. */
	| 'relay';

export interface Placement {
	readonly target: TargetState;
	readonly reason: PlacementReason;
	/** Mean load of the targets of the service that can be reached. */
	readonly meanLoad: number;
	/** Tokens of the prompt that the target probably has cached. */
	readonly cachedTokens: number;
	/** Target from which to fetch more of the prompt's KV cache. */
	readonly cacheSource: TargetState | undefined;
}
