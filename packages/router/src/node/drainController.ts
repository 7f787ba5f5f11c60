/** Runs a graceful shutdown: announces it, waits until no caller is directed here, completes requests, stops. */
import type { DrainEvent, DrainSnapshot } from '../common/drainStateMachine.js';
import { createDrainState, transitionDrain } from '../common/drainStateMachine.js';

export interface DrainActions {
	/** Announces the drain to the other routers, which then stop naming this one to callers. */
	announce(): void;
	/** Stops listening; resolves when the last request in flight has completed. */
	finish(): Promise<void>;
	/** Closes all connections; returns the number of interrupted requests. */
	closeAll(): number;
}

export interface DrainTimeouts {
	/** Time until every answer of `/v1/entries` that names this router has expired, in ms. */
	readonly entriesExpiryMs: number;
	/** Time after which the shutdown is forced, in ms. */
	readonly drainTimeoutMs: number;
}

export type DrainResult =
	{ readonly kind: 'stopped' } | { readonly kind: 'forced'; readonly cutRequests: number };

/** Owns the timers of one shutdown. */
export class DrainController {
	private state: DrainSnapshot = createDrainState();
	private readonly timers: NodeJS.Timeout[] = [];
	private resolve: (end: DrainResult) => void = () => undefined;
	/** Resolves when the shutdown is complete. */
	public readonly ended = new Promise<DrainResult>((resolve) => {
		this.resolve = resolve;
	});

	constructor(
		private readonly actions: DrainActions,
		private readonly timeouts: DrainTimeouts,
	) {}

	public get isDraining(): boolean {
		return this.state.value !== 'serving';
	}

	/** Starts the shutdown; further calls have no effect. */
	public drain(): void {
		if (this.isDraining) {
			return;
		}
		this.send({ type: 'DRAIN' });
		this.actions.announce();
		this.startTimer(this.timeouts.entriesExpiryMs, () => {
			this.startFinishing();
		});
		this.startTimer(this.timeouts.drainTimeoutMs, () => {
			this.stopNow();
		});
	}

	/** Closes all connections and ends the shutdown immediately. */
	public stopNow(): void {
		this.send({ type: 'FORCE' });
		if (this.state.value === 'forced') {
			this.end({ kind: 'forced', cutRequests: this.actions.closeAll() });
		}
	}

	private startFinishing(): void {
		this.send({ type: 'ENTRIES_EXPIRED' });
		void this.actions.finish().then(() => {
			this.send({ type: 'IDLE' });
			if (this.state.value === 'stopped') {
				this.end({ kind: 'stopped' });
			}
		});
	}

	private send(event: DrainEvent): void {
		this.state = transitionDrain(this.state, event);
	}

	private startTimer(afterMs: number, callback: () => void): void {
		this.timers.push(setTimeout(callback, afterMs));
	}

	private end(end: DrainResult): void {
		this.timers.splice(0).forEach((timer) => {
			clearTimeout(timer);
		});
		this.resolve(end);
	}
}
