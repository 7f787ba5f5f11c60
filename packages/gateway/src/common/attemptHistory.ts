/** Tracks the targets to which one request was sent, and those to which it may still be sent. */

/** Failures on healthy targets after which the request itself is considered the cause. */
const MAX_FAILURES_ON_HEALTHY_TARGETS = 2;

export class AttemptHistory {
	/** Targets on which the request ran or may have run. */
	private readonly targetsRunOn = new Set<string>();
	private readonly excludedTargets = new Set<string>();
	/** Failures on targets that rarely fail; the request itself is then the likely cause. */
	private failuresOnHealthyTargets = 0;
	private areSendsStopped = false;
	private runCount = 0;
	private sendCount = 0;

	/** @param maxTargets number of targets on which the request may run */
	constructor(private readonly maxTargets: number) {}

	/** Attempts that ran or may have run. */
	public get runs(): number {
		return this.runCount;
	}

	/** Sends, including those that a target rejected. */
	public get sends(): number {
		return this.sendCount;
	}

	/** Targets on which the request ran or may have run. */
	public get usedTargets(): readonly string[] {
		return [...this.targetsRunOn];
	}

	/** Targets to which the request is not sent again. */
	public get excluded(): ReadonlySet<string> {
		return this.excludedTargets;
	}

	/** The only targets on which the request may still run; undefined if any target may be used. */
	public get allowed(): ReadonlySet<string> | undefined {
		return this.targetsRunOn.size >= this.maxTargets ? this.targetsRunOn : undefined;
	}

	/** Whether the request may still be sent to some target, new or already used. */
	public get hasEligibleTarget(): boolean {
		if (this.areSendsStopped || this.failuresOnHealthyTargets >= MAX_FAILURES_ON_HEALTHY_TARGETS) {
			return false;
		}
		return this.allowed === undefined || [...this.targetsRunOn].some((id) => !this.excludedTargets.has(id));
	}

	/** Called when the request may crash any target. */
	public stopSends(): void {
		this.areSendsStopped = true;
	}

	public addExcluded(target: string): void {
		this.excludedTargets.add(target);
	}

	/** Called when the first byte is sent. Returns whether this is the first run on the target. */
	public recordSend(target: string | undefined): boolean {
		this.sendCount += 1;
		this.runCount += 1;
		if (target === undefined || this.targetsRunOn.has(target)) {
			return false;
		}
		this.targetsRunOn.add(target);
		return true;
	}

	/** Records a target on which the request ran or may have run before it was relayed to this instance. */
	public recordEarlierRun(target: string): void {
		this.runCount += 1;
		this.targetsRunOn.add(target);
	}

	/** Removes the latest send from the runs: the target certainly did not run it. */
	public recordNotRun(target: string, wasFirstRunThere: boolean): void {
		this.runCount -= 1;
		if (wasFirstRunThere) {
			this.targetsRunOn.delete(target);
		}
	}

	public recordFailureOnHealthyTarget(): void {
		this.failuresOnHealthyTargets += 1;
	}
}
