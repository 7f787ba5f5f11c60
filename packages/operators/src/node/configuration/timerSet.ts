/** A set of timers that are cancelled together. */
import type { Disposable } from '@papayawell/core';

export class TimerSet implements Disposable {
	private readonly timers = new Set<NodeJS.Timeout>();
	private isDisposed = false;

	/** Runs `task` once after `delayMs`, unless the set is disposed first. */
	public schedule(delayMs: number, task: () => void): void {
		if (this.isDisposed) {
			return;
		}
		const timer = setTimeout(() => {
			this.timers.delete(timer);
			task();
		}, delayMs);
		this.timers.add(timer);
	}

	public dispose(): void {
		this.isDisposed = true;
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
		this.timers.clear();
	}
}
