/** Chooses the instance through which requests reach the targets while this instance cannot reach them itself. */
import type { FleetInstance } from './peerState.js';
import { TargetState } from './targetState.js';

/** Cost of an instance in another availability zone, in requests. */
const CROSS_ZONE_COST = 1;
/** Requests that are sent through one instance at the same time. */
const MAX_REQUESTS_PER_PEER = 200;

export class PeerRoutes {
	private readonly states = new Map<string, TargetState>();

	constructor(private readonly ownZone: string) {}

	/**
	 * @param peers instances that serve and reach the targets
	 * @param random returns random numbers in [0, 1)
	 */
	public choose(
		peers: readonly FleetInstance[],
		excluded: ReadonlySet<string>,
		nowMs: number,
		random: () => number = Math.random,
	): TargetState | undefined {
		this.forgetOthers(peers);
		let best: TargetState | undefined;
		let lowest = Infinity;
		for (const peer of peers) {
			const state = this.findState(peer);
			const { health, ownRequests, record } = state;
			const cost = ownRequests + (record.zone === this.ownZone ? 0 : CROSS_ZONE_COST) + random();
			const isUsable =
				!excluded.has(record.id) &&
				ownRequests < MAX_REQUESTS_PER_PEER &&
				!health.isSuspended(ownRequests, nowMs) &&
				!state.isUnresponsive(nowMs);
			if (isUsable && cost < lowest) {
				best = state;
				lowest = cost;
			}
		}
		return best;
	}

	private findState({ name, incarnation, controlAddress, zone }: FleetInstance): TargetState {
		const id = `${name}/${incarnation}`;
		const known = this.states.get(id);
		if (known !== undefined) {
			return known;
		}
		const state = new TargetState({
			id,
			service: '',
			address: controlAddress,
			zone,
			slots: MAX_REQUESTS_PER_PEER,
			isLeaving: false,
			startedAtMs: 0,
			version: '',
		});
		this.states.set(id, state);
		return state;
	}

	private forgetOthers(peers: readonly FleetInstance[]): void {
		const ids = new Set(peers.map(({ name, incarnation }) => `${name}/${incarnation}`));
		for (const [id, { ownRequests }] of this.states) {
			if (!ids.has(id) && ownRequests === 0) {
				this.states.delete(id);
			}
		}
	}
}
