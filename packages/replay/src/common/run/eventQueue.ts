/**
 * The event queue of the simulation: runs callbacks in order of time, and in order of scheduling at equal
 * times.
 */

interface ScheduledCallback {
	readonly atMs: number;
	readonly sequence: number;
	readonly callback: () => void;
}

export class EventQueue {
	private readonly heap: ScheduledCallback[] = [];
	private sequence = 0;
	private currentMs = 0;

	/** The simulated time, in ms since the start. */
	public get nowMs(): number {
		return this.currentMs;
	}

	/** Schedules `callback` to run after `delayMs`. */
	public schedule(delayMs: number, callback: () => void): void {
		this.sequence += 1;
		this.heap.push({ atMs: this.currentMs + Math.max(0, delayMs), sequence: this.sequence, callback });
		this.moveUp(this.heap.length - 1);
	}

	/** Runs `callback` after `firstDelayMs` and then every `intervalMs`, until it returns false. */
	public repeat(firstDelayMs: number, intervalMs: number, callback: () => boolean): void {
		this.schedule(firstDelayMs, () => {
			if (callback()) {
				this.repeat(intervalMs, intervalMs, callback);
			}
		});
	}

	/** Runs all callbacks that are due up to `untilMs` and advances the simulated time to it. */
	public advance(untilMs: number): void {
		for (let first = this.heap[0]; first !== undefined && first.atMs <= untilMs; first = this.heap[0]) {
			this.currentMs = first.atMs;
			this.removeFirst();
			first.callback();
		}
		this.currentMs = Math.max(this.currentMs, untilMs);
	}

	private removeFirst(): void {
		const last = this.heap.pop();
		if (last === undefined || this.heap.length === 0) {
			return;
		}
		this.heap[0] = last;
		this.moveDown();
	}

	private moveUp(start: number): void {
		const entry = this.heap[start];
		let index = start;
		while (entry !== undefined && index > 0) {
			const parent = (index - 1) >> 1;
			const parentEntry = this.heap[parent];
			if (parentEntry === undefined || !isBefore(entry, parentEntry)) {
				break;
			}
			this.heap[index] = parentEntry;
			index = parent;
		}
		if (entry !== undefined) {
			this.heap[index] = entry;
		}
	}

	private moveDown(): void {
		const entry = this.heap[0];
		let index = 0;
		while (entry !== undefined) {
			const child = this.findFirstChild(index);
			const childEntry = this.heap[child];
			if (childEntry === undefined || !isBefore(childEntry, entry)) {
				this.heap[index] = entry;
				return;
			}
			this.heap[index] = childEntry;
			index = child;
		}
	}

	private findFirstChild(index: number): number {
		const left = this.heap[2 * index + 1];
		const right = this.heap[2 * index + 2];
		return left !== undefined && right !== undefined && isBefore(right, left) ? 2 * index + 2 : 2 * index + 1;
	}
}

function isBefore(a: ScheduledCallback, b: ScheduledCallback): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
