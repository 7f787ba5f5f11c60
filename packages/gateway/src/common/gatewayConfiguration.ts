/** The configuration of the gateway: routes, services, customers and limits on callers' requests. */

import type { ColdStart } from './targetColdness.js';

/** Whether a request may run more than once, and whether its response is a stream. */
export const RequestKind = {
	Idempotent: 'idempotent',
	NonIdempotent: 'nonIdempotent',
	/** An event stream; idempotent only if the route is resumable. */
	Stream: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

export interface WeightedService {
	readonly service: string;
	/** Share of the route's requests, relative to the weights of its other services. */
	readonly weight: number;
}

export interface Route {
	readonly name: string;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RequestKind;
	/** Whether an interrupted stream may be resumed on another target after its last event. */
	readonly isResumable: boolean;
	readonly timeoutMs: number;
	/** Latency objective: time to the complete response, or to the first event of a stream. */
	readonly objectiveMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Number of targets on which one request may run. */
	readonly maxAttempts: number;
	/** Whether requests are accepted without an API key. */
	readonly isPublic: boolean;
	/** Whether requests carry prompts, which are placed by what targets have cached. */
	readonly hasAffinity: boolean;
	/** Regions in which its requests may be handled; any if undefined or empty. */
	readonly homeRegions?: readonly string[] | undefined;
}

export interface ServiceDefinition {
	readonly name: string;
	/** Connections that one target accepts, over all its clients. */
	readonly maxConnections: number;
	/** KV cache size of each engine, in tokens; undefined for services that run no models. */
	readonly kvCacheTokens: number | undefined;
	/** Whether its engines can fetch cached prompts from one another. */
	readonly hasCacheTransfer: boolean;
	/** How its targets start; undefined if they are never cold. */
	readonly coldStart?: ColdStart;
}

export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
}

/** Limits that apply until a configuration sets them; 16 KiB is the default header limit of Node.js. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 4_194_304,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

export interface Customer {
	readonly name: string;
	/** Overrides the priority of the route; undefined if the route's priority applies. */
	readonly priority: number | undefined;
	/** Regions in which its requests may be handled; any if undefined or empty. */
	readonly homeRegions?: readonly string[] | undefined;
}

export interface GatewayConfiguration {
	/** Increases with each change. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceDefinition>;
	readonly limits: CallerLimits;
	/** Customers by API key; undefined if no route requires a key. */
	readonly customersByKey: ReadonlyMap<string, Customer> | undefined;
}

/** Returns whether a request of this route may run more than once. */
export function isIdempotent(route: Route): boolean {
	switch (route.kind) {
		case 'idempotent':
			return true;
		case 'nonIdempotent':
			return false;
		case 'stream':
			return route.isResumable;
	}
}
