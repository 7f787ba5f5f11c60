/**
 * Decides whether this instance has lost its path to the targets. A target that fails is told from a lost path by the
 * others: while any target is heard, the path is there.
 */

/** Time without a sign of any target, and with a failure, after which several of them are probed. */
const QUIET_MS = 300;
/** Time between two rounds of probes while the path is lost. */
const PROBE_INTERVAL_MS = 500;

export class TargetPath {
	private lastContactMs = -Infinity;
	private lastFailureMs = -Infinity;
	private nextProbeMs = -Infinity;
	private isPathLost = false;

	/** @param onDidChange called when the path is lost, and when it is back */
	constructor(private readonly onDidChange: (isLost: boolean) => void) {}

	public get isLost(): boolean {
		return this.isPathLost;
	}

	/** Records that a target sent something or accepted a connection. */
	public recordContact(nowMs: number): void {
		this.lastContactMs = Math.max(this.lastContactMs, nowMs);
		this.setLost(false);
	}

	/** Records that a connection to a target failed, or that a target is silent for too long. */
	public recordFailure(nowMs: number): void {
		this.lastFailureMs = Math.max(this.lastFailureMs, nowMs);
	}

	/** Whether targets have to be probed now. */
	public isProbeDue(nowMs: number): boolean {
		const isSuspected = this.lastFailureMs > this.lastContactMs && nowMs - this.lastContactMs >= QUIET_MS;
		return nowMs >= this.nextProbeMs && (this.isPathLost || isSuspected);
	}

	/** Called when a round of probes begins. */
	public beginProbes(nowMs: number): void {
		this.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
	}

	/** Called when no target accepted a connection in a round of probes. */
	public recordFailedProbes(beganAtMs: number): void {
		if (this.lastContactMs < beganAtMs) {
			this.setLost(true);
		}
	}

	private setLost(isLost: boolean): void {
		if (this.isPathLost !== isLost) {
			this.isPathLost = isLost;
			this.onDidChange(isLost);
		}
	}
}
