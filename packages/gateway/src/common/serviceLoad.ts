/** What the load reports of all targets of a service tell together; used where there is no fresh report of a target. */

/** Weight of the latest request in the moving average of the time on a target. */
const RESIDENCE_WEIGHT = 0.05;
/** Time of a request on a target, until one is known. */
const DEFAULT_RESIDENCE_MS = 100;
/** Time constant of the moving average of a target's load: several bursts of arrivals, but less than a surge. */
const AVERAGE_MS = 1000;
/** An average that is so much older than the newest one is that of a target that is out of use. */
const AVERAGE_VALID_MS = 5000;
/** Interval at which the mean of the targets is computed again, since each choice reads it for each target. */
const MEAN_INTERVAL_MS = 100;

/** Average load of one target by senders other than this instance. */
export class AverageLoad {
	private average: number | undefined;
	private latestAtMs = -Infinity;

	constructor(public readonly slots: number) {}

	/** Average number of requests; undefined before the first report. */
	public get requests(): number | undefined {
		return this.average;
	}

	/** Time of the newest report. */
	public get updatedAtMs(): number {
		return this.latestAtMs;
	}

	public record(requests: number, atMs: number): void {
		const average = this.average ?? requests;
		const weight = 1 - Math.exp(-Math.max(0, atMs - this.latestAtMs) / AVERAGE_MS);
		this.average = average + weight * (requests - average);
		this.latestAtMs = Math.max(this.latestAtMs, atMs);
	}
}

export class ServiceLoad {
	/** Whether a target of the service reported a fourth figure, so that reports are used for decisions. */
	public isInUse = false;
	/** Whether the loads of other instances are known. */
	public hearsPeers = false;
	private members: readonly AverageLoad[] = [];
	private averageResidenceMs: number | undefined;
	private meanPerSlot: number | undefined;
	private computedAtMs = -Infinity;

	public setMembers(members: readonly AverageLoad[]): void {
		this.members = members;
		this.computedAtMs = -Infinity;
	}

	/** Average time of a request on a target, in ms. */
	public get residenceMs(): number {
		return this.averageResidenceMs ?? DEFAULT_RESIDENCE_MS;
	}

	public recordResidence(residenceMs: number): void {
		const averageMs = this.averageResidenceMs ?? residenceMs;
		this.averageResidenceMs = averageMs + RESIDENCE_WEIGHT * (residenceMs - averageMs);
	}

	/** Mean requests per slot by other senders; undefined before the first report of any target. */
	public computeMeanPerSlot(nowMs: number): number | undefined {
		if (nowMs - this.computedAtMs >= MEAN_INTERVAL_MS) {
			const newestMs = this.members.reduce(
				(latest, { updatedAtMs }) => Math.max(latest, updatedAtMs),
				-Infinity,
			);
			const known = this.members.filter(
				({ requests, updatedAtMs }) => requests !== undefined && newestMs - updatedAtMs <= AVERAGE_VALID_MS,
			);
			const slots = known.reduce((sum, member) => sum + member.slots, 0);
			const total = known.reduce((sum, { requests }) => sum + (requests ?? 0), 0);
			this.meanPerSlot = slots === 0 ? undefined : total / slots;
			this.computedAtMs = nowMs;
		}
		return this.meanPerSlot;
	}
}
