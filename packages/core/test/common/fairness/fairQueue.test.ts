import { expect } from 'chai';
import fc from 'fast-check';
import type { QueueEntry } from '@papayawell/core';
import { FairQueue } from '@papayawell/core';

const OPTIONS = { maxQueued: 1_000, maxQueuedPerCustomer: 200, maxWaitMs: 1_000 };

function makeEntry(customer: string, changes: Partial<QueueEntry<string>> = {}): QueueEntry<string> {
	return { item: customer, customer, weight: 1, priority: 0, enqueuedAtMs: 0, ...changes };
}

function fill(queue: FairQueue<string>, count: number, entry: QueueEntry<string>): void {
	for (let index = 0; index < count; index++) {
		queue.enqueue(entry);
	}
}

function takeUpTo(queue: FairQueue<string>, count: number): string[] {
	const taken: string[] = [];
	queue.drain((entry) => {
		if (taken.length === count) {
			return false;
		}
		taken.push(entry.item);
		return true;
	}, 0);
	return taken;
}

function countOf(taken: string[], customer: string): number {
	return taken.filter((each) => each === customer).length;
}

describe('FairQueue', () => {
	it('serves the first request of a customer next, however long the queue of another customer is', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 150, makeEntry('large'));
		takeUpTo(queue, 10);
		queue.enqueue(makeEntry('small'));
		expect(takeUpTo(queue, 2)).to.include('small');
	});

	it('keeps the order of priorities over calls that place nothing: else the less urgent one gets all turns', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 150, makeEntry('urgent'));
		fill(queue, 150, makeEntry('other', { priority: 1 }));
		const taken: string[] = [];
		for (let round = 0; round < 90; round++) {
			queue.placeNext(() => false, 0);
			queue.placeNext(({ item }) => taken.push(item) > 0, 0);
		}
		expect(taken).to.have.length(90);
		expect(countOf(taken, 'other')).to.be.within(9, 11);
	});

	it('serves customers in proportion to their weights, to within one round', () => {
		const weights = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 6 });
		fc.assert(
			fc.property(weights, (values) => {
				const queue = new FairQueue<string>(OPTIONS);
				values.forEach((weight, index) => {
					fill(queue, 100, makeEntry(`c${index}`, { weight }));
				});
				const sum = values.reduce((total, weight) => total + weight, 0);
				const taken = takeUpTo(queue, sum * 10);
				values.forEach((weight, index) => {
					expect(countOf(taken, `c${index}`)).to.be.closeTo(weight * 10, weight);
				});
			}),
			{ seed: 4 },
		);
	});

	it('serves the higher priority more often without starving the lower one', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 100, makeEntry('low', { priority: 1 }));
		fill(queue, 100, makeEntry('high', { priority: 0 }));
		const taken = takeUpTo(queue, 45);
		expect(countOf(taken, 'low')).to.be.within(4, 6);
	});

	const bounds = [
		{
			name: 'refuses a customer at its limit',
			queued: 2,
			changes: { maxQueuedPerCustomer: 2 },
			customer: 'a',
			kind: 'refused',
		},
		{
			name: 'accepts another customer meanwhile',
			queued: 2,
			changes: { maxQueuedPerCustomer: 2 },
			customer: 'b',
			kind: 'queued',
		},
		{
			name: 'refuses any customer at the limit of the queue',
			queued: 3,
			changes: { maxQueued: 3 },
			customer: 'b',
			kind: 'refused',
		},
	];
	for (const { name, queued, changes, customer, kind } of bounds) {
		it(`limits the length: ${name}`, () => {
			const queue = new FairQueue<string>({ ...OPTIONS, ...changes });
			fill(queue, queued, makeEntry('a'));
			const answer = queue.enqueue(makeEntry(customer));
			expect(answer.kind).to.equal(kind);
			if (answer.kind === 'refused') {
				expect(answer.retryAfterMs).to.be.within(1, OPTIONS.maxWaitMs);
			}
		});
	}

	it('expires exactly the requests that were queued for the maximum time', () => {
		const queue = new FairQueue<string>(OPTIONS);
		queue.enqueue(makeEntry('old', { priority: 1 }));
		queue.enqueue(makeEntry('new', { enqueuedAtMs: 600 }));
		expect(queue.expire(999)).to.have.length(0);
		expect(queue.expire(1_000).map((entry) => entry.item)).to.deep.equal(['old']);
		expect([queue.size, queue.countQueued('old'), queue.countQueued('new')]).to.deep.equal([1, 0, 1]);
		expect(takeUpTo(queue, 5)).to.deep.equal(['new']);
	});

	it('continues with the other customers when the request of one cannot be placed', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 3, makeEntry('large'));
		fill(queue, 2, makeEntry('small', { priority: 1 }));
		expect(queue.drain((entry) => entry.customer === 'small', 0)).to.equal(2);
		expect([queue.countQueued('large'), queue.countQueued('small')]).to.deep.equal([3, 0]);
	});

	it('refuses at once a request that would time out at the rate at which its customer is served', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 20, makeEntry('a'));
		for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
			let left = 1;
			queue.drain(() => left-- > 0, nowMs);
		}
		expect(queue.countQueued('a')).to.equal(10);
		expect(queue.enqueue(makeEntry('a'))).to.deep.equal({ kind: 'refused', retryAfterMs: 1_000 });
		expect(queue.enqueue(makeEntry('b')).kind).to.equal('queued');
	});

	it('leaves the estimate of the wait to the owner of the queue if that is set', () => {
		const queue = new FairQueue<string>({ ...OPTIONS, acceptsLongWaits: true });
		fill(queue, 20, makeEntry('a'));
		for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
			let left = 1;
			queue.drain(() => left-- > 0, nowMs);
		}
		expect(queue.enqueue(makeEntry('a')).kind).to.equal('queued');
	});

	it('keeps a request queued when it cannot be placed', () => {
		const queue = new FairQueue<string>(OPTIONS);
		queue.enqueue(makeEntry('a'));
		expect(queue.drain(() => false, 0)).to.equal(0);
		expect(takeUpTo(queue, 1)).to.deep.equal(['a']);
	});

	it('serves a low priority with few requests no more often than a high one with many', () => {
		const demands = [0.9, 0.1];
		const queue = new FairQueue<string>({
			...OPTIONS,
			readDemandShare: (priority) => demands[priority] ?? 0,
		});
		fill(queue, 90, makeEntry('high'));
		fill(queue, 10, makeEntry('low', { priority: 1 }));
		const taken = takeUpTo(queue, 30);
		expect(countOf(taken, 'low') / 10).to.be.at.most(countOf(taken, 'high') / 90);
	});

	it('expires a request by its own maximum time, if that is shorter', () => {
		const queue = new FairQueue<string>(OPTIONS);
		queue.enqueue(makeEntry('short', { maxWaitMs: 100 }));
		queue.enqueue(makeEntry('long'));
		expect(queue.expire(100).map((entry) => entry.item)).to.deep.equal(['short']);
	});

	it('counts the long queue of another customer only up to the turn of a new request', () => {
		const queue = new FairQueue<string>(OPTIONS);
		fill(queue, 50, makeEntry('large'));
		fill(queue, 5, makeEntry('later', { priority: 2 }));
		expect(queue.countAhead('small', 1)).to.equal(1);
		expect(queue.countAhead('large', 1)).to.equal(50);
	});
});
