/** Validated settings of one router process from its TOML file. All times are in ms, all sizes in bytes. */

export const PlacementPolicyKind = {
	Hash: 'hash',
	Report: 'report',
	Local: 'local',
	Owner: 'owner',
	Adaptive: 'adaptive',
} as const;
export type PlacementPolicyKind = (typeof PlacementPolicyKind)[keyof typeof PlacementPolicyKind];

/** The HTTP port for callers. */
export interface CallersSettings {
	/** `ip:port` to listen on and to publish in `/v1/entries`. */
	readonly address: string;
	readonly maxHeadBytes: number;
	readonly maxBodyBytes: number;
	readonly headTimeoutMs: number;
	readonly bodyTimeoutMs: number;
	readonly maxConnections: number;
	/** Time-to-live of a response of `/v1/entries` at the caller. */
	readonly entriesTtlMs: number;
	/** Deadline of a request whose caller specifies none. */
	readonly deadlineMs: number;
	/** Requests of all customers together that may wait for a target. */
	readonly maxQueued: number;
	/** Maximum time for which a request waits for a target. */
	readonly maxQueueMs: number;
}

/** The HTTP port for operators. */
export interface AdminSettings {
	readonly address: string;
	/** SHA-256 of the operators' bearer token, in hexadecimal. */
	readonly tokenHash: string;
}

/** Files in PEM form for mutual TLS between routers. */
export interface PeerTlsSettings {
	readonly certificateFile: string;
	readonly keyFile: string;
	readonly authorityFile: string;
}

export interface PeersSettings {
	readonly address: string;
	/** Name of the fleet; routers of other fleets are refused. */
	readonly fleet: string;
	readonly tls: PeerTlsSettings | undefined;
	/** Allows traffic without TLS on loopback addresses. */
	readonly allowPlainLoopback: boolean;
	/** Limit of control traffic on the wire, sent and received together. */
	readonly bytesPerSecond: number;
}

export interface PlatformSettings {
	/** Origins of the key-value service, tried in order. */
	readonly keyValueOrigins: readonly string[];
	/** Prefix of all keys of this fleet. */
	readonly keyPrefix: string;
	readonly keyValueCallsPerSecond: number;
	readonly instanceListUrl: string;
	readonly instanceListPollMs: number;
	/** Number of routers in each availability zone that watch the key-value service. */
	readonly watchersPerZone: number;
}

export interface PlacementSettings {
	readonly policy: PlacementPolicyKind;
	/** Interval at which the owner of an engine polls its load. */
	readonly reportIntervalMs: number;
}

export interface OutcomeSettings {
	/** Retention period of the idempotency key of a non-idempotent operation. */
	readonly keyRetentionMs: number;
	/** Retry budget, as a share of recent requests. */
	readonly retryShare: number;
	readonly quarantineMs: number;
}

export interface RouterSettings {
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
	readonly callers: CallersSettings;
	readonly admin: AdminSettings;
	readonly peers: PeersSettings;
	readonly platform: PlatformSettings;
	readonly placement: PlacementSettings;
	readonly outcomes: OutcomeSettings;
	/** Maximum duration of a graceful shutdown. */
	readonly drainLimitMs: number;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}
