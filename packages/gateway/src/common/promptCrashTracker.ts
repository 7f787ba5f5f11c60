/**
 * Finds parts of prompts that crash targets. Requests with such a part may have nothing else in common, so the contents
 * of whole requests do not tell. A part is blocked when several targets in a row died before they answered a prompt
 * with it, and none has answered one since. Other parts of these prompts are suspects, too, until one is answered. All
 * times are of one monotonic clock, in ms.
 */

/** Deaths in a row after which a part is blocked that no target is known to have answered before. */
const DEATHS_TO_BLOCK_NEW = 3;
/**
 * The same for a part that was answered before. It takes more, because prompts that crash targets have such parts too,
 * and are blocked first for the part that is to blame.
 */
const DEATHS_TO_BLOCK_ANSWERED = 5;
/** Targets that die within this time of each other count as one death. */
const MIN_DEATH_INTERVAL_MS = 20;
/** Times that peers report are rounded, and late by the time of transit. */
const REPORT_TOLERANCE_MS = 5;
/** How long a part is blocked after the last death; each further death in a row multiplies it by `BLOCK_FACTOR`. */
const INITIAL_BLOCK_MS = 30_000;
const BLOCK_FACTOR = 4;
const MAX_BLOCK_MS = 600_000;
/** How long an instance waits for the result of a trial before it may start another one. */
const TRIAL_MS = 10_000;
/** How long a death counts for a part that is not blocked. */
const SUSPICION_MS = 60_000;
/** How long a death is remembered at all. */
const RETENTION_MS = 2 * MAX_BLOCK_MS;
/** How long peers are told of a death or of an answer that disproves one; a few rounds of gossip in a large fleet. */
const GOSSIP_MS = 10_000;
/** Limits of memory and of gossip. */
const MAX_DEATHS_PER_PART = 16;
const MAX_SUSPECT_PARTS = 1000;
const MAX_ANSWERED_PARTS = 20_000;
const MAX_GOSSIPED_DEATHS = 40;
const MAX_GOSSIPED_DEATHS_PER_BLOCK = 6;
const MAX_GOSSIPED_ANSWERS = 40;

export type PromptRisk =
	| { readonly kind: 'none' }
	/** A target died with such a prompt; whether because of it is not known yet. */
	| { readonly kind: 'suspect'; readonly part: string }
	| { readonly kind: 'blocked'; readonly part: string };

/** Death of a target while it had not answered a prompt with the part, with ages in ms at the time of the report. */
export type PartDeathReport = readonly [part: string, target: string, sentAgeMs: number, diedAgeMs: number];

/** A part, and the time since a target began to answer a prompt with it. */
export type PartAnswerReport = readonly [part: string, ageMs: number];

export interface PartDeath {
	/** Id and start of the target. */
	readonly target: string;
	/** When the prompt was sent to the target. */
	readonly sentAtMs: number;
	readonly diedAtMs: number;
}

interface KnownDeath extends PartDeath {
	/** Whether this instance sent the prompt. */
	readonly isOwn: boolean;
}

export interface BlockedPart {
	readonly part: string;
	/** Deaths in a row. */
	readonly deaths: number;
}

export class PromptCrashTracker {
	private readonly deathsByPart = new Map<string, readonly KnownDeath[]>();
	/** When a target last began to answer a prompt with each part, the latest entry last. */
	private readonly answeredAtMs = new Map<string, number>();
	/** Until when the trial of each part that was let through may take. */
	private readonly trialsUntilMs = new Map<string, number>();

	/** @param onDidBlock called when a part becomes blocked */
	constructor(private readonly onDidBlock: (blocked: BlockedPart) => void) {}

	/** Returns the highest risk of a prompt's parts. */
	public check(parts: readonly string[], nowMs: number): PromptRisk {
		let risk: PromptRisk = { kind: 'none' };
		for (const part of parts) {
			if (this.isBlocked(part, nowMs)) {
				return { kind: 'blocked', part };
			}
			if (this.findDeathsInRow(part, nowMs).length > 0) {
				risk = { kind: 'suspect', part };
			}
		}
		return risk;
	}

	/**
	 * Returns the risk of a prompt that is to be sent. Once a block has ended, the fleet lets about one prompt with the
	 * part through as a trial, which is then a mere suspect.
	 * @param instances number of instances of the fleet
	 * @param random random number in [0, 1)
	 */
	public admit(parts: readonly string[], nowMs: number, instances: number, random: number): PromptRisk {
		const risk = this.check(parts, nowMs);
		if (risk.kind !== 'blocked') {
			return risk;
		}
		const blocked = parts.filter((part) => this.isBlocked(part, nowMs));
		if (random >= 1 / instances || !blocked.every((part) => this.isTrialDue(part, nowMs))) {
			return risk;
		}
		for (const part of blocked) {
			this.trialsUntilMs.set(part, nowMs + TRIAL_MS);
		}
		return { kind: 'suspect', part: risk.part };
	}

	/** Records the death of a target that had been sent a prompt with these parts and had not answered it. */
	public recordDeath(parts: readonly string[], death: PartDeath): void {
		for (const part of parts) {
			this.addDeath(part, { ...death, isOwn: true }, death.diedAtMs);
		}
	}

	/** Records that a target outlived the beginning of an answer; the prompt's parts are not to blame for earlier deaths. */
	public recordAnswer(parts: readonly string[], beganAtMs: number): void {
		for (const part of parts) {
			if (beganAtMs > (this.answeredAtMs.get(part) ?? -Infinity)) {
				this.answeredAtMs.delete(part);
				this.answeredAtMs.set(part, beganAtMs);
				this.trialsUntilMs.delete(part);
			}
		}
		trimOldest(this.answeredAtMs, MAX_ANSWERED_PARTS);
	}

	/** Lists the deaths to gossip: those of blocked parts always, others while they are new. */
	public listDeaths(nowMs: number): readonly PartDeathReport[] {
		this.expireSuspects(nowMs);
		const reports: PartDeathReport[] = [];
		for (const [part, deaths] of this.deathsByPart) {
			const inRow = this.findDeathsInRow(part, nowMs);
			const isBlocked = this.isBlocked(part, nowMs);
			const reported = isBlocked
				? inRow.slice(-MAX_GOSSIPED_DEATHS_PER_BLOCK)
				: deaths.filter(
						({ isOwn, diedAtMs }) => (isOwn || inRow.length > 1) && nowMs - diedAtMs <= GOSSIP_MS,
					);
			const encoded = reported.map(({ target, sentAtMs, diedAtMs }): PartDeathReport => [
				part,
				target,
				Math.round(nowMs - sentAtMs),
				Math.round(nowMs - diedAtMs),
			]);
			if (isBlocked) {
				reports.unshift(...encoded);
			} else {
				reports.push(...encoded);
			}
		}
		return reports.slice(0, MAX_GOSSIPED_DEATHS);
	}

	/** Lists the deaths for which parts are blocked. */
	public listBlockingDeaths(nowMs: number): readonly PartDeathReport[] {
		return this.listDeaths(nowMs).filter(([part]) => this.isBlocked(part, nowMs));
	}

	/** Lists the answers to gossip: the last one of each part that was suspected recently. */
	public listAnswers(nowMs: number): readonly PartAnswerReport[] {
		const reports: PartAnswerReport[] = [];
		for (const [part, deaths] of this.deathsByPart) {
			const answeredAtMs = this.answeredAtMs.get(part);
			if (answeredAtMs !== undefined && deaths.some(({ diedAtMs }) => nowMs - diedAtMs <= GOSSIP_MS)) {
				reports.push([part, Math.round(nowMs - answeredAtMs)]);
			}
		}
		return reports.slice(-MAX_GOSSIPED_ANSWERS);
	}

	/** Adopts what a peer knows. */
	public adopt(
		deaths: readonly PartDeathReport[],
		answers: readonly PartAnswerReport[],
		nowMs: number,
	): void {
		for (const [part, ageMs] of answers) {
			this.recordAnswer([part], nowMs - ageMs);
		}
		for (const [part, target, sentAgeMs, diedAgeMs] of deaths) {
			const death = { target, sentAtMs: nowMs - sentAgeMs, diedAtMs: nowMs - diedAgeMs, isOwn: false };
			this.addDeath(part, death, nowMs);
		}
	}

	private addDeath(part: string, death: KnownDeath, nowMs: number): void {
		const known = this.deathsByPart.get(part) ?? [];
		// Times do not tell a second death from a report that a frozen peer sends late.
		if (known.some(({ target }) => target === death.target)) {
			return;
		}
		const wasBlocked = this.isBlocked(part, nowMs);
		const deaths = [...known, death].sort((a, b) => a.diedAtMs - b.diedAtMs);
		this.deathsByPart.delete(part);
		this.deathsByPart.set(part, deaths.slice(-MAX_DEATHS_PER_PART));
		this.limitSuspects(nowMs);
		if (!wasBlocked && this.isBlocked(part, nowMs)) {
			this.onDidBlock({ part, deaths: this.findDeathsInRow(part, nowMs).length });
		}
	}

	/**
	 * Returns the deaths since the last answer, each of a target to which the prompt was sent after the one before had
	 * died. Targets that die together count once: all prompts that many requests share are then in flight on several.
	 */
	private findDeathsInRow(part: string, nowMs: number): readonly KnownDeath[] {
		const ignoredUntilMs = Math.max(this.answeredAtMs.get(part) ?? -Infinity, nowMs - RETENTION_MS);
		const deathsToBlock = this.countDeathsToBlock(part);
		let inRow: KnownDeath[] = [];
		for (const death of this.deathsByPart.get(part) ?? []) {
			if (inRow.length < deathsToBlock) {
				inRow = inRow.filter(({ diedAtMs }) => death.diedAtMs - diedAtMs <= SUSPICION_MS);
			}
			const previousAtMs = inRow.at(-1)?.diedAtMs ?? -Infinity;
			if (
				death.diedAtMs > ignoredUntilMs &&
				death.diedAtMs >= previousAtMs + MIN_DEATH_INTERVAL_MS &&
				death.sentAtMs >= previousAtMs - REPORT_TOLERANCE_MS
			) {
				inRow.push(death);
			}
		}
		if (inRow.length >= deathsToBlock) {
			return inRow;
		}
		return inRow.filter(({ diedAtMs }) => nowMs - diedAtMs <= SUSPICION_MS);
	}

	private isTrialDue(part: string, nowMs: number): boolean {
		const furtherDeaths = this.findDeathsInRow(part, nowMs).length - this.countDeathsToBlock(part);
		const blockMs = Math.min(MAX_BLOCK_MS, INITIAL_BLOCK_MS * BLOCK_FACTOR ** furtherDeaths);
		const lastDiedAtMs = this.deathsByPart.get(part)?.at(-1)?.diedAtMs ?? nowMs;
		return nowMs >= lastDiedAtMs + blockMs && nowMs >= (this.trialsUntilMs.get(part) ?? -Infinity);
	}

	/** Forgets parts that are not blocked and have no recent death. */
	private expireSuspects(nowMs: number): void {
		for (const [part, deaths] of this.deathsByPart) {
			if (!this.isBlocked(part, nowMs) && nowMs - (deaths.at(-1)?.diedAtMs ?? -Infinity) > SUSPICION_MS) {
				this.forgetSuspect(part);
			}
		}
	}

	/** Forgets the oldest parts beyond the limit, but blocked ones last. */
	private limitSuspects(nowMs: number): void {
		if (this.deathsByPart.size > MAX_SUSPECT_PARTS) {
			const parts = [...this.deathsByPart.keys()];
			this.forgetSuspect(parts.find((part) => !this.isBlocked(part, nowMs)) ?? parts[0] ?? '');
		}
	}

	private forgetSuspect(part: string): void {
		this.deathsByPart.delete(part);
		this.trialsUntilMs.delete(part);
	}

	private isBlocked(part: string, nowMs: number): boolean {
		return this.findDeathsInRow(part, nowMs).length >= this.countDeathsToBlock(part);
	}

	private countDeathsToBlock(part: string): number {
		return this.answeredAtMs.has(part) ? DEATHS_TO_BLOCK_ANSWERED : DEATHS_TO_BLOCK_NEW;
	}
}

export function isPartDeathReport(value: unknown): value is PartDeathReport {
	return (
		Array.isArray(value) &&
		typeof value[0] === 'string' &&
		typeof value[1] === 'string' &&
		isAge(value[2]) &&
		isAge(value[3])
	);
}

export function isPartAnswerReport(value: unknown): value is PartAnswerReport {
	return Array.isArray(value) && typeof value[0] === 'string' && isAge(value[1]);
}

function isAge(value: unknown): boolean {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Removes the entries that were set first until the map has at most `limit`. */
function trimOldest(map: Map<string, unknown>, limit: number): void {
	for (const key of map.keys()) {
		if (map.size <= limit) {
			return;
		}
		map.delete(key);
	}
}
