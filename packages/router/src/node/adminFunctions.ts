/** Functions behind the admin API of a router. */
import type { ConfigurationAdopter, PeerNetwork, SuspectTracker } from '@papayawell/core';
import type { AdminApi, FleetStatus, FleetStatusCollector, RouterMetrics } from '@papayawell/operators';
import type { DrainController } from './drainController.js';
import type { Orders } from './orders.js';
import type { PoolRegistry } from './poolRegistry.js';

export interface AdminParts {
	readonly instance: string;
	readonly metrics: RouterMetrics;
	readonly adopter: ConfigurationAdopter;
	readonly drain: DrainController;
	readonly pools: PoolRegistry;
	readonly peers: PeerNetwork;
	readonly statuses: FleetStatusCollector;
	readonly suspects: SuspectTracker;
	readonly orders: Orders;
	/** Further sections of the state dump, by name. */
	readonly readExtraState: () => Readonly<Record<string, unknown>>;
}

export function makeAdminFunctions(parts: AdminParts): AdminApi {
	return {
		registry: parts.metrics.registry,
		readReadiness: () => {
			const isReady = parts.adopter.inForce !== undefined;
			return { isReady, missing: isReady ? [] : ['configuration'] };
		},
		readState: () => ({
			instance: parts.instance,
			configurationVersion: parts.adopter.version,
			routers: parts.peers.readView(),
			pools: parts.pools.list().map((pool) => ({ name: pool.name, targets: pool.describe(Date.now()) })),
			...parts.readExtraState(),
		}),
		readStatus: () => readStatus(parts),
		readConfiguration: () => ({
			version: parts.adopter.version,
			changeId: parts.adopter.inForce?.document.changeId,
		}),
		readOrders: () => parts.orders.readStatus(),
		drain: () => {
			parts.drain.drain();
		},
		listQuarantine: () => parts.suspects.listQuarantined(Date.now()),
		releaseQuarantine: (fingerprint) => parts.suspects.release(fingerprint, Date.now()),
	};
}

async function readStatus(parts: AdminParts): Promise<FleetStatus> {
	const { adopter, drain, instance, statuses } = parts;
	return {
		instance,
		configurationVersion: adopter.version,
		isDraining: drain.isDraining,
		changeId: adopter.inForce?.document.changeId,
		peers: await statuses.collect(adopter.version),
	};
}
