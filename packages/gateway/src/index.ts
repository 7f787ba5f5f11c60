/** Public API of the gateway package, which forwards callers' requests to targets. */
export { HOP_BY_HOP_HEADERS, parseConnectionHeader } from '@papayawell/core';
export { isAddress, sampleAddresses, splitAddress } from './common/addresses.js';
export type { EngineCodec } from './common/engineCodec.js';
export type { EvacuationUpdate, ZoneChange } from './common/evacuatedZones.js';
export type { EventLog, LogClass, LogFields } from './common/eventLog.js';
export * from './common/gatewayConfiguration.js';
export * from './common/gatewayRequest.js';
export type { DirectoryCaller } from './common/homeRegions.js';
export * from './common/metadataStore.js';
export { StoreEraTracker } from './common/storeEraTracker.js';
export type { StoreRestore } from './common/storeEraTracker.js';
export type { StorePosition } from './common/storePosition.js';
export type { FleetInstance } from './common/peerState.js';
export type {
	CandidateExplanation,
	ExplainResult,
	RequestExplanation,
	RequestQuestion,
} from './common/requestExplanation.js';
export { RELAY_HEADERS } from './common/relayHeaders.js';
export type { TargetRecord } from './common/targetRecord.js';
export type { ListedColdness, ListedTargets } from './common/targetView.js';
export { AddressWait } from './node/addressWait.js';
export type { Gateway, GatewayDependencies, GatewaySettings } from './node/gateway.js';
export { createGateway } from './node/gateway.js';
export { listenAt } from './node/listenAt.js';
export type { ProcessLog } from './node/processLog.js';
export { openProcessLog } from './node/processLog.js';
