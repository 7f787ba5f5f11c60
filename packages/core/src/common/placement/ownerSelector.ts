/** Selects the router that owns an engine, polls its load and grants reservations for it. */
import { RendezvousTable } from './rendezvous.js';

export interface OwnerCandidate {
	readonly instance: string;
	readonly zone: string;
}

/** Selects the same owner on every router that has the same view; prefers routers in the engine's zone. */
export class OwnerSelector {
	/** Rendezvous tables by zone, built on first use. */
	private readonly tables = new Map<string, RendezvousTable>();

	constructor(private readonly routers: readonly OwnerCandidate[]) {}

	/** Returns the owner of an engine, or undefined if there are no routers. */
	public selectOwner(engine: { readonly instance: string; readonly zone: string }): string | undefined {
		return this.getTable(engine.zone).rank(engine.instance, 1)[0];
	}

	private getTable(zone: string): RendezvousTable {
		let table = this.tables.get(zone);
		if (table === undefined) {
			const sameZone = this.routers.filter((router) => router.zone === zone);
			table = buildTable(sameZone.length > 0 ? sameZone : this.routers);
			this.tables.set(zone, table);
		}
		return table;
	}
}

function buildTable(routers: readonly OwnerCandidate[]): RendezvousTable {
	return new RendezvousTable(routers.map((router) => ({ name: router.instance, weight: 1 })));
}
