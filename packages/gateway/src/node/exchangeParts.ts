/** Dependencies and input of an exchange. */
import type { EventLog } from '../common/eventLog.js';
import type { Customer, Route } from '../common/gatewayConfiguration.js';
import type { GatewayRequest, HeaderCodec } from '../common/gatewayRequest.js';
import type { FleetInstance } from '../common/peerState.js';
import type { PromptChain } from '../common/promptChain.js';
import type { RelayedRequest } from '../common/relayHeaders.js';
import type { StreamOrigin } from '../common/streamOrigins.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';
import type { AdmissionControl } from './admissionControl.js';
import type { CrashTracker, RequestTraits, TargetRun } from './crashTracker.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { OriginLookup } from './streamOriginSync.js';
import type { TargetClient } from './targetClient.js';

export interface ExchangeParts {
	readonly codec: HeaderCodec;
	readonly targets: TargetTable;
	readonly client: TargetClient;
	readonly crashes: CrashTracker;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Undefined if requests are sent whether or not the service has room. */
	readonly admission: AdmissionControl | undefined;
	/** Counts the first send of a request to a service, which adds to the retry budget. */
	readonly countRequest: (service: string) => void;
	/** Takes one further send to a service from the retry budget of the fleet; false if it is spent. */
	readonly acquireRetry: (service: string) => boolean;
	/** Called when a connection to the target broke while the target was processing `run`. */
	readonly onConnectionBroken: (target: TargetState, run: TargetRun) => void;
	/** Whether the targets of a service can fetch cached prompt prefixes from each other. */
	readonly hasCacheTransfer: (service: string) => boolean;
	/** Whether this instance reaches no target itself. */
	readonly hasLostPath: () => boolean;
	/** Records that a target could not be reached or stopped sending. */
	readonly recordPathFailure: () => void;
	/**
	 * Chooses an instance that reaches targets, to relay a request to it; undefined if there is none. It is in one of the
	 * regions, if there is a restriction, or in the region of this instance, which is taken as the caller's.
	 */
	readonly choosePeer: (
		excluded: ReadonlySet<string>,
		regions: ReadonlySet<string> | undefined,
	) => TargetState | undefined;
	/** This instance. */
	readonly self: FleetInstance;
	/** Records that a prompt was sent to a target, which caches it. */
	readonly recordPrompt: (
		target: TargetState,
		prompt: PromptChain,
		cacheSource: TargetState | undefined,
	) => void;
	/** Finds what began the stream that a caller resumes. */
	readonly findStreamOrigin: (attemptId: string | undefined, service: string) => Promise<OriginLookup>;
	/** Makes known to the fleet what began a stream, before the caller gets its first event. */
	readonly recordStreamOrigin: (attemptId: string, origin: StreamOrigin) => void;
	/** Time until what is in flight is ended, since the process exits, in ms; infinity unless it is stopping. */
	readonly readTimeToExit: () => number;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	/** Time since the store confirmed the target list, in ms. */
	readonly readTargetsAge: () => number;
}

/** What the placement of a request needs; an explanation passes in copies. */
export type PlacementParts = Pick<
	ExchangeParts,
	| 'choosePeer'
	| 'findStreamOrigin'
	| 'hasCacheTransfer'
	| 'hasLostPath'
	| 'random'
	| 'recordPathFailure'
	| 'recordStreamOrigin'
> & { readonly targets: Pick<TargetTable, 'choose' | 'computePause' | 'hasVersion' | 'isServiceEvacuated'> };

export type PlacementInput = Pick<ExchangeInput, 'customer' | 'relayed' | 'request' | 'route'>;

export interface ExchangeInput {
	readonly request: GatewayRequest;
	readonly route: Route;
	readonly customer: Customer | undefined;
	readonly body: Buffer;
	readonly traits: RequestTraits;
	readonly receivedAtMs: number;
	/** The caller's key, which another instance needs if the request is relayed to it. */
	readonly apiKey: string | undefined;
	/** What the instance that relays the request tells of it; undefined if it comes from a caller. */
	readonly relayed: RelayedRequest | undefined;
	readonly configurationVersion: number;
}
