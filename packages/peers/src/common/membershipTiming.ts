/** Intervals and time-outs of failure detection, in ms. */

export interface MembershipTiming {
	/** Longest time without a frame to a neighbour; a heartbeat is sent then. */
	readonly heartbeatIntervalMs: number;
	/** A neighbour from which no frame has arrived for this long is probed. */
	readonly livenessTimeoutMs: number;
	/** Time-out of a direct probe. */
	readonly directProbeTimeoutMs: number;
	/** Time-out of the indirect probes. */
	readonly indirectProbeTimeoutMs: number;
	/** Time to refute a suspicion in a fleet of up to ten; grows with the logarithm of the fleet size. */
	readonly baseSuspicionTimeoutMs: number;
	/** Retention of dead members and of members that left, unless the instance list contains them. */
	readonly deadMemberRetentionMs: number;
	/** Dial attempts to unreachable routers are one to two times this apart; the jitter is uniform. */
	readonly minDialIntervalMs: number;
	/** A gap of at least this length between two ticks means that this process was paused. */
	readonly pauseThresholdMs: number;
	/**
	 * Number of routers asked for an indirect probe, and of routers dialed at once while no member is known.
	 */
	readonly indirectProbeCount: number;
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
	heartbeatIntervalMs: 1_500,
	livenessTimeoutMs: 3_200,
	directProbeTimeoutMs: 600,
	indirectProbeTimeoutMs: 1_000,
	baseSuspicionTimeoutMs: 1_800,
	deadMemberRetentionMs: 60_000,
	minDialIntervalMs: 1_500,
	pauseThresholdMs: 2_000,
	indirectProbeCount: 3,
};

/** Returns how long a suspect may refute the suspicion in a fleet of `count` routers. */
export function computeSuspicionTimeoutMs(timing: MembershipTiming, count: number): number {
	return timing.baseSuspicionTimeoutMs * Math.max(1, Math.log10(count));
}
