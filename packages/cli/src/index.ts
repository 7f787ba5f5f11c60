/** Public interface of the cli package, used by its tests and by tools. */
export * from './common/capacity.js';
export { readCapacityMeasurements } from './node/bench/capacityFiles.js';
