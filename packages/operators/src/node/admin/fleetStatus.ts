/** Collects the status of the routers in the membership view with little control traffic. */
import type { PeerNetwork } from '@papayawell/core';
import { RouterState } from '@papayawell/core';
import type { PeerStatus, RouterStatus } from './adminApi.js';

const CALL_TIMEOUT_MS = 1000;
const MAX_PARALLEL_CALLS = 16;

/**
 * Queries peers for their status and caches it. Versions only increase, so a peer that has reported the version
 * in force is not queried again until that version increases or the peer restarts.
 */
export class FleetStatusCollector {
	private readonly statusCache = new Map<
		string,
		{ readonly incarnation: number; readonly status: RouterStatus }
	>();

	constructor(
		private readonly network: PeerNetwork,
		private readonly ownInstance: string,
	) {}

	/** Returns the status of every other router in the view except dead ones. */
	public async collect(versionInForce: number): Promise<readonly PeerStatus[]> {
		const members = this.network
			.readView()
			.filter(({ router, state }) => router.instance !== this.ownInstance && state !== RouterState.Dead);
		this.pruneCache(new Set(members.map(({ router }) => router.instance)));
		const statuses: PeerStatus[] = [];
		const pendingMembers = [...members];
		const runWorker = async (): Promise<void> => {
			for (let member = pendingMembers.shift(); member !== undefined; member = pendingMembers.shift()) {
				const { instance, incarnation } = member.router;
				statuses.push(await this.requestStatus(instance, incarnation, versionInForce));
			}
		};
		await Promise.all(Array.from({ length: MAX_PARALLEL_CALLS }, runWorker));
		return statuses.sort((a, b) => (a.instance < b.instance ? -1 : 1));
	}

	private async requestStatus(
		instance: string,
		incarnation: number,
		versionInForce: number,
	): Promise<PeerStatus> {
		const known = this.statusCache.get(instance);
		if (known?.incarnation === incarnation && known.status.configurationVersion >= versionInForce) {
			return { kind: 'known', ...known.status };
		}
		const answer = await this.network.call(instance, { kind: 'status' }, CALL_TIMEOUT_MS);
		if (answer.err) {
			return { kind: 'unknown', instance, reason: `${answer.val.kind}: ${answer.val.message}` };
		}
		if (answer.val.kind !== 'status') {
			return { kind: 'unknown', instance, reason: `unexpected answer ${answer.val.kind}` };
		}
		const { configurationVersion, isDraining } = answer.val;
		const status = { instance, configurationVersion, isDraining };
		this.statusCache.set(instance, { incarnation, status });
		return { kind: 'known', ...status };
	}

	private pruneCache(instances: ReadonlySet<string>): void {
		for (const instance of this.statusCache.keys()) {
			if (!instances.has(instance)) {
				this.statusCache.delete(instance);
			}
		}
	}
}
