/** Routing rules: which pool serves which callers, customers and kinds of request. */
import type { EngineRole } from '../orders/engineOrder.js';

export const AffinityKey = { Chat: 'chat', Customer: 'customer', Prefix: 'prefix', None: 'none' } as const;
export type AffinityKey = (typeof AffinityKey)[keyof typeof AffinityKey];

export const RequestKind = { Generation: 'generation', Call: 'call' } as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** Match condition of a rule; an absent field matches everything. A `path` may end in `*`. */
export interface RuleMatch {
	readonly customer?: string;
	readonly caller?: string;
	readonly kind?: RequestKind;
	readonly path?: string;
	readonly method?: string;
	readonly model?: string;
}

/** Fleet-wide limits for each customer that the rule matches. */
export interface RuleLimits {
	readonly requestsPerSecond?: number;
	readonly tokensPerSecond?: number;
	readonly inFlight?: number;
}

export type Repeatability =
	| { readonly kind: 'idempotent' }
	/** May run at most once for each value of the header `keyHeader`. */
	| { readonly kind: 'once'; readonly keyHeader: string };

export interface Rule {
	/** Line in the rules file, from 1. */
	readonly line: number;
	readonly name: string;
	readonly match: RuleMatch;
	readonly pool: string;
	readonly affinity: AffinityKey;
	/** Weight of the customer's share of a full pool, relative to the weights of the other customers. */
	readonly weight: number;
	/** Requests of priority 0 are served first. */
	readonly priority: number;
	readonly limits: RuleLimits;
	readonly repeatability: Repeatability;
	/** Class label in metrics, such as `plan` or `confirm`. */
	readonly requestClass: string;
	/** Load bound of a target, as a multiple of the pool's mean load. */
	readonly loadBound: number;
	/** Requester of the rule, from its comment. */
	readonly requestedBy: string;
}

/** The attributes of a request that rules match. */
export interface RequestAttributes {
	readonly customer: string;
	readonly caller: string;
	readonly kind: RequestKind;
	readonly path: string;
	readonly method: string;
	readonly model?: string;
}

/** Identifies a caller by the SHA-256 of its key; the key itself is never stored. */
export interface CallerKey {
	/** Line in the rules file, from 1. */
	readonly line: number;
	/** SHA-256 of the caller's key, 64 hexadecimal digits in lower case. */
	readonly keyHash: string;
	readonly customer: string;
	readonly caller: string;
	readonly requestedBy: string;
}

/** A model that engines of a pool should have loaded, with its adapters. */
export interface ModelPlacement {
	/** Line in the rules file, from 1. */
	readonly line: number;
	readonly model: string;
	readonly version?: string;
	readonly pool: string;
	/** Adapter names, each followed by `@` and a version if it differs from that of the model. */
	readonly adapters: readonly string[];
	/** Number of engines of the pool that should have the model loaded. */
	readonly replicas: number;
	/** Role that these engines should take. */
	readonly role?: EngineRole;
	readonly requestedBy: string;
}

/** The content of one configuration document. */
export interface RuleSet {
	readonly rules: readonly Rule[];
	readonly callers: readonly CallerKey[];
	/** Absent in documents that do not manage the engines' models. */
	readonly models?: readonly ModelPlacement[];
}
