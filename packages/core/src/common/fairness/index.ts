/** Fair sharing of saturated pools among customers. */
export * from './deficitRoundRobin.js';
export * from './fairQueue.js';
export * from './inFlightShareTracker.js';
