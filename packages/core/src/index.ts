/** Public interface of the core package: the pure decisions and the types that all packages share. */
export * from './common/base/disposable.js';
export * from './common/base/event.js';
export * from './common/base/finding.js';
export * from './common/base/hash.js';
export * from './common/base/result.js';
export * from './common/fairness/index.js';
export * from './common/fleet/instances.js';
export * from './common/fleet/peerMessages.js';
export * from './common/outcome/backOff.js';
export * from './common/limits/index.js';
export * from './common/outcome/outcome.js';
export * from './common/placement/index.js';
export * from './common/platform/keyValueStore.js';
export * from './common/rules/matchRule.js';
export { countUtf8Bytes, parseRules } from './common/rules/parseRules.js';
export * from './common/rules/rules.js';
export * from './common/settings/routerSettings.js';
