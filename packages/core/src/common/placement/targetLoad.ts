/** Load of one target as recorded by one router. */

/**
 * Changes that are kept with their time. Beyond that the older half is dropped from the list, and stays in
 * the sum until the next report.
 */
const MAX_CHANGES = 512;

/** One request that this router sent (+1) or finished (-1). */
interface LoadChange {
	readonly atMs: number;
	readonly change: number;
}

/** The last report, and the requests that this router sent and finished since. */
export class TargetLoad {
	/** Requests in the last report, or undefined before the first report. */
	public reportedRequests: number | undefined;
	/** Time of the last report, epoch ms. */
	public reportedAtMs = -Infinity;
	/** This router's in-flight requests. */
	public inFlight = 0;
	/** Unused reservations granted by the owner. */
	public reservations = 0;
	public reservationsExpireAtMs = 0;
	/** End of the back-off after a denial by the owner. */
	public deniedUntilMs = 0;
	/** Cached owner of the target in the current router view; undefined until looked up. */
	public owner: string | undefined;
	/** Requests that this router sent minus those that it finished since the last report. */
	public changeSinceReport = 0;
	private changes: LoadChange[] | undefined;

	constructor(
		public readonly instance: string,
		public readonly zone: string,
		public readonly capacity: number,
	) {}

	/** Records that this router sent (+1) or finished (-1) a request. */
	public noteChange(change: number, nowMs: number): void {
		this.changes ??= [];
		this.changes.push({ atMs: nowMs, change });
		this.changeSinceReport += change;
		this.inFlight = Math.max(0, this.inFlight + change);
		if (this.changes.length > MAX_CHANGES) {
			this.changes.splice(0, MAX_CHANGES / 2);
		}
	}

	/** Counts the requests that this router sent after `sinceMs`. */
	public countSendsAfter(sinceMs: number): number {
		return this.changes?.filter(({ atMs, change }) => change > 0 && atMs > sinceMs).length ?? 0;
	}

	/** Records a report. Returns false if it is not newer than the last one. */
	public noteReport(requests: number, versionMs: number): boolean {
		if (versionMs <= this.reportedAtMs) {
			return false;
		}
		this.reportedRequests = requests;
		this.reportedAtMs = versionMs;
		const remainingChanges = this.changes?.filter((change) => change.atMs > versionMs);
		this.changes = remainingChanges;
		this.changeSinceReport = remainingChanges?.reduce((sum, { change }) => sum + change, 0) ?? 0;
		return true;
	}

	/** Consumes one unused reservation. Returns false if there is none or they have expired. */
	public consumeReservation(nowMs: number): boolean {
		if (this.reservations === 0 || nowMs >= this.reservationsExpireAtMs) {
			this.reservations = 0;
			return false;
		}
		this.reservations -= 1;
		return true;
	}
}
