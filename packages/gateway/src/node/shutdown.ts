/**
 * Graceful shutdown of a process: the directory stops naming the instance at once, callers with a cached directory
 * entry are served until the entry expires, and requests in flight are completed.
 */
import type { EventLog } from '../common/eventLog.js';
import type { CallerServer } from './callerServer.js';

/** Time before the kill at which the process exits in any case. */
const KILL_MARGIN_MS = 250;
/** Time that the last bytes of a response need to leave the process. */
const FLUSH_DELAY_MS = 100;
/** Time before the exit at which requests without an answer get one; more than the interval of the ticks. */
const ANSWER_MARGIN_MS = 200;

type ShutdownState =
	| { readonly kind: 'serving' }
	/** Directories no longer name this instance; callers with cached entries are still served. */
	| { readonly kind: 'announced'; readonly startedAtMs: number }
	/** Accepts no new requests and completes those in flight. */
	| { readonly kind: 'finishing'; readonly startedAtMs: number; idleSinceMs: number | undefined }
	| { readonly kind: 'ended' };

export interface ShutdownParts {
	readonly server: CallerServer;
	readonly log: EventLog;
	readonly gracePeriodMs: number;
	readonly entryTtlMs: number;
	/** Gossips this instance's state to its peers at once. */
	readonly announce: () => void;
}

export class Shutdown {
	public readonly ended: Promise<void>;
	private state: ShutdownState = { kind: 'serving' };
	private resolveEnded: () => void = () => undefined;

	constructor(private readonly parts: ShutdownParts) {
		this.ended = new Promise((resolve) => {
			this.resolveEnded = resolve;
		});
	}

	public get isStarted(): boolean {
		return this.state.kind !== 'serving';
	}

	/** Returns the time until what is in flight is ended, so that all answers leave the process; infinity unless stopping. */
	public computeTimeToExit(nowMs: number): number {
		switch (this.state.kind) {
			case 'serving':
				return Infinity;
			case 'announced':
			case 'finishing':
				return this.state.startedAtMs + this.parts.gracePeriodMs - KILL_MARGIN_MS - ANSWER_MARGIN_MS - nowMs;
			case 'ended':
				return 0;
		}
	}

	public start(): void {
		if (this.state.kind !== 'serving') {
			return;
		}
		const { server, log, announce } = this.parts;
		this.state = { kind: 'announced', startedAtMs: performance.now() };
		server.startDraining();
		server.refuseWaiting();
		announce();
		log.write('state', 'drainStarted', { requestsInFlight: server.requestsInFlight });
	}

	/** Called periodically: moves to the next state when its time has come. */
	public tick(nowMs: number): void {
		const { state, parts } = this;
		const isTimeUp = this.computeTimeToExit(nowMs) <= 0;
		if (isTimeUp) {
			parts.server.endUnanswered();
		}
		switch (state.kind) {
			case 'serving':
			case 'ended':
				return;
			case 'announced':
				if (nowMs - state.startedAtMs >= parts.entryTtlMs || isTimeUp) {
					parts.server.startRefusing();
					parts.server.closeListener();
					parts.server.closeIdleConnections();
					this.state = { kind: 'finishing', startedAtMs: state.startedAtMs, idleSinceMs: undefined };
				}
				return;
			case 'finishing':
				this.tickFinishing(state, nowMs);
				return;
		}
	}

	private tickFinishing(state: Extract<ShutdownState, { kind: 'finishing' }>, nowMs: number): void {
		const { server, gracePeriodMs, log } = this.parts;
		server.closeIdleConnections();
		const inFlight = server.requestsInFlight;
		state.idleSinceMs = inFlight === 0 ? (state.idleSinceMs ?? nowMs) : undefined;
		const isIdle = state.idleSinceMs !== undefined && nowMs - state.idleSinceMs >= FLUSH_DELAY_MS;
		if (!isIdle && nowMs - state.startedAtMs < gracePeriodMs - KILL_MARGIN_MS) {
			return;
		}
		this.state = { kind: 'ended' };
		log.write('state', 'drainEnded', {
			requestsInFlight: inFlight,
			elapsedMs: Math.round(nowMs - state.startedAtMs),
		});
		server.resetAnswers();
		this.resolveEnded();
	}
}
