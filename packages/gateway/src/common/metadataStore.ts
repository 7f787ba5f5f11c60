/** Interface of the platform's metadata store, as far as the gateway uses it. */
import type { Event } from '@papayawell/core';
import type { EvacuationUpdate } from './evacuatedZones.js';
import type { GatewayConfiguration } from './gatewayConfiguration.js';
import type { StoreRestore } from './storeEraTracker.js';
import type { StorePosition } from './storePosition.js';
import type { ListedTargets } from './targetView.js';

/** A configuration with the text from which it was decoded, which is forwarded to peers unchanged. */
export interface DecodedConfiguration {
	readonly configuration: GatewayConfiguration;
	readonly encoded: string;
}

export interface ConfigurationReadResult {
	/** Undefined if there is no configuration yet, or if it did not change. */
	readonly decoded: DecodedConfiguration | undefined;
	/** What the call reports of evacuated zones; undefined if evacuations are not in use. */
	readonly evacuations?: EvacuationUpdate;
	/** Position of the store from which the next watch continues. */
	readonly position: StorePosition;
}

/** Calls that fail reject with a `StoreError`. */
export interface MetadataStore {
	/** Fires when the store was restored from a copy. Watches that are waiting then reject with the kind `restored`. */
	readonly onDidRestore: Event<StoreRestore>;
	/** Handles the era that a peer has seen, so that a restore is noticed even while the store is out of reach. */
	observePeerEra(era: number): void;
	readConfiguration(signal: AbortSignal): Promise<ConfigurationReadResult>;
	/** Waits for a configuration newer than `position`. Resolves without one after `waitMs`, at most 30,000. */
	watchConfiguration(
		position: StorePosition,
		waitMs: number,
		signal: AbortSignal,
	): Promise<ConfigurationReadResult>;
	/** Decodes a configuration that was received from a peer; undefined if it is malformed. */
	decodeConfiguration(encoded: string): DecodedConfiguration | undefined;
	listTargets(signal: AbortSignal): Promise<ListedTargets>;
	/** Lists the control addresses of the instances of the fleet. */
	listInstances(signal: AbortSignal): Promise<readonly string[]>;
	/** Reads the document that lists the blocked prompt parts; undefined if there is none. */
	readBlockedPrompts(signal: AbortSignal): Promise<string | undefined>;
	writeBlockedPrompts(text: string, signal: AbortSignal): Promise<void>;
	/** Registers this instance under a lease, or renews the lease. */
	renewRegistration(name: string, controlAddress: string, signal: AbortSignal): Promise<void>;
}

export type StoreErrorKind =
	/** The store did not respond, or the connection failed. */
	| 'unreachable'
	/** The store rejected the call without executing it. */
	| 'refused'
	/** The revision has been compacted; a full read is required. */
	| 'compacted'
	/** The store was restored from a copy meanwhile, so what the call returned or waits for is void. */
	| 'restored'
	/** The lease has expired. */
	| 'leaseLost'
	| 'unexpected';

export class StoreError extends Error {
	constructor(
		public readonly kind: StoreErrorKind,
		message: string,
	) {
		super(message);
	}
}

/** Formats the cause of a failed call for the log; undefined if there is no error. */
export function describeError(error: unknown): string | undefined {
	return error === undefined || error instanceof Error ? error?.message : JSON.stringify(error);
}
