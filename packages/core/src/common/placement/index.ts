/** Placement of requests on the targets of a pool. */
export * from './engineOwner.js';
export * from './loadBound.js';
export * from './movedChats.js';
export * from './ownerSelector.js';
export * from './placement.js';
export * from './policy.js';
export * from './poolPlacer.js';
export * from './ownerQueryLimiter.js';
export * from './rendezvous.js';
export { TargetLoad } from './targetLoad.js';
export * from './warmUp.js';
