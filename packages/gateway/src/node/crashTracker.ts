/** Tracks which requests crash targets, by their content and by the parts of their prompts, here and at the peers. */
import { copyState } from '../common/copyState.js';
import type { AttemptEnd, TargetIncarnation, TrackedAttempt } from '@papayawell/core';
import { SuspectTracker } from '@papayawell/core';
import type { EventLog } from '../common/eventLog.js';
import type { CrashReport, PeerState } from '../common/peerState.js';
import type { BlockedPart, PartDeathReport } from '../common/promptCrashTracker.js';
import { PromptCrashTracker } from '../common/promptCrashTracker.js';
import type { TargetState } from '../common/targetState.js';

/** How long content that was running on a crashed target remains suspect. */
const SUSPICION_MS = 30_000;
/** How long content that crashed two targets is refused. */
const QUARANTINE_MS = 60_000;
/** Maximum number of crashes, the most recent ones, that are gossiped to the other instances. */
const MAX_GOSSIPED_CRASHES = 20;
/** A target that goes on to answer for this long has outlived the beginning of the answer. */
const OUTLIVED_AFTER_MS = 100;

export interface CrashTrackerParts {
	readonly log: EventLog;
	/** Checks whether a target accepts connections. */
	readonly probe: (target: TargetState) => Promise<boolean>;
	/** Called when this instance saw a crash that its peers do not know of. */
	readonly onDidSuspect: () => void;
	/** Returns the number of instances of the fleet. */
	readonly countInstances: () => number;
	/** Called when a prompt part becomes blocked, by deaths seen here or at a peer. */
	readonly onDidBlockPart: (blocked: BlockedPart) => void;
}

/** What requests that crash targets may have in common. */
export interface RequestTraits {
	/** Hash of the customer and the content. */
	readonly fingerprint: string;
	/** Keys of the parts of the prompt that other prompts may share. */
	readonly promptParts: readonly string[];
}

/** One send of a request to a target. */
export interface TargetRun {
	readonly attempt: TrackedAttempt;
	readonly traits: RequestTraits;
	readonly sentAtMs: number;
	answerBeganMs: number | undefined;
	hasOutlivedBeginning: boolean;
	brokeAtMs: number | undefined;
}

export type CrashRisk =
	| { readonly kind: 'none' }
	/** The request may run, but not on these targets, which run other suspects. */
	| { readonly kind: 'avoid'; readonly targets: ReadonlySet<string> }
	| { readonly kind: 'refuse'; readonly detail: string };

interface Suspicion {
	readonly fingerprint: string;
	readonly target: string;
	readonly expiresAtMs: number;
}

export class CrashTracker {
	private readonly suspects: SuspectTracker;
	private readonly prompts: PromptCrashTracker;
	private readonly runs = new WeakMap<TrackedAttempt, TargetRun>();
	private suspicions: readonly Suspicion[] = [];

	constructor(private readonly parts: CrashTrackerParts) {
		this.suspects = new SuspectTracker({ suspicionMs: SUSPICION_MS, quarantineMs: QUARANTINE_MS }, (fact) => {
			if (fact.kind === 'suspicion') {
				const { fingerprint, target, expiresAtMs } = fact;
				this.suspicions = [...this.suspicions, { fingerprint, target, expiresAtMs }];
				parts.onDidSuspect();
			}
		});
		this.prompts = new PromptCrashTracker(parts.onDidBlockPart);
	}

	/** Decides whether and where a request that has not been sent yet may run. */
	public check({ fingerprint, promptParts }: RequestTraits, nowMs: number): CrashRisk {
		const risk = this.prompts.admit(promptParts, nowMs, this.parts.countInstances(), Math.random());
		if (risk.kind === 'blocked') {
			return { kind: 'refuse', detail: describeBlocked(risk.part) };
		}
		const status = this.suspects.check(fingerprint, nowMs);
		switch (status.kind) {
			case 'clear':
				return { kind: 'none' };
			case 'quarantined':
				return { kind: 'refuse', detail: status.reason };
			case 'suspect':
				return status.isRunning
					? { kind: 'refuse', detail: 'the same content is running after it crashed a target' }
					: { kind: 'avoid', targets: status.avoid };
		}
	}

	/** Explains why a prompt with these parts would be refused, without the start of a trial; undefined if it would not. */
	public explainPrompt(promptParts: readonly string[], random: number, nowMs: number): string | undefined {
		const risk = copyState(this.prompts).admit(promptParts, nowMs, this.parts.countInstances(), random);
		return risk.kind === 'blocked' ? describeBlocked(risk.part) : undefined;
	}

	/** Whether a request whose connection broke before its answer began is likely to crash a further target. */
	public isRepeatRisky({ traits, answerBeganMs }: TargetRun, nowMs: number): boolean {
		const risk = this.prompts.check(traits.promptParts, nowMs);
		return risk.kind === 'blocked' || (risk.kind === 'suspect' && answerBeganMs === undefined);
	}

	/** Registers a send. The caller has to end it once with `end`. */
	public start(traits: RequestTraits, target: TargetIncarnation, nowMs: number): TargetRun {
		const run: TargetRun = {
			attempt: this.suspects.start(traits.fingerprint, target),
			traits,
			sentAtMs: nowMs,
			answerBeganMs: undefined,
			hasOutlivedBeginning: false,
			brokeAtMs: undefined,
		};
		this.runs.set(run.attempt, run);
		return run;
	}

	/** Records that a part of the answer has arrived. */
	public recordAnswering(run: TargetRun, nowMs: number): void {
		if (run.answerBeganMs === undefined) {
			run.answerBeganMs = nowMs;
			this.suspects.noteAnswering(run.attempt, nowMs);
		} else if (!run.hasOutlivedBeginning && nowMs - run.answerBeganMs >= OUTLIVED_AFTER_MS) {
			this.recordAnswered(run, nowMs);
		}
	}

	/** Records that the target has answered, or has done so for long enough to have outlived the beginning. */
	public recordAnswered(run: TargetRun, nowMs: number): void {
		run.hasOutlivedBeginning = true;
		this.prompts.recordAnswer(run.traits.promptParts, run.answerBeganMs ?? nowMs);
	}

	public end(run: TargetRun, end: AttemptEnd, nowMs: number): void {
		if (end === 'broken') {
			run.brokeAtMs = nowMs;
		}
		this.suspects.end(run.attempt, end, nowMs);
	}

	/** Probes a target whose connection broke; if it has died, the requests that it was running become suspects. */
	public async probeTarget(target: TargetState, { attempt }: TargetRun): Promise<void> {
		const isAlive = await this.parts.probe(target);
		const nowMs = performance.now();
		if (!isAlive) {
			target.health.recordConnectionFailure(nowMs, true);
			target.coldness.recordUnreachable(nowMs);
			this.parts.log.write('state', 'targetDied', {
				target: target.record.id,
				service: target.record.service,
			});
			this.recordDeath(attempt.target, nowMs);
		}
		this.suspects.resolveBroken(attempt);
	}

	public listCrashes(nowMs: number): readonly CrashReport[] {
		this.suspicions = this.suspicions
			.filter(({ expiresAtMs }) => expiresAtMs > nowMs)
			.slice(-MAX_GOSSIPED_CRASHES);
		return this.suspicions.map(({ fingerprint, target, expiresAtMs }) => ({
			fingerprint,
			target,
			expiresInMs: Math.round(expiresAtMs - nowMs),
		}));
	}

	/** Describes for the peers what is known of prompt parts that crash targets. */
	public describePromptParts(nowMs: number): Pick<PeerState, 'promptDeaths' | 'promptAnswers'> {
		return { promptDeaths: this.prompts.listDeaths(nowMs), promptAnswers: this.prompts.listAnswers(nowMs) };
	}

	public listBlockingDeaths(nowMs: number): readonly PartDeathReport[] {
		return this.prompts.listBlockingDeaths(nowMs);
	}

	/** Adopts deaths that were kept in the store. */
	public adoptPromptDeaths(deaths: readonly PartDeathReport[], nowMs: number): void {
		this.prompts.adopt(deaths, [], nowMs);
	}

	/** Adopts what a peer knows of crashes. */
	public adoptPeerState(
		{ crashes, promptDeaths, promptAnswers }: Pick<PeerState, 'crashes' | 'promptDeaths' | 'promptAnswers'>,
		nowMs: number,
	): void {
		for (const { fingerprint, target, expiresInMs } of crashes) {
			const expiresAtMs = nowMs + expiresInMs;
			this.suspects.adopt({ kind: 'suspicion', fingerprint, target, expiresAtMs, version: nowMs }, nowMs);
		}
		this.prompts.adopt(promptDeaths ?? [], promptAnswers ?? [], nowMs);
	}

	private recordDeath(target: TargetIncarnation, nowMs: number): void {
		for (const attempt of this.suspects.findPossibleCauses(target, nowMs)) {
			const run = this.runs.get(attempt);
			if (run !== undefined) {
				this.prompts.recordDeath(run.traits.promptParts, {
					target: `${target.instance}@${target.incarnation}`,
					sentAtMs: run.sentAtMs,
					diedAtMs: run.brokeAtMs ?? nowMs,
				});
			}
		}
		this.suspects.noteTargetDied(target, nowMs);
	}
}

function describeBlocked(part: string): string {
	return `targets died in a row when they answered prompts with ${part}`;
}
