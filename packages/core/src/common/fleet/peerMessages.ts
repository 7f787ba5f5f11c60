/**
 * Messages between routers. Facts are disseminated by gossip and ordered by their versions; requests are sent
 * to one router, which responds. The peers package encodes and delivers them within the budget for control
 * traffic.
 */
import type { Disposable } from '../base/disposable.js';
import type { Event } from '../base/event.js';
import type { Result } from '../base/result.js';
import type { RouterInstance } from './instances.js';

/** A fact that is disseminated to every router. For each `kind` and key the highest `version` wins. */
export type Fact =
	/** The configuration document `document` has version `version`. */
	| { readonly kind: 'configuration'; readonly version: number; readonly document: string }
	/** The target is leaving; irrevocable for this incarnation. */
	| {
			readonly kind: 'leaving';
			readonly instance: string;
			readonly incarnation: string;
			readonly version: number;
	  }
	/** Requests with this fingerprint crash targets. Expires at `expiresAtMs` (epoch ms); 0 if released. */
	| {
			readonly kind: 'quarantine';
			readonly fingerprint: string;
			readonly reason: string;
			readonly expiresAtMs: number;
			readonly version: number;
	  }
	/** One crash observed for a fingerprint, by target incarnation, before the quarantine. */
	| {
			readonly kind: 'suspicion';
			readonly fingerprint: string;
			readonly target: string;
			readonly expiresAtMs: number;
			readonly version: number;
	  }
	/** Load of one engine in its owner's last report. */
	| {
			readonly kind: 'load';
			readonly instance: string;
			/** Running and waiting requests, including those of the older system. */
			readonly requests: number;
			/** Time of the report by the owner's clock, epoch ms. */
			readonly version: number;
	  }
	/** Use of a shared limit by one router since its last report. */
	| {
			readonly kind: 'use';
			readonly limit: string;
			readonly router: string;
			/** Units per second, smoothed. */
			readonly rate: number;
			readonly version: number;
	  };

export type FactKind = Fact['kind'];

/** A request to one router. */
export type PeerRequest =
	/** Requests `count` reservations from the owner of `instance`. */
	| { readonly kind: 'reserve'; readonly instance: string; readonly count: number }
	/** Releases reservations that were not used, or whose requests have finished. */
	| { readonly kind: 'release'; readonly instance: string; readonly count: number }
	/** Fetches the configuration in force if its version is above `aboveVersion`. */
	| { readonly kind: 'fetchConfiguration'; readonly aboveVersion: number }
	/** Queries the version of the configuration in force, for `apply --wait`. */
	| { readonly kind: 'status' };

export type PeerResponse =
	| { readonly kind: 'reserved'; readonly granted: number; readonly expiresInMs: number }
	| { readonly kind: 'released' }
	| { readonly kind: 'notOwner' }
	| { readonly kind: 'configuration'; readonly version: number; readonly document: string | undefined }
	| {
			readonly kind: 'status';
			readonly instance: string;
			readonly configurationVersion: number;
			readonly isDraining: boolean;
	  };

export type PeerError =
	| { readonly kind: 'unreachable'; readonly message: string }
	| { readonly kind: 'timeout'; readonly message: string }
	/** The budget for control traffic is exhausted: nothing was sent. */
	| { readonly kind: 'budget'; readonly message: string };

export const RouterState = {
	Alive: 'alive',
	Suspect: 'suspect',
	Draining: 'draining',
	Dead: 'dead',
} as const;
export type RouterState = (typeof RouterState)[keyof typeof RouterState];

export interface RouterMember {
	readonly router: RouterInstance;
	readonly state: RouterState;
}

/** The known routers, including this router. */
export type RouterView = readonly RouterMember[];

/** Exchange of control traffic with the other routers. */
export interface PeerNetwork extends Disposable {
	readonly onDidChangeView: Event<RouterView>;
	/** Fires once for each fact that is new to this router, including those that it publishes itself. */
	readonly onDidReceiveFact: Event<Fact>;
	readView(): RouterView;
	/** Disseminates a fact to all routers within the control-traffic budget, by the priority of its kind. */
	publish(fact: Fact): void;
	call(instance: string, request: PeerRequest, timeoutMs: number): Promise<Result<PeerResponse, PeerError>>;
	/** Sets the handler for requests of other routers. */
	serve(handler: (from: string, request: PeerRequest) => PeerResponse | Promise<PeerResponse>): void;
	/** Announces that this router is draining; `dispose` announces that it has left. */
	announceDraining(): void;
}
