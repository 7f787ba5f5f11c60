/** Public interface of the stand-ins package: fakes of the services that the fleet depends on. */
export * from './common/cacheEvent.js';
export * from './common/chatRequest.js';
export * from './common/endpointSlice.js';
export * from './common/fault.js';
export * from './common/generatedText.js';
export * from './common/orderExecutor.js';
export * from './common/prefixCache.js';
export * from './node/applicationStandIn.js';
export * from './node/engineOptions.js';
export * from './node/engineStandIn.js';
export * from './node/instanceListStandIn.js';
export { hashBody } from './node/standInServer.js';
export type { StandInOptions } from './node/standInServer.js';
export * from './common/keyValue/keyValueFaults.js';
export type { StoreSnapshot } from './common/keyValue/revisionStore.js';
export * from './node/keyValue/keyValueStandIn.js';
export * from './node/keyValue/memoryKeyValueStore.js';
