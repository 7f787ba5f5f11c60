import { expect } from 'chai';
import type { HeldMemory, UnreadAnswer } from '../../src/common/memoryBudget.js';
import { computeBudgetBytes, estimateRequestBytes, MemoryBudget } from '../../src/common/memoryBudget.js';

const LIMIT_BYTES = 1000;

class FakeAnswer implements UnreadAnswer {
	public unreadBytes = 0;
	public unreadWrites = 0;
	public isWatched = false;
	public isReset = false;

	public watchForStall(): void {
		this.isWatched = true;
	}

	public reset(): void {
		this.isReset = true;
	}
}

describe('MemoryBudget', () => {
	let budget: MemoryBudget;
	let events: string[];

	beforeEach(() => {
		events = [];
		budget = new MemoryBudget(LIMIT_BYTES, {
			log: {
				write: (_, event) => {
					events.push(event);
				},
			},
			countDecision: () => undefined,
			heapLimitBytes: Infinity,
		});
	});

	function open(unreadBytes = 0): { held: HeldMemory; answer: FakeAnswer } {
		const answer = new FakeAnswer();
		const held = budget.open('1', answer, 0);
		setUnread(held, answer, unreadBytes);
		return { held, answer };
	}

	function setUnread(held: HeldMemory, answer: FakeAnswer, bytes: number): void {
		answer.unreadBytes = bytes;
		held.recordAnswer(bytes, 0);
	}

	it('an instance of 250 MB holds 62.5 MB', () => {
		expect(computeBudgetBytes(250e6)).to.equal(62.5e6);
	});

	// Guards against a process that ends at its heap limit while all payload bytes are within the budget.
	describe('objects on the heap', () => {
		const heapLimitBytes = 216e6;
		const log = { write: () => undefined };

		for (const limitBytes of [computeBudgetBytes(250e6), computeBudgetBytes(870e6)]) {
			it(`requests, and small writes that are not taken, take half of the heap at most of ${limitBytes} bytes`, () => {
				const parts = { log, countDecision: () => undefined, heapLimitBytes };
				const limited = new MemoryBudget(limitBytes, parts);
				const headers = Array.from({ length: 100 }, () => 'x'.repeat(100));
				// What such a request took of the heap: 10 kB, its text, and some hundred bytes for each header and part.
				const requestBytes = estimateRequestBytes(headers, 100);
				expect(requestBytes).to.be.within(30_000, 60_000);
				let requests = 0;
				const first = limited.open('1', new FakeAnswer(), requestBytes);
				while (limited.hasRoomFor(0)) {
					limited.open('1', new FakeAnswer(), requestBytes);
					requests += 1;
				}
				expect(requests * requestBytes).to.be.within(heapLimitBytes / 4, heapLimitBytes / 2);
				first.recordAnswer(50, 1);
				expect(first.shouldPause()).to.equal(true);
			});
		}
	});

	it('a body that does not fit is refused, and one that fits then is accepted', () => {
		const { held } = open(400);
		expect(held.addBody(600)).to.equal(true);
		expect(open().held.addBody(1)).to.equal(false);
		expect(budget.hasRoomFor(0)).to.equal(true);
		held.releaseBody();
		expect(open().held.addBody(600)).to.equal(true);
	});

	it('whatever ends a request, twice or with late writes, nothing stays counted', () => {
		const { held, answer } = open(300);
		held.addBody(200);
		held.release();
		held.release();
		setUnread(held, answer, 500);
		held.releaseBody();
		budget.tick();
		expect(budget.heldBytes).to.equal(0);
	});

	it('the answer with the most unread bytes is paused first, while others go on', () => {
		const slow = open(500).held;
		const other = open(100).held;
		expect(slow.shouldPause()).to.equal(true);
		expect(other.shouldPause()).to.equal(false);
	});

	it('a paused answer goes on when memory becomes free, though its caller has taken nothing', () => {
		const { held } = open(300);
		const body = open();
		body.held.addBody(400);
		let resumed = 0;
		held.pause(() => {
			resumed += 1;
		});
		budget.tick();
		expect(resumed).to.equal(0);
		body.held.release();
		budget.tick();
		budget.tick();
		expect(resumed).to.equal(1);
	});

	it('a caller that stalled while memory was free keeps its answer when it becomes short', () => {
		const { held, answer } = open(500);
		held.recordStall(true);
		budget.tick();
		open(480);
		budget.tick();
		expect(answer).to.include({ isWatched: true, isReset: false });
	});

	it('stalled answers are lost until memory is no longer short, the largest first, and no others', () => {
		const stalled = [open(20), open(90), open(100)];
		const reading = open(720);
		budget.tick();
		for (const { held, answer } of stalled) {
			expect(answer.isWatched).to.equal(true);
			held.recordStall(true);
		}
		budget.tick();
		expect(stalled.map(({ answer }) => answer.isReset)).to.deep.equal([false, true, true]);
		expect(reading.answer.isReset).to.equal(false);
		expect(budget.heldBytes).to.equal(740);
		budget.tick();
		const dropped = ['unreadAnswerDropped', 'unreadAnswerDropped'];
		expect(events).to.deep.equal(['memoryShort', ...dropped, 'memoryRegained']);
	});

	it('a caller that reads again after a stall, or waits for its target, loses nothing', () => {
		const [again, waiting] = [open(500), open(450)];
		budget.tick();
		again.held.recordStall(true);
		again.answer.unreadBytes = 499;
		waiting.held.recordStall(false);
		budget.tick();
		expect([again.answer.isReset, waiting.answer.isReset]).to.deep.equal([false, false]);
	});
});
