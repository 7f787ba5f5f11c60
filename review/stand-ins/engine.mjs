/** The work of a language worker: steps for all running requests, with chunks of prompts read in between. */
import { buildHead } from './worker.mjs';

/** Figures of the sheet: prompt tokens in a ms, tokens of a chunk, and the time of the three tokens of an event. */
const TOKENS_PER_MS = 30.9;
const CHUNK_TOKENS = 4096;
const STEP_MS = 3 * 6.17;

export class Engine {
	/** Factor by which all work takes longer. */
	slowness = 1;
	runs = new Set();
	isBusy = false;

	/**
	 * @param dropsClosed whether a run ends when its channel closes
	 * @param onRunEnd called with each run that ends
	 */
	constructor({ dropsClosed, onRunEnd = () => undefined }) {
		this.dropsClosed = dropsClosed;
		this.onRunEnd = onRunEnd;
	}

	/** Starts a request of so many prompt tokens and events; it goes on after the event that `last-event-id` names. */
	start({ socket, id, headers, worker }, promptTokens, events) {
		const lastEvent = Number(headers['last-event-id'] ?? 0);
		const startedAtMs = Date.now();
		const run = {
			id,
			socket,
			worker,
			unreadTokens: promptTokens,
			next: lastEvent + 1,
			events,
			lastEvent,
			startedAtMs,
		};
		this.runs.add(run);
		if (!this.isBusy) {
			this.isBusy = true;
			this.work();
		}
	}

	/** One chunk of a prompt if there is one to read, then one event of each run whose prompt is read. */
	work() {
		for (const run of this.runs) {
			if (run.socket.destroyed && this.dropsClosed) {
				this.end(run);
			}
		}
		if (this.runs.size === 0) {
			this.isBusy = false;
			return;
		}
		const reading = [...this.runs].find(({ unreadTokens }) => unreadTokens > 0);
		const chunk = Math.min(CHUNK_TOKENS, reading?.unreadTokens ?? 0);
		setTimeout(
			() => {
				if (reading !== undefined) {
					reading.unreadTokens -= chunk;
				}
				for (const run of this.runs) {
					if (run.unreadTokens === 0) {
						this.sendEvent(run);
					}
				}
				this.work();
			},
			this.slowness * (chunk / TOKENS_PER_MS + STEP_MS),
		);
	}

	sendEvent(run) {
		const { socket, id, worker } = run;
		if (!run.hasHead) {
			run.hasHead = true;
			const fields = { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' };
			socket.write(buildHead('200 OK', id, worker, fields));
		}
		const event = `id: ${run.next}\ndata: ${id} ${run.next}\n\n`;
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		run.next += 1;
		if (run.next > run.events) {
			socket.write('0\r\n\r\n');
			this.end(run);
		}
	}

	end(run) {
		this.runs.delete(run);
		run.endedAtMs = Date.now();
		this.onRunEnd(run);
	}
}
