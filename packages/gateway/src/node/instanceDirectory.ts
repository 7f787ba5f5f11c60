/** Chooses the instances to which callers are directed, and those to which this instance relays requests. */
import type { ActiveConfiguration } from '../common/activeConfiguration.js';
import type { DirectoryCaller, RegionLookup } from '../common/homeRegions.js';
import { isZoneIn, listInstanceRegions } from '../common/homeRegions.js';
import type { PeerRoutes } from '../common/peerRoutes.js';
import type { FleetInstance, PeerState } from '../common/peerState.js';
import type { PeerTable } from '../common/peerTable.js';
import type { TargetState } from '../common/targetState.js';

export interface InstanceDirectoryParts {
	readonly self: FleetInstance;
	readonly activeConfiguration: ActiveConfiguration;
	readonly findRegion: RegionLookup;
	readonly listPeers: () => PeerTable;
	readonly isServing: () => boolean;
	/** Whether this instance reaches no target itself. */
	readonly hasLostPath: () => boolean;
}

export class InstanceDirectory {
	constructor(private readonly parts: InstanceDirectoryParts) {}

	/**
	 * Lists the addresses of the instances that a caller may be directed to.
	 * @param caller undefined if it does not say who it is
	 */
	public listEntryAddresses(caller: DirectoryCaller | undefined, nowMs: number): readonly string[] {
		const { self, findRegion, hasLostPath, isServing, listPeers } = this.parts;
		const peers = listPeers();
		const regions = this.listCallerRegions(caller);
		const own = isZoneIn(self.zone, regions, findRegion) ? [self.callersAddress] : [];
		const listAddresses = (states: readonly PeerState[]): readonly string[] =>
			states
				.filter(({ instance }) => isZoneIn(instance.zone, regions, findRegion))
				.map(({ instance }) => instance.callersAddress);
		const withPath = listAddresses(peers.listServingWithPath(nowMs));
		if (isServing() && !hasLostPath() && own.length + withPath.length > 0) {
			return [...own, ...withPath];
		}
		if (withPath.length > 0) {
			return withPath;
		}
		// No instance reaches the targets: each that serves may be the first whose path is back.
		const serving = listAddresses(peers.listServing(nowMs));
		return isServing() || serving.length === 0 ? [...own, ...serving] : serving;
	}

	/**
	 * Chooses an instance that reaches targets, to relay a request to it; undefined if there is none.
	 * @param regions regions in which the request may reach targets; undefined if any
	 */
	public choosePeer(
		routes: PeerRoutes,
		excluded: ReadonlySet<string>,
		regions: ReadonlySet<string> | undefined,
		nowMs: number,
		random: () => number,
	): TargetState | undefined {
		const { self, findRegion, listPeers } = this.parts;
		const allowed = regions && listInstanceRegions([[...regions]], findRegion(self.zone));
		const peers = listPeers()
			.listServingWithPath(nowMs)
			.map(({ instance }) => instance)
			.filter(({ zone }) => isZoneIn(zone, allowed, findRegion));
		return routes.choose(peers, excluded, nowMs, random);
	}

	/** Regions of the instances that a caller may be directed to; undefined if any. */
	private listCallerRegions(caller: DirectoryCaller | undefined): ReadonlySet<string> | undefined {
		const { activeConfiguration, findRegion } = this.parts;
		const routes = activeConfiguration.current?.routes;
		if (caller === undefined || routes === undefined) {
			return undefined;
		}
		const { host, region, zone } = caller;
		const callerRegion = region ?? (zone === undefined ? undefined : findRegion(zone));
		return listInstanceRegions(routes.listHomeRegions(host), callerRegion);
	}
}
