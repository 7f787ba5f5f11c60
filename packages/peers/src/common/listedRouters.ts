/** Routers of the latest response of the instance list, which lags behind the actual state. */
import type { ListedRouter, RouterInstance } from '@papayawell/core';
import { ListedState } from '@papayawell/core';

export class ListedRouters {
	private byInstance = new Map<string, ListedRouter>();

	public set(routers: readonly ListedRouter[]): void {
		this.byInstance = new Map(routers.map((listed) => [listed.router.instance, listed]));
	}

	public list(): readonly RouterInstance[] {
		return [...this.byInstance.values()].map(({ router }) => router);
	}

	/** Whether the list contains the router with this incarnation. */
	public hasIncarnation(router: RouterInstance): boolean {
		return this.byInstance.get(router.instance)?.router.incarnation === router.incarnation;
	}

	public isLeaving(instance: string): boolean {
		return this.byInstance.get(instance)?.state === ListedState.Leaving;
	}
}
