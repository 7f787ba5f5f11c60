/** Public interface of the operators package. */
export { parseSettings } from './common/settings/parseSettings.js';
export * from './node/admin/adminApi.js';
export type { AdminServer, AdminServerOptions } from './node/admin/adminServer.js';
export { createAdminServer } from './node/admin/adminServer.js';
export { FleetStatusCollector } from './node/admin/fleetStatus.js';
export type {
	Direction,
	RejectedConfigurationSource,
	RouterMetricsOptions,
} from './node/metrics/routerMetrics.js';
export { RouterMetrics } from './node/metrics/routerMetrics.js';
export type { ApplyRequest, StoredConfiguration } from './node/configuration/configurationStore.js';
export { ConfigurationRepairer } from './node/configuration/configurationRepairer.js';
export { ConfigurationStore } from './node/configuration/configurationStore.js';
export type { ConfigurationWatcherOptions } from './node/configuration/configurationWatcher.js';
export { ConfigurationWatcher } from './node/configuration/configurationWatcher.js';
export type { ConfigurationStoreError } from './node/configuration/configurationStoreErrors.js';
export { describeConfigurationStoreError } from './node/configuration/configurationStoreErrors.js';
export type { RulesFile } from './common/configuration/rulesFile.js';
export { addVersionLine, renderDiff, splitVersionLine } from './common/configuration/rulesFile.js';
export type { AdminError } from './node/admin/adminClient.js';
export {
	AdminClient,
	describeAdminError,
	listUnknownInstances,
	mergeStatuses,
} from './node/admin/adminClient.js';
