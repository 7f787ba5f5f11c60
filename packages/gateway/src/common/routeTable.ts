/** Matches requests to their route and customer. */
import type { Customer, GatewayConfiguration, Route, WeightedService } from './gatewayConfiguration.js';

export type RouteMatch =
	| { readonly kind: 'found'; readonly route: Route; readonly customer: Customer | undefined }
	| { readonly kind: 'noRoute' }
	| { readonly kind: 'unknownKey' };

export class RouteTable {
	/** Routes by host, longest prefix first. */
	private readonly routesByHost = new Map<string, Route[]>();

	constructor(private readonly configuration: GatewayConfiguration) {
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const routes = this.routesByHost.get(host) ?? [];
			routes.push(route);
			this.routesByHost.set(host, routes);
		}
		for (const routes of this.routesByHost.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/** Lists the home regions of each route of a host that has any. */
	public listHomeRegions(host: string): readonly (readonly string[])[] {
		return (this.routesByHost.get(removePort(host).toLowerCase()) ?? [])
			.map(({ homeRegions }) => homeRegions ?? [])
			.filter((regions) => regions.length > 0);
	}

	/**
	 * @param host host of the request, with or without a port
	 * @param path path as received, without the query
	 * @param key API key of the caller, if present
	 */
	public find(host: string, path: string, key: string | undefined): RouteMatch {
		const routes = this.routesByHost.get(removePort(host).toLowerCase());
		const route = routes?.find(({ prefix }) => path.startsWith(prefix));
		if (route === undefined) {
			return { kind: 'noRoute' };
		}
		const { customersByKey } = this.configuration;
		const customer = key === undefined ? undefined : customersByKey?.get(key);
		if (customersByKey !== undefined && customer === undefined && !route.isPublic) {
			return { kind: 'unknownKey' };
		}
		return { kind: 'found', route, customer };
	}
}

/**
 * Picks one of a route's services by their weights.
 * @param share random number in [0, 1)
 */
export function pickService(services: readonly WeightedService[], share: number): string | undefined {
	const total = services.reduce((sum, { weight }) => sum + weight, 0);
	let remaining = share * total;
	for (const { service, weight } of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}
	return services.at(-1)?.service;
}

function removePort(host: string): string {
	const colon = host.lastIndexOf(':');
	return colon > 0 && /^\d+$/.test(host.slice(colon + 1)) ? host.slice(0, colon) : host;
}
