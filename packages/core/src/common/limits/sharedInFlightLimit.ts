/**
 * A fleet-wide limit on requests in flight. Each router computes the free capacity from the latest reports
 * of the others and may use a part of it in proportion to its own usage, but at least one slot.
 */

export interface SharedInFlightOptions {
	/** Maximum number of requests in flight in the whole fleet. */
	readonly limit: number;
	/** This router's instance. */
	readonly self: string;
	/** Usage reports older than this are ignored, in ms. */
	readonly staleAfterMs: number;
}

export class SharedInFlightLimit {
	private readonly reports = new Map<string, { readonly inFlight: number; readonly reportedAtMs: number }>();
	private inFlight = 0;

	constructor(private readonly options: SharedInFlightOptions) {}

	/** Requests in flight at this router, to be reported to the others. */
	public get inFlightCount(): number {
		return this.inFlight;
	}

	/** Applies a report of another router's usage; older reports than the latest one are ignored. */
	public applyUsageReport(router: string, inFlight: number, reportedAtMs: number): void {
		const latest = this.reports.get(router);
		if (router !== this.options.self && (latest === undefined || reportedAtMs > latest.reportedAtMs)) {
			this.reports.set(router, { inFlight: Math.max(0, inFlight), reportedAtMs });
		}
	}

	/** Adds a request in flight; returns false if the limit is reached. */
	public tryAcquire(nowMs: number): boolean {
		if (this.inFlight + 1 > this.computeAllowance(nowMs)) {
			return false;
		}
		this.inFlight += 1;
		return true;
	}

	public release(): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/** Returns how many requests this router may have in flight now. */
	public computeAllowance(nowMs: number): number {
		let others = 0;
		for (const report of this.reports.values()) {
			others += nowMs - report.reportedAtMs > this.options.staleAfterMs ? 0 : report.inFlight;
		}
		const free = this.options.limit - others - this.inFlight;
		if (free < 1) {
			return this.inFlight;
		}
		const ownShare = (this.inFlight + 1) / (this.inFlight + others + 1);
		return this.inFlight + Math.max(1, Math.floor(free * ownShare));
	}
}
