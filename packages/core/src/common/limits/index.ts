/** Fleet-wide limits that are divided among the routers by reported usage. */
export * from './demand.js';
export * from './sharedInFlightLimit.js';
export * from './sharedRateLimit.js';
