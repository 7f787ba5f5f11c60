/** Public interface of the router package: composes one router from the other packages. */
export { makeChatKey } from './common/affinity.js';
export * from './common/drainStateMachine.js';
export * from './common/targetDirectory.js';
export * from './node/daemon.js';
export * from './node/drainController.js';
export * from './node/logger.js';
export * from './node/metricsCollector.js';
export * from './node/router.js';
