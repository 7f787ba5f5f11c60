/** Public interface of the keyvalue package. */
export * from './common/instanceListDecoder.js';
export * from './node/instanceListSource.js';
export type { CallCounts, CallKind } from './common/callRateLimiter.js';
export * from './node/etcdKeyValueStore.js';
export * from './node/perKeyRecordStore.js';
export * from './node/recordLease.js';
export { WriteAheadLog } from './node/writeAheadLog.js';
export type { WriteAheadLogOptions } from './node/writeAheadLog.js';
