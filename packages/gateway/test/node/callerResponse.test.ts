import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { expect } from 'chai';
import type { UnreadAnswer } from '../../src/common/memoryBudget.js';
import { HeldMemory, MemoryBudget } from '../../src/common/memoryBudget.js';
import { CallerResponse } from '../../src/node/callerResponse.js';

/** Some times longer than the kernel takes to report that 1.5 MB were read, which it does at once on loopback. */
const STALL_LIMIT_MS = 400;
/** Pause after each 64 KiB: about 2 s for the whole answer. */
const READ_PAUSE_MS = 3;
/** More than the socket buffers on loopback hold. */
const ANSWER = Buffer.alloc(30_000_000);

describe('CallerResponse', () => {
	let server: Server;
	let caller: Socket;
	let held: HeldMemory;
	let answer: CallerResponse;

	beforeEach(async () => {
		const response = new Promise<ServerResponse>((resolve) => {
			server = createServer((_, started) => {
				resolve(started);
			});
		});
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
		caller = connect((server.address() as AddressInfo).port, '127.0.0.1').pause();
		caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
		const budget = new MemoryBudget(1, {
			log: { write: () => undefined },
			countDecision: () => undefined,
			heapLimitBytes: Infinity,
		});
		const open = (unread: UnreadAnswer): HeldMemory => (held = new HeldMemory(budget, '1', unread, 0));
		answer = new CallerResponse(
			await response,
			() => true,
			() => false,
			open,
		);
		answer.write(ANSWER);
		answer.watchForStall(STALL_LIMIT_MS);
	});

	afterEach(() => {
		caller.destroy();
		server.close();
	});

	it('a caller that reads nothing has stalled', async () => {
		// The first time-out only notes how much the kernel has taken.
		await new Promise((resolve) => setTimeout(resolve, 3 * STALL_LIMIT_MS));
		expect(held.isStalled).to.equal(true);
	});

	it('a caller that slowly reads one large write, which stays counted until its end, has not stalled', async () => {
		caller.on('data', () => {
			caller.pause();
			setTimeout(() => caller.resume(), READ_PAUSE_MS);
		});
		caller.resume();
		await new Promise((resolve) => setTimeout(resolve, 3 * STALL_LIMIT_MS));
		expect(held.isStalled).to.equal(false);
		expect(held.answerBytes).to.be.above(ANSWER.length);
	});

	// Guards against a process that ends at its heap limit because of many small events for callers that do not read.
	it('counts the writes that the caller has not taken, until it has', async () => {
		for (let index = 0; index < 1000; index++) {
			answer.write(Buffer.from('data: 1\n\n'));
		}
		expect(answer.unreadWrites).to.equal(1001);
		const heldBytes = held.answerBytes;
		expect(heldBytes).to.be.above(answer.unreadBytes + 1000 * 300);
		caller.resume();
		while (answer.unreadBytes > 0) {
			await new Promise((resolve) => setTimeout(resolve, 10));
		}
		held.refresh();
		expect(answer.unreadWrites).to.equal(0);
		expect(held.answerBytes).to.equal(0);
	});
});
