/** Public interface of the replay package: trace format, trace generation and trace replay. */
export * from './common/generate/generateTrace.js';
export * from './common/generate/scenario.js';
export * from './common/generate/namedScenarios.js';
export { formatReportTable } from './common/run/replayReport.js';
export type { CustomerReport, ReplayReport } from './common/run/replayReport.js';
export { ENTRY_POLICIES } from './common/model/routerFleet.js';
export type { EntryPolicy } from './common/model/routerFleet.js';
export { DEFAULT_SPEED, replayTrace } from './common/run/replayTrace.js';
export type { ReplayOptions } from './common/run/replayTrace.js';
export * from './common/trace/parseTrace.js';
export * from './common/trace/traceEvent.js';
