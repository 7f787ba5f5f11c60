/** The routers, engines and applications of a fleet, with their addresses and states. */

/** One router of the fleet, with its addresses for callers and peers. */
export interface RouterInstance {
	readonly instance: string;
	/** Start time of the process, epoch ms; increases with every restart. */
	readonly incarnation: number;
	readonly region: string;
	readonly zone: string;
	/** `ip:port` of the callers' HTTP port. */
	readonly callersAddress: string;
	/** `ip:port` of the gRPC port for other routers. */
	readonly peersAddress: string;
}

export const TargetKind = { Engine: 'engine', Application: 'application' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

/** One engine or application process that requests are routed to. */
export interface TargetInstance {
	readonly instance: string;
	readonly kind: TargetKind;
	readonly pool: string;
	readonly region: string;
	readonly zone: string;
	/** Origin, such as `http://10.0.0.7:8000`. */
	readonly origin: string;
	/** Identifies this start of the process; changes with every restart. */
	readonly incarnation: string;
	/** Requests that the target processes concurrently. */
	readonly capacity: number;
	/** Whether the target refuses orders with an outdated fencing token. */
	readonly checksFencing: boolean;
}

export const ListedState = { Live: 'live', Leaving: 'leaving' } as const;
export type ListedState = (typeof ListedState)[keyof typeof ListedState];

export interface ListedTarget {
	readonly target: TargetInstance;
	readonly state: ListedState;
}

export interface ListedRouter {
	readonly router: RouterInstance;
	readonly state: ListedState;
}

/** One response of the platform's instance list, which lags behind the actual state. */
export interface InstanceList {
	readonly routers: readonly ListedRouter[];
	readonly targets: readonly ListedTarget[];
	/** Time at which the response was received, in ms of the monotonic clock. */
	readonly receivedAtMs: number;
}

export const TargetState = {
	Joining: 'joining',
	Serving: 'serving',
	Suspect: 'suspect',
	Leaving: 'leaving',
	Gone: 'gone',
} as const;
export type TargetState = (typeof TargetState)[keyof typeof TargetState];
