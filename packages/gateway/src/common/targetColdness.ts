/**
 * Keeps whether a target is cold, or may be, and limits the requests of this instance to it while it is. A target that
 * has just started handles few requests per second, and crashes if it gets many more.
 */

/** How the targets of a service start, and what this instance may send to one of them in the meantime. */
export interface ColdStart {
	/** Time for which a target is cold after its start. */
	readonly durationMs: number;
	/** Requests per second that a cold target can handle. */
	readonly requestsPerSecond: number;
}

/** Requests count together if they are sent and arrive within this time. */
const WINDOW_MS = 1000;
/** By how much a request may leave later than it was counted, for example while its connection is opened. */
const SEND_DELAY_MS = 50;
/** Longest remaining time that a target can state, so that a faulty statement does not limit it for good. */
const MAX_STATED_MS = 60_000;
/** Limit of the recorded sends, and so of a share. */
const MAX_RECORDED_SENDS = 200;

/**
 * Time after a failed connection, or a peer's report of one, for which an instance without a share waits to hear from the
 * others that the target is back, before it tries once by itself. Each waits by its trial delay longer.
 */
const UNREACHABLE_LIMIT_MS = 10_000;
/** Failed connections of two instances within this time have the same cause, which is not the path of one of them. */
const REPORT_INTERVAL_MS = 2000;

/** Why a target that states nothing is treated as cold: its start is new in the list, or it was out of use. */
export type ColdnessCause = 'listed' | 'regained';

export class TargetColdness {
	/** Whether the target was listed when this instance read its first list, so that peers may know more of it. */
	public isFromFirstList = false;
	/** Whether the target has stated a remaining time that cannot be read, so that this is logged once. */
	public hasInvalidStatement = false;
	/** Whether it was logged that the target is cold. */
	public isLoggedCold = false;
	private coldStart: ColdStart | undefined;
	private statedUntilMs = -Infinity;
	private isStatedToSelf = false;
	/** Whether the stated time is one that the target stated, to this instance or to another. */
	private isStated = false;
	/** When the target was last assumed to be cold without a statement. */
	private assumedAtMs = -Infinity;
	private cause: ColdnessCause = 'listed';
	private ownShare = 0;
	private trialDelayMs = 0;
	/** When the target was last found to be unreachable; undefined after it was reached. */
	private unreachableAtMs: number | undefined;
	private isFoundUnreachable = false;
	private isRegained = false;
	private reporter: string | undefined;
	private reportedAtMs = -Infinity;
	/** Times of the latest requests of this instance, the oldest first. */
	private sentAtMs: number[] = [];

	/** The cold start of the target's service; undefined if its targets are never cold. */
	public get definition(): ColdStart | undefined {
		return this.coldStart;
	}

	/** Requests that this instance may send to the target in any second while it is cold. */
	public get share(): number {
		return this.ownShare;
	}

	/**
	 * @param coldStart the cold start of the target's service; undefined if its targets are never cold
	 * @param share requests that this instance may send to the target in any second while it is cold
	 * @param trialDelayMs time by which this instance tries an unreachable target later than others may
	 */
	public updateDefinition(coldStart: ColdStart | undefined, share: number, trialDelayMs = 0): void {
		this.trialDelayMs = trialDelayMs;
		this.coldStart = coldStart;
		this.ownShare = Math.min(MAX_RECORDED_SENDS, share);
	}

	/** Treats the target as cold for as long as a start takes, unless it states something else. */
	public recordAssumption(cause: ColdnessCause, nowMs: number): void {
		this.assumedAtMs = nowMs;
		this.cause = cause;
	}

	/** Ends the assumption that a target is cold because it is new in the list. */
	public clearListedAssumption(): void {
		if (this.cause === 'listed') {
			this.assumedAtMs = -Infinity;
		}
	}

	/** Records how long the target stays cold, as it states in an answer to this instance. */
	public recordStatement(leftMs: number, nowMs: number): void {
		this.assumedAtMs = -Infinity;
		this.statedUntilMs = nowMs + Math.min(MAX_STATED_MS, leftMs);
		this.isStatedToSelf = leftMs > 0;
		this.isStated = leftMs > 0;
	}

	/**
	 * Records how long the target stays cold, as its entry states. The entry may have been written before the target was
	 * lost and regained, or before a longer time was stated in an answer.
	 */
	public recordListed(leftMs: number, nowMs: number): void {
		this.clearListedAssumption();
		if (leftMs > 0) {
			this.statedUntilMs = Math.max(this.statedUntilMs, nowMs + Math.min(MAX_STATED_MS, leftMs));
			this.isStatedToSelf = true;
			this.isStated = true;
		}
	}

	/**
	 * Records how long the target stays cold as a peer knows it. It only extends what is known here.
	 * @param isStated whether the target stated it to the peer
	 */
	public adopt(leftMs: number, nowMs: number, isStated: boolean): void {
		const untilMs = nowMs + Math.min(MAX_STATED_MS, leftMs);
		if (untilMs > this.statedUntilMs) {
			this.statedUntilMs = untilMs;
			this.isStatedToSelf = false;
			this.isStated = isStated;
		}
	}

	/** Records that this instance could open no connection to the target: it may restart. */
	public recordUnreachable(nowMs: number): void {
		this.unreachableAtMs = nowMs;
		this.isFoundUnreachable = true;
		this.isRegained = false;
	}

	/**
	 * Records that another instance could open no connection to the target. One instance may have lost its path; two have
	 * most likely found out that the target is down.
	 */
	public adoptUnreachable(reporter: string, nowMs: number): void {
		const isConfirmed = this.reporter !== reporter && nowMs - this.reportedAtMs <= REPORT_INTERVAL_MS;
		this.reporter = reporter;
		this.reportedAtMs = nowMs;
		if (isConfirmed && this.unreachableAtMs === undefined) {
			this.unreachableAtMs = nowMs;
			this.isRegained = false;
		}
	}

	/** Records that the target has sent something. */
	public recordContact(nowMs: number): void {
		if (this.unreachableAtMs !== undefined) {
			this.unreachableAtMs = undefined;
			this.isFoundUnreachable = false;
			this.isRegained = true;
			this.recordAssumption('regained', nowMs);
		}
	}

	/** Records that another instance has reached the target again, which stays cold for some time. */
	public adoptRegained(leftMs: number, nowMs: number): void {
		if (this.unreachableAtMs !== undefined) {
			this.unreachableAtMs = undefined;
			this.isFoundUnreachable = false;
			this.adopt(leftMs, nowMs, false);
		}
	}

	/** Whether this instance has itself found the target to be unreachable, and nobody has reached it since. */
	public get isUnreachable(): boolean {
		return this.isFoundUnreachable;
	}

	/** Records a request of this instance. Those sent before the target turned cold count in the same second. */
	public recordSent(nowMs: number): void {
		if (this.unreachableAtMs !== undefined && nowMs >= this.unreachableUntilMs) {
			// Until this trial is answered, further requests could reach a target that has just come back.
			this.unreachableAtMs = nowMs;
		}
		if (this.coldStart !== undefined) {
			this.sentAtMs.push(nowMs);
			if (this.sentAtMs.length > MAX_RECORDED_SENDS) {
				this.sentAtMs.shift();
			}
		}
	}

	/** Takes over the requests to an earlier start of the target: some of them may have reached the new one. */
	public copySends({ sentAtMs }: TargetColdness): void {
		this.sentAtMs = [...sentAtMs];
	}

	/** Returns the time for which the target is, or may be, cold, in ms. */
	public computeRemaining(nowMs: number): number {
		if (this.coldStart === undefined) {
			return 0;
		}
		const assumedUntilMs = this.assumedAtMs + this.coldStart.durationMs;
		return Math.max(0, this.statedUntilMs - nowMs, assumedUntilMs - nowMs, this.unreachableUntilMs - nowMs);
	}

	private get unreachableUntilMs(): number {
		return (this.unreachableAtMs ?? -Infinity) + UNREACHABLE_LIMIT_MS + this.trialDelayMs;
	}

	/** Whether this instance has reached the target again, and treats it as cold for that reason. */
	public isRegainedCold(nowMs: number): boolean {
		return this.isRegained && this.computeRemaining(nowMs) > 0;
	}

	/** Whether the target is cold now as it, or its entry, stated to any instance, so that all were told. */
	public isKnownStatedCold(nowMs: number): boolean {
		return this.isStated && this.statedUntilMs > nowMs;
	}

	/** Whether the target itself, or its entry, stated to this instance that it is cold now. */
	public isStatedCold(nowMs: number): boolean {
		return this.isStatedToSelf && this.coldStart !== undefined && this.statedUntilMs > nowMs;
	}

	/** Returns the time until a request may be sent, in ms; 0 if one may be sent now, infinity without a share. */
	public computeDelay(nowMs: number): number {
		const remainingMs = this.computeRemaining(nowMs);
		if (remainingMs === 0) {
			return 0;
		}
		if (this.ownShare === 0) {
			return Infinity;
		}
		const oldestMs = this.sentAtMs.at(-this.ownShare);
		if (oldestMs === undefined) {
			return 0;
		}
		return Math.min(remainingMs, Math.max(0, oldestMs + WINDOW_MS + SEND_DELAY_MS - nowMs));
	}
}
