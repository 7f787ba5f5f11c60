/**
 * Finds and quarantines requests whose content crashes targets. Every request in flight on a target that
 * died becomes a suspect, unless its answer had begun long before. Suspects are placed on separate targets,
 * so that a second crash identifies the cause, which is then quarantined. Requests with equal content share a
 * fingerprint. Times are epoch ms, because facts with an expiry time are shared with other routers.
 */
import type { Fact } from '../fleet/peerMessages.js';

export type QuarantineFact = Extract<Fact, { kind: 'quarantine' }>;
export type SuspicionFact = Extract<Fact, { kind: 'suspicion' }>;

export interface SuspectSettings {
	/** Period for which a crash counts against a fingerprint, in ms. */
	readonly suspicionMs: number;
	readonly quarantineMs: number;
}

/** One run of a target process; a restart has a new incarnation. */
export interface TargetIncarnation {
	readonly instance: string;
	readonly incarnation: string;
}

/** How an attempt ended. `broken`: the connection broke, possibly because the target died. */
export type AttemptEnd = 'completed' | 'failed' | 'broken';

/** An attempt to run a request on a target. */
export interface TrackedAttempt {
	readonly fingerprint: string;
	readonly target: TargetIncarnation;
}

export type SuspectStatus =
	| { readonly kind: 'clear' }
	/**
	 * Place it by its fingerprint and not on the instances in `avoid`. While `isRunning` it must not be
	 * placed at all.
	 */
	| { readonly kind: 'suspect'; readonly avoid: ReadonlySet<string>; readonly isRunning: boolean }
	| { readonly kind: 'quarantined'; readonly reason: string; readonly expiresAtMs: number };

/** Crashes of different targets that quarantine a fingerprint. */
const CRASHES_TO_QUARANTINE = 2;
/**
 * An attempt counts as a possible cause if its connection broke at most this long before its target was
 * found dead, in ms.
 */
const BROKEN_ATTEMPT_RETENTION_MS = 10_000;
/**
 * Content that crashes targets does so when they begin to answer it. An attempt that has been answered for longer than
 * this when its target dies is not a possible cause, in ms.
 */
const MAX_SUSPECT_ANSWER_MS = 500;
/** Maximum number of fingerprints in each table; the oldest is evicted first. */
const MAX_FINGERPRINTS = 20_000;

interface Suspicion {
	/** Crashed target incarnations, with the time at which each crash ceases to count. */
	readonly crashes: Map<string, number>;
}

function formatTarget(target: TargetIncarnation): string {
	return `${target.instance}@${target.incarnation}`;
}

export class SuspectTracker {
	private readonly running = new Set<TrackedAttempt>();
	private readonly attemptsByFingerprint = new Map<string, Set<TrackedAttempt>>();
	/** Broken attempts for which it is not known yet whether the target died. */
	private readonly unresolved = new Set<TrackedAttempt>();
	/** Recently broken attempts, with the time at which the connection broke. */
	private readonly broken = new Map<TrackedAttempt, number>();
	/** Time at which the answer to each attempt began. */
	private readonly answersBeganMs = new WeakMap<TrackedAttempt, number>();
	private readonly suspicions = new Map<string, Suspicion>();
	private readonly quarantines = new Map<string, QuarantineFact>();
	/**
	 * Time at which each fingerprint last completed. Content that completed recently is not blamed for
	 * crashes.
	 */
	private readonly completions = new Map<string, number>();

	/** @param publish disseminates a fact to the other routers */
	constructor(
		private readonly settings: SuspectSettings,
		private readonly publish: (fact: QuarantineFact | SuspicionFact) => void,
	) {}

	/** Returns whether and where a request may run now. */
	public check(fingerprint: string, nowMs: number): SuspectStatus {
		const quarantine = this.quarantines.get(fingerprint);
		if (quarantine && quarantine.expiresAtMs > nowMs) {
			const { reason, expiresAtMs } = quarantine;
			return { kind: 'quarantined', reason, expiresAtMs };
		}
		const isUnresolved = [...this.unresolved].some((attempt) => attempt.fingerprint === fingerprint);
		if (!isUnresolved && this.countCrashes(fingerprint, nowMs) === 0) {
			return { kind: 'clear' };
		}
		const suspects = [...this.running].filter((attempt) => this.countCrashes(attempt.fingerprint, nowMs) > 0);
		return {
			kind: 'suspect',
			avoid: new Set(suspects.map((attempt) => attempt.target.instance)),
			isRunning: isUnresolved || suspects.some((attempt) => attempt.fingerprint === fingerprint),
		};
	}

	/**
	 * Returns an instance that runs a request with this fingerprint. A further one is placed there, so that
	 * it endangers no other target.
	 */
	public findRunningInstance(fingerprint: string): string | undefined {
		const [attempt] = this.attemptsByFingerprint.get(fingerprint) ?? [];
		return attempt?.target.instance;
	}

	/** Registers an attempt that starts on a target. The caller has to end it once with `end`. */
	public start(fingerprint: string, target: TargetIncarnation): TrackedAttempt {
		const attempt = { fingerprint, target };
		this.running.add(attempt);
		const sameFingerprint = this.attemptsByFingerprint.get(fingerprint) ?? new Set();
		this.attemptsByFingerprint.set(fingerprint, sameFingerprint.add(attempt));
		return attempt;
	}

	/** Records that the target has sent a first part of its answer. */
	public noteAnswering(attempt: TrackedAttempt, nowMs: number): void {
		if (!this.answersBeganMs.has(attempt)) {
			this.answersBeganMs.set(attempt, nowMs);
		}
	}

	public end(attempt: TrackedAttempt, end: AttemptEnd, nowMs: number): void {
		if (!this.running.delete(attempt)) {
			return;
		}
		const sameFingerprint = this.attemptsByFingerprint.get(attempt.fingerprint);
		sameFingerprint?.delete(attempt);
		if (sameFingerprint?.size === 0) {
			this.attemptsByFingerprint.delete(attempt.fingerprint);
		}
		switch (end) {
			case 'completed':
				this.suspicions.delete(attempt.fingerprint);
				this.noteCompleted(attempt.fingerprint, nowMs);
				return;
			case 'broken':
				this.pruneBroken(nowMs);
				this.broken.set(attempt, nowMs);
				this.unresolved.add(attempt);
				return;
			case 'failed':
				return;
		}
	}

	/**
	 * Called once it is known whether the target of a broken attempt died. Until then, equal requests are not
	 * placed.
	 */
	public resolveBroken(attempt: TrackedAttempt): void {
		this.unresolved.delete(attempt);
	}

	/** Returns the attempts in flight on a target that died, but for those that it had been answering for a while. */
	public findPossibleCauses(target: TargetIncarnation, nowMs: number): readonly TrackedAttempt[] {
		this.pruneBroken(nowMs);
		return this.findInFlight(target).filter((attempt) => {
			const endedAtMs = this.broken.get(attempt) ?? nowMs;
			const answerBeganMs = this.answersBeganMs.get(attempt) ?? endedAtMs;
			return endedAtMs - answerBeganMs <= MAX_SUSPECT_ANSWER_MS;
		});
	}

	/** Counts a crash against every possible cause of the death of a target; returns their fingerprints. */
	public noteTargetDied(target: TargetIncarnation, nowMs: number): readonly string[] {
		const name = formatTarget(target);
		const causes = this.findPossibleCauses(target, nowMs);
		const attempts = this.findInFlight(target);
		const fingerprints = [...new Set(causes.map((attempt) => attempt.fingerprint))];
		for (const fingerprint of fingerprints) {
			this.addCrash(fingerprint, name, nowMs);
		}
		for (const attempt of attempts) {
			this.broken.delete(attempt);
			this.unresolved.delete(attempt);
		}
		return fingerprints;
	}

	/** Applies a fact received from another router. */
	public adopt(fact: QuarantineFact | SuspicionFact, nowMs: number): void {
		switch (fact.kind) {
			case 'suspicion':
				if (this.isReleasedAfter(fact) || this.hasCompletedRecently(fact.fingerprint, nowMs)) {
					return;
				}
				this.setCrash(fact.fingerprint, fact.target, fact.expiresAtMs);
				this.quarantineAtThreshold(fact.fingerprint, nowMs);
				return;
			case 'quarantine':
				this.adoptQuarantine(fact);
				return;
		}
	}

	public listQuarantined(nowMs: number): readonly QuarantineFact[] {
		return [...this.quarantines.values()].filter((fact) => fact.expiresAtMs > nowMs);
	}

	/** Ends a quarantine in the whole fleet. Returns false if the fingerprint is not quarantined. */
	public release(fingerprint: string, nowMs: number): boolean {
		const current = this.quarantines.get(fingerprint);
		if (!current || current.expiresAtMs <= nowMs) {
			return false;
		}
		const version = Math.max(current.version + 1, nowMs);
		const fact: QuarantineFact = { ...current, reason: 'released', expiresAtMs: 0, version };
		this.adoptQuarantine(fact);
		this.publish(fact);
		return true;
	}

	private findInFlight(target: TargetIncarnation): readonly TrackedAttempt[] {
		const name = formatTarget(target);
		return [...this.running, ...this.broken.keys()].filter(
			(attempt) => formatTarget(attempt.target) === name,
		);
	}

	private isReleasedAfter(fact: SuspicionFact): boolean {
		const current = this.quarantines.get(fact.fingerprint);
		return current?.expiresAtMs === 0 && current.version >= fact.version;
	}

	private noteCompleted(fingerprint: string, nowMs: number): void {
		this.completions.delete(fingerprint);
		this.completions.set(fingerprint, nowMs);
		const [oldest] = this.completions;
		if (oldest !== undefined && nowMs - oldest[1] > this.settings.suspicionMs) {
			this.completions.delete(oldest[0]);
		}
		evictOldest(this.completions);
	}

	private hasCompletedRecently(fingerprint: string, nowMs: number): boolean {
		const completedAtMs = this.completions.get(fingerprint);
		return completedAtMs !== undefined && nowMs - completedAtMs <= this.settings.suspicionMs;
	}

	private addCrash(fingerprint: string, target: string, nowMs: number): void {
		if (this.hasCompletedRecently(fingerprint, nowMs)) {
			return;
		}
		if (this.suspicions.get(fingerprint)?.crashes.has(target)) {
			return;
		}
		const expiresAtMs = nowMs + this.settings.suspicionMs;
		this.setCrash(fingerprint, target, expiresAtMs);
		this.publish({ kind: 'suspicion', fingerprint, target, expiresAtMs, version: nowMs });
		this.quarantineAtThreshold(fingerprint, nowMs);
	}

	private setCrash(fingerprint: string, target: string, expiresAtMs: number): void {
		const suspicion = this.suspicions.get(fingerprint) ?? { crashes: new Map<string, number>() };
		suspicion.crashes.set(target, expiresAtMs);
		this.suspicions.set(fingerprint, suspicion);
		evictOldest(this.suspicions);
	}

	private quarantineAtThreshold(fingerprint: string, nowMs: number): void {
		if (this.countCrashes(fingerprint, nowMs) < CRASHES_TO_QUARANTINE) {
			return;
		}
		const current = this.quarantines.get(fingerprint);
		if (current && current.expiresAtMs > nowMs) {
			return;
		}
		const targets = [...(this.suspicions.get(fingerprint)?.crashes.keys() ?? [])].sort();
		const fact: QuarantineFact = {
			kind: 'quarantine',
			fingerprint,
			reason: `in flight on ${targets.join(' and ')} when they died`,
			expiresAtMs: nowMs + this.settings.quarantineMs,
			version: Math.max((current?.version ?? 0) + 1, nowMs),
		};
		this.adoptQuarantine(fact);
		this.publish(fact);
	}

	/** A release also removes the crashes, so that only new ones lead to another quarantine. */
	private adoptQuarantine(fact: QuarantineFact): void {
		const current = this.quarantines.get(fact.fingerprint);
		if (current && current.version >= fact.version) {
			return;
		}
		this.quarantines.set(fact.fingerprint, fact);
		evictOldest(this.quarantines);
		if (fact.expiresAtMs === 0) {
			this.suspicions.delete(fact.fingerprint);
		}
	}

	private countCrashes(fingerprint: string, nowMs: number): number {
		const crashes = this.suspicions.get(fingerprint)?.crashes;
		if (!crashes) {
			return 0;
		}
		return [...crashes.values()].filter((expiresAtMs) => expiresAtMs > nowMs).length;
	}

	private pruneBroken(nowMs: number): void {
		for (const [attempt, brokenAtMs] of this.broken) {
			if (nowMs - brokenAtMs > BROKEN_ATTEMPT_RETENTION_MS) {
				this.broken.delete(attempt);
			}
		}
	}
}

function evictOldest(map: Map<string, unknown>): void {
	const [oldest] = map.keys();
	if (map.size > MAX_FINGERPRINTS && oldest !== undefined) {
		map.delete(oldest);
	}
}
