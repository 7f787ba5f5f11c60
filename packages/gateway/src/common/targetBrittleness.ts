/**
 * Keeps requests off a target that says that it is brittle: it fails if it has to reject more requests in a second, from
 * the whole fleet, than it names. Each instance keeps to an equal part of the room that the target is believed to have.
 * The room grows slowly while it limits requests, and shrinks at each rejection, of which all instances hear.
 */

/** Part of the rejections that the target bears which the growth of its room may cost. */
const BUDGET_SHARE = 0.3;
/** Rejections that it costs to find out that the room has grown too far. */
const REJECTIONS_PER_CYCLE = 2;
const MIN_GROWTH_PAUSE_MS = 500;
/** What is left of the room after a rejection. */
const DECREASE_FACTOR = 0.8;
/**
 * Limit of the room after a rejection, relative to the requests that the target held. Instances that are cut off or have
 * no callers do not use their parts; with a factor of 1, 0.58 of the capacity was used where 0.6 is wanted.
 */
const FULL_ROOM_FACTOR = 1.25;
/** Rejections within this time have the same cause. */
const REJECTION_CLUSTER_MS = 100;
/** While it limits requests, the room grows by this part of the slots at these intervals. */
const GROWTH_SHARE = 1 / 16;
const GROWTH_INTERVAL_MS = 250;
/** Waiting requests, as a part of the slots, that keep all slots in use while the next ones are on their way. */
const SPARE_WAITING_SHARE = 1 / 4;
/** Weight of the latest report in the moving average of the requests that a target holds. */
const HELD_WEIGHT = 0.1;
/** How long such a report counts: the next one comes when an instance with few requests gets its next answer. */
const MIN_REPORT_VALIDITY_MS = 1000;
const REPORT_VALIDITY_RESIDENCES = 2;
/** Shortest time in which each instance comes in turn for the fraction of a request in its part of the room. */
const MIN_ROTATION_MS = 4000;
/** The same in times of a request on the target, since those of an instance whose turn is over still use room. */
const ROTATION_RESIDENCES = 20;
/** Time of a request on the target, until one is known. */
const DEFAULT_RESIDENCE_MS = 1000;
/** Weight of the latest request in the moving average of the time on the target. */
const RESIDENCE_WEIGHT = 0.1;
/** When a request may find room at a target that is full. */
const FULL_DELAY_MS = 150;

export class TargetBrittleness {
	/** Number of instances that share the target's room. */
	public instances = 1;
	/** Whether this instance hears of the rejections of nearly all others; without them the room must not grow. */
	public hearsOthers = true;
	private bearable: number | undefined;
	/** Requests for which the target is believed to have room. */
	private room: number;
	private nextGrowthMs = -Infinity;
	private decreasedAtMs = -Infinity;
	private fullUntilMs = -Infinity;
	private averageResidenceMs: number | undefined;
	private turnedAtMs: number | undefined;
	/** Moving average of the requests that the target held when it answered; undefined if it does not tell. */
	private averageHeld: number | undefined;
	/** Until then a report that enough requests wait on the target keeps its room from growing. */
	private sufficientUntilMs = -Infinity;

	/** @param turn random number in [0, 1), which determines when it is the turn of this instance */
	constructor(
		private readonly slots: number,
		private turn: number,
	) {
		this.room = slots;
	}

	/** Requests that the target may have to reject in a second; undefined if it is not brittle. */
	public get rejectionsPerSecond(): number | undefined {
		return this.bearable;
	}

	/** Records what the target says; undefined if it is not brittle. Returns whether that is new. */
	public state(rejectionsPerSecond: number | undefined): boolean {
		const isNew = this.bearable !== rejectionsPerSecond;
		if (isNew && this.bearable === undefined) {
			this.room = this.slots;
		}
		this.bearable = rejectionsPerSecond;
		return isNew;
	}

	/**
	 * Records that the target rejected a request, of this instance or of another.
	 * @param held requests that ran or waited on it then; undefined if it does not tell
	 */
	public recordRejection(nowMs: number, held: number | undefined): void {
		const previousRoom = this.room;
		if (nowMs - this.decreasedAtMs > REJECTION_CLUSTER_MS) {
			this.decreasedAtMs = nowMs;
			this.room *= DECREASE_FACTOR;
		}
		// What it held when it was full is all the room that it has, however far the estimate is from that.
		this.room = Math.max(1, Math.min(this.room, FULL_ROOM_FACTOR * (held ?? Infinity)));
		this.nextGrowthMs = nowMs + this.computeGrowthPause();
		// Until as many requests have ended as the room has shrunk by, those that fill it are sent already.
		const freedShare = Math.max(1 - DECREASE_FACTOR, 1 - this.room / previousRoom);
		this.fullUntilMs = Math.max(this.fullUntilMs, nowMs + freedShare * this.residenceMs);
	}

	/**
	 * Records how many requests ran or waited on the target when it answered one. While enough wait to keep all slots in
	 * use, more room would only fill its queue, and how long that may be can change at any time.
	 */
	public recordHeld(held: number, nowMs: number): void {
		const averageHeld = this.averageHeld ?? held;
		this.averageHeld = averageHeld + HELD_WEIGHT * (held - averageHeld);
		const isEnough = this.averageHeld > this.slots + Math.max(1, SPARE_WAITING_SHARE * this.slots);
		const validityMs = Math.max(MIN_REPORT_VALIDITY_MS, REPORT_VALIDITY_RESIDENCES * this.residenceMs);
		this.sufficientUntilMs = isEnough ? nowMs + validityMs : -Infinity;
	}

	/** Records for how long the target had a request that it answered. */
	public recordEnd(residenceMs: number): void {
		const averageMs = this.averageResidenceMs ?? residenceMs;
		this.averageResidenceMs = averageMs + RESIDENCE_WEIGHT * (residenceMs - averageMs);
	}

	/**
	 * Returns the time until the target may have room for a request of this instance, in ms; 0 if it has.
	 * @param ownRequests requests of this instance in flight on the target
	 */
	public computeDelay(ownRequests: number, nowMs: number): number {
		if (this.bearable === undefined || this.hasRoom(ownRequests, nowMs)) {
			return 0;
		}
		// While nobody may send, a refusal does not tell that there is too little room.
		const growsAtMs = Math.max(this.nextGrowthMs, this.sufficientUntilMs, this.fullUntilMs);
		if (this.hearsOthers && nowMs >= growsAtMs) {
			this.room += Math.max(1, GROWTH_SHARE * this.slots);
			this.nextGrowthMs = nowMs + GROWTH_INTERVAL_MS;
		}
		return FULL_DELAY_MS;
	}

	private hasRoom(ownRequests: number, nowMs: number): boolean {
		const rotationMs = Math.max(MIN_ROTATION_MS, ROTATION_RESIDENCES * this.residenceMs);
		this.turn = (this.turn + Math.max(0, nowMs - (this.turnedAtMs ?? nowMs)) / rotationMs) % 1;
		this.turnedAtMs = nowMs;
		return nowMs >= this.fullUntilMs && ownRequests + 1 <= Math.floor(this.room / this.instances + this.turn);
	}

	private get residenceMs(): number {
		return this.averageResidenceMs ?? DEFAULT_RESIDENCE_MS;
	}

	private computeGrowthPause(): number {
		const budget = BUDGET_SHARE * Math.max(1, this.bearable ?? 1);
		return Math.max(MIN_GROWTH_PAUSE_MS, (REJECTIONS_PER_CYCLE / budget) * 1000);
	}
}
