/** Tracks when frames were last exchanged with one member, and the progress of probing it. */
import type { MembershipTiming } from './membershipTiming.js';

/** Next action for a member from which no frame arrives. */
export type ProbeStep = 'none' | 'ping' | 'indirectPing' | 'suspect';

export class LivenessTracker {
	private lastReceivedMs: number;
	private lastSentMs: number;
	private probeStartedAtMs: number | undefined;
	private isIndirectProbeSent = false;

	constructor(
		private readonly timing: MembershipTiming,
		nowMs: number,
	) {
		this.lastReceivedMs = nowMs;
		this.lastSentMs = nowMs - timing.heartbeatIntervalMs;
	}

	public markReceived(nowMs: number): void {
		this.lastReceivedMs = nowMs;
		this.probeStartedAtMs = undefined;
	}

	public markSent(nowMs: number): void {
		this.lastSentMs = nowMs;
	}

	/**
	 * Records that the stream broke, so that the member is probed without waiting for the liveness time-out.
	 */
	public markDisconnected(nowMs: number): void {
		this.lastReceivedMs = Math.min(this.lastReceivedMs, nowMs - this.timing.livenessTimeoutMs);
	}

	public isHeartbeatDue(nowMs: number): boolean {
		return nowMs - this.lastSentMs >= this.timing.heartbeatIntervalMs;
	}

	/** Advances the probe and returns the step that is due. Each step is returned once per probe. */
	public advanceProbe(nowMs: number): ProbeStep {
		if (nowMs - this.lastReceivedMs < this.timing.livenessTimeoutMs) {
			return 'none';
		}
		if (this.probeStartedAtMs === undefined) {
			this.probeStartedAtMs = nowMs;
			this.isIndirectProbeSent = false;
			return 'ping';
		}
		const elapsedMs = nowMs - this.probeStartedAtMs;
		if (elapsedMs >= this.timing.directProbeTimeoutMs + this.timing.indirectProbeTimeoutMs) {
			this.probeStartedAtMs = undefined;
			return 'suspect';
		}
		if (elapsedMs >= this.timing.directProbeTimeoutMs && !this.isIndirectProbeSent) {
			this.isIndirectProbeSent = true;
			return 'indirectPing';
		}
		return 'none';
	}
}
