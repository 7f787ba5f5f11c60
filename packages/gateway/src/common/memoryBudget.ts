/**
 * Limits what one process holds for others: requests, their bodies, and answers that were read from targets but not yet
 * taken by callers. As the budget fills, the answers with the most unread bytes are paused first, then answers whose
 * callers take nothing are lost, and at last requests are refused. Unread answers alone never lead to a refusal.
 */
import { CustomerShares } from './customerShares.js';
import type { EventLog } from './eventLog.js';

/**
 * Share of the process's memory. The rest is for Node.js, for the gateway's own state, and for buffers that were released
 * and not yet collected, which may be as many bytes again.
 */
const BUDGET_SHARE = 0.25;
/**
 * Share of the heap for the objects that are kept for requests. The rest is for the gateway's own state and for garbage;
 * the runtime ends the process when the heap is full.
 */
const HEAP_SHARE = 0.5;
/** Size of the objects that are kept for a request from its arrival to its end, beside what depends on its head. */
const REQUEST_BYTES = 10_000;
/** The same for each name and each value of its headers, beside the text. */
const HEADER_TEXT_BYTES = 80;
/** The same for each part of its prompt. */
const PROMPT_PART_BYTES = 200;
/** Size of the objects that the runtime keeps for a part of an answer that was written and not taken. */
const WRITE_BYTES = 500;
/** Share of the budget for unread answers. The rest is left to requests, however many callers do not read. */
const ANSWER_SHARE = 0.75;
/** An answer may hold so many times what is free. */
const FREE_FACTOR = 2;
/** A paused answer goes on when it holds less than this part of what it may, so that it does not pause at its next bytes. */
const RESUME_SHARE = 0.4;
/** Free share of the budget below which memory is short, so that answers which stay unread are lost. */
const SHORT_SHARE = 0.125;
/** Free share of the budget from which on memory is no longer short. */
const REGAINED_SHARE = 0.25;

/**
 * Time without progress after which a caller counts as stalled while memory is short. Targets cut off answers that stay
 * unread for some seconds.
 */
const STALL_LIMIT_MS = 5000;

/** An answer on its way to a caller. */
export interface UnreadAnswer {
	/** Bytes that are held because the caller has not taken them yet. */
	readonly unreadBytes: number;
	/** Number of writes that hold these bytes. */
	readonly unreadWrites: number;
	/** Has `recordStall` called once if the caller takes nothing for this time; it may be called at twice the time. */
	watchForStall(limitMs: number): void;
	/** Closes the caller's connection, so that the answer does not look complete. */
	reset(): void;
}

export interface MemoryBudgetParts {
	readonly log: EventLog;
	readonly countDecision: (event: string) => void;
	/** Size of the heap at which the runtime ends the process. */
	readonly heapLimitBytes: number;
}

/**
 * Estimates the size of the objects that are kept for a request while it runs or waits.
 * @param headers names and values
 */
export function estimateRequestBytes(headers: readonly string[], promptParts: number): number {
	const headBytes = headers.reduce((sum, text) => sum + text.length + HEADER_TEXT_BYTES, 0);
	return REQUEST_BYTES + headBytes + promptParts * PROMPT_PART_BYTES;
}

/** @param memoryBytes memory that the process may use in all */
export function computeBudgetBytes(memoryBytes: number): number {
	return Math.floor(memoryBytes * BUDGET_SHARE);
}

export class MemoryBudget {
	/** What is held of answers. */
	public readonly answers: CustomerShares;
	/** What is held of the bodies of requests. */
	public readonly bodies: CustomerShares;
	private readonly requests = new Set<HeldMemory>();
	private objectBytes = 0;
	private wasShort = false;
	/** Bytes of the budget that a byte of the heap takes, so that neither the budget nor the heap's share is exceeded. */
	private readonly heapWeight: number;

	constructor(
		public readonly limitBytes: number,
		private readonly parts: MemoryBudgetParts,
	) {
		this.heapWeight = Math.max(1, limitBytes / (HEAP_SHARE * parts.heapLimitBytes));
		this.answers = new CustomerShares(limitBytes * ANSWER_SHARE);
		this.bodies = new CustomerShares(limitBytes);
	}

	public get heldBytes(): number {
		return this.requestBytes + this.answers.heldBytes;
	}

	/** What further answers may take. */
	public get freeAnswerBytes(): number {
		return Math.min(this.answers.freeBytes, this.freeBytes);
	}

	private get requestBytes(): number {
		return this.objectBytes + this.bodies.heldBytes;
	}

	private get freeBytes(): number {
		return Math.max(0, this.limitBytes - this.heldBytes);
	}

	/**
	 * Starts the account of one request, which ends with `release`.
	 * @param requestBytes size of the objects that are kept for it
	 */
	public open(requestId: string, answer: UnreadAnswer, requestBytes: number): HeldMemory {
		const held = new HeldMemory(this, requestId, answer, this.weighHeapBytes(requestBytes));
		this.requests.add(held);
		return held;
	}

	/** Whether a body, or a further part of one, fits. */
	public hasRoomFor(bytes: number): boolean {
		const answerBytes = Math.min(this.answers.heldBytes, this.answers.limitBytes);
		return this.requestBytes + answerBytes + bytes <= this.limitBytes;
	}

	/** Returns how much of the budget objects of this size take. */
	public weighHeapBytes(bytes: number): number {
		return Math.ceil(bytes * this.heapWeight);
	}

	/** Called periodically: frees room if memory is short, and lets paused answers for which there is room go on. */
	public tick(): void {
		for (const held of this.requests) {
			held.refresh();
		}
		this.updateShortage();
		if (this.wasShort) {
			this.dropStalled();
		}
		for (const held of this.requests) {
			held.updateStallWatch(this.wasShort);
			held.resumeIfRoom();
		}
	}

	/** Called by the accounts, for the objects of requests. */
	public addObjects(bytes: number): void {
		this.objectBytes += bytes;
	}

	/** Called by an account that ends. */
	public close(held: HeldMemory): void {
		this.requests.delete(held);
	}

	/** Called by an account whose answer is paused. */
	public countPause(): void {
		this.parts.countDecision('unreadAnswerPaused');
	}

	private updateShortage(): void {
		const isShort = this.isBelow(this.wasShort ? REGAINED_SHARE : SHORT_SHARE);
		if (isShort === this.wasShort) {
			return;
		}
		this.wasShort = isShort;
		this.parts.log.write('state', isShort ? 'memoryShort' : 'memoryRegained', {
			heldBytes: this.heldBytes,
			limitBytes: this.limitBytes,
			requests: this.requests.size,
		});
	}

	private isBelow(freeShare: number): boolean {
		return this.freeBytes < this.limitBytes * freeShare;
	}

	/** Gives up answers whose callers take nothing, those with the most unread bytes first, until memory is not short. */
	private dropStalled(): void {
		const stalled = [...this.requests].filter(({ isStalled }) => isStalled);
		stalled.sort((a, b) => a.answerBytes - b.answerBytes);
		for (let held = stalled.pop(); held !== undefined && this.isBelow(REGAINED_SHARE); held = stalled.pop()) {
			this.parts.countDecision('unreadAnswerDropped');
			this.parts.log.write('decision', 'unreadAnswerDropped', {
				id: held.requestId,
				unreadBytes: held.answerBytes,
				heldBytes: this.heldBytes,
			});
			held.drop();
		}
	}
}

/** What is held for one request, from its arrival until its answer is taken or its caller has left. */
export class HeldMemory {
	private bodyBytes = 0;
	private unreadBytes = 0;
	/** Empty until it is known, and on public routes. */
	private customer = '';
	private isReleased = false;
	private hasStalled = false;
	private isWatched = false;
	private resume: (() => void) | undefined;

	constructor(
		private readonly budget: MemoryBudget,
		public readonly requestId: string,
		private readonly answer: UnreadAnswer,
		private readonly requestBytes: number,
	) {
		budget.addObjects(requestBytes);
	}

	/** What is held of the answer because the caller has not taken it, as of the last update. */
	public get answerBytes(): number {
		return this.unreadBytes;
	}

	/** Whether the caller has taken nothing for too long. */
	public get isStalled(): boolean {
		return this.hasStalled;
	}

	/** Called when the customer of the caller is known, before anything of a body or an answer is held. */
	public setCustomer(customer: string): void {
		this.customer = customer;
	}

	/** Whether a body, or a further part of one, fits in the budget and in the share of the customer. */
	public hasRoomForBody(bytes: number): boolean {
		const { bodies } = this.budget;
		const isOnlyBody = bodies.countRequests(this.customer) <= Number(this.bodyBytes > 0);
		return (
			this.budget.hasRoomFor(bytes) &&
			(isOnlyBody || !bodies.isAboveShareWith(this.customer, this.bodyBytes, this.bodyBytes + bytes))
		);
	}

	/** Adds a part of the request's body; false if it does not fit, and the request is to be refused. */
	public addBody(bytes: number): boolean {
		if (!this.hasRoomForBody(bytes)) {
			return false;
		}
		if (!this.isReleased) {
			this.updateBody(this.bodyBytes + bytes);
		}
		return true;
	}

	/** Called when the body is no longer needed. */
	public releaseBody(): void {
		this.updateBody(0);
	}

	/** Records how much of the answer is held at this moment, in how many writes. */
	public recordAnswer(bytes: number, writes: number): void {
		if (!this.isReleased) {
			const heldBytes = bytes + this.budget.weighHeapBytes(writes * WRITE_BYTES);
			this.budget.answers.update(this.customer, this.unreadBytes, heldBytes);
			this.unreadBytes = heldBytes;
		}
	}

	/**
	 * Whether an answer that its caller does not take is to be read no further: it may hold as much as is still free, so that
	 * those whose callers take the least are paused first, and what its customer's share allows.
	 */
	public shouldPause(): boolean {
		return this.isAbove(this.unreadBytes);
	}

	/** Records that the answer is paused. `resume` is called when there is room for more of it. */
	public pause(resume: () => void): void {
		this.resume = resume;
		this.budget.countPause();
	}

	/**
	 * Called when nothing was sent to a watched caller for the time in which it has to take something.
	 * @param isUnread whether there was something to take
	 */
	public recordStall(isUnread: boolean): void {
		this.isWatched = false;
		this.hasStalled = isUnread && !this.isReleased;
	}

	/** Takes over how much the caller has taken since the last update. */
	public refresh(): void {
		if (this.unreadBytes === 0) {
			return;
		}
		const earlierBytes = this.unreadBytes;
		this.recordAnswer(this.answer.unreadBytes, this.answer.unreadWrites);
		this.hasStalled &&= this.unreadBytes >= earlierBytes;
	}

	/** While memory is short, has the caller of an unread answer watched; a stall of an earlier shortage is forgotten. */
	public updateStallWatch(isShort: boolean): void {
		if (!isShort) {
			this.hasStalled = false;
		} else if (this.unreadBytes > 0 && !this.isWatched && !this.hasStalled) {
			this.isWatched = true;
			this.answer.watchForStall(STALL_LIMIT_MS);
		}
	}

	/** Lets a paused answer go on if there is room. */
	public resumeIfRoom(): void {
		if (this.resume !== undefined && !this.isAbove(this.unreadBytes / RESUME_SHARE)) {
			const { resume } = this;
			this.resume = undefined;
			resume();
		}
	}

	public drop(): void {
		this.release();
		this.answer.reset();
	}

	/** Ends the account, whatever ended the request. */
	public release(): void {
		if (!this.isReleased) {
			this.releaseBody();
			this.recordAnswer(0, 0);
			this.budget.addObjects(-this.requestBytes);
			this.resume = undefined;
			this.hasStalled = false;
			this.isReleased = true;
			this.budget.close(this);
		}
	}

	private updateBody(bytes: number): void {
		this.budget.bodies.update(this.customer, this.bodyBytes, bytes);
		this.bodyBytes = bytes;
	}

	/** Whether an answer of the customer may not hold so many bytes. */
	private isAbove(bytes: number): boolean {
		const { answers, freeAnswerBytes } = this.budget;
		return bytes > FREE_FACTOR * freeAnswerBytes || answers.isAboveShare(this.customer, bytes);
	}
}
