/** Public interface of the platform package. */
export * from './common/instanceListDecoder.js';
export * from './node/instanceListSource.js';
export type { CallCounts, CallKind } from './common/callBudget.js';
export * from './node/etcdKeyValueStore.js';
export * from './node/perKeyRecordStore.js';
export * from './node/recordLease.js';
export { RecordLedger } from './node/recordLedger.js';
export type { RecordLedgerOptions } from './node/recordLedger.js';
