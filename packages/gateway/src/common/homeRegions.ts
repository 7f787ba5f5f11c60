/** Home regions: where requests of a route or a customer may be handled. */

/** Finds the region of an availability zone; undefined if the settings do not state it. */
export type RegionLookup = (zone: string) => string | undefined;

/** Who asks the directory. */
export interface DirectoryCaller {
	/** Host of the routes that the caller uses. */
	readonly host: string;
	readonly region: string | undefined;
	readonly zone: string | undefined;
}

/**
 * @param regionsByZone regions of all zones
 * @param ownRegion region of this instance, which counts for its zone if that is not listed
 */
export function buildRegionLookup(
	regionsByZone: ReadonlyMap<string, string>,
	ownZone: string,
	ownRegion: string | undefined,
): RegionLookup {
	return (zone) => regionsByZone.get(zone) ?? (zone === ownZone ? ownRegion : undefined);
}

/**
 * Returns the regions in which a request may reach targets, by the home regions of its route and of its customer;
 * undefined if there is no restriction, and an empty set if the two have no region in common.
 */
export function computeAllowedRegions(
	route: readonly string[] | undefined,
	customer: readonly string[] | undefined,
): ReadonlySet<string> | undefined {
	const [first, second] = [route, customer].filter((regions) => regions !== undefined && regions.length > 0);
	return first === undefined
		? undefined
		: new Set(second === undefined ? first : first.filter((region) => second.includes(region)));
}

/** Whether a zone is in one of the regions; that of an unknown region only if there is no restriction. */
export function isZoneIn(
	zone: string,
	regions: ReadonlySet<string> | undefined,
	findRegion: RegionLookup,
): boolean {
	if (regions === undefined) {
		return true;
	}
	const region = findRegion(zone);
	return region !== undefined && regions.has(region);
}

/**
 * Returns the regions of the instances that may receive the requests of a caller: the home regions, and its own.
 * @param homeRegions home regions of each route or customer that has any
 */
export function listInstanceRegions(
	homeRegions: readonly (readonly string[])[],
	callerRegion: string | undefined,
): ReadonlySet<string> | undefined {
	const [first, ...others] = homeRegions;
	if (first === undefined) {
		return undefined;
	}
	const common = first.filter((region) => others.every((regions) => regions.includes(region)));
	return new Set(callerRegion === undefined ? common : [...common, callerRegion]);
}
