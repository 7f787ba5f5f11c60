/** Checks what operators were told against what routers had in force. */
import type { Absence } from './faultScript.js';
import type { TriedChange } from './operatorLoop.js';
import type { VersionSample } from './versionRecorder.js';

/** Observations of the configuration experiment, from which its invariants are checked. */
export interface ChangeEvidence {
	readonly tried: readonly TriedChange[];
	readonly samples: readonly VersionSample[];
	readonly absences: readonly Absence[];
	readonly routers: readonly string[];
	/** Change IDs of the document at the end and of its history. */
	readonly finalChangeIds: readonly string[];
	readonly finalVersion: number;
}

export interface ChangeFindings {
	/** Times until an accepted change was in force on a live router, one for each pair, sorted. */
	readonly inForceMs: readonly number[];
	readonly violations: readonly string[];
}

/** Computes the times and collects every violation. */
export function checkChanges(evidence: ChangeEvidence): ChangeFindings {
	const accepted = evidence.tried.filter(({ outcome }) => outcome === 'accepted');
	const refused = evidence.tried.filter(({ outcome }) => outcome === 'raced' || outcome === 'unavailable');
	const times = accepted.flatMap((change) =>
		evidence.routers.map((router) => findInForceMs(evidence, change, router)),
	);
	const violations = [
		...listRegressions(evidence.samples),
		...accepted
			.filter(({ changeId }) => !evidence.finalChangeIds.includes(changeId))
			.map(({ changeId, version }) => `accepted version ${version ?? 0} (${changeId}) is lost`),
		...refused
			.filter((change) => isSeenInForce(evidence, change))
			.map(({ changeId }) => `refused ${changeId} was in force`),
		...evidence.routers
			.filter((router) => findLast(evidence.samples, router)?.version !== evidence.finalVersion)
			.map((router) => `${router} does not end at version ${evidence.finalVersion}`),
		...times
			.filter((time) => time === undefined)
			.map(() => 'an accepted change never came into force on a router'),
	];
	const inForceMs = times.filter((time) => time !== undefined).sort((a, b) => a - b);
	return { inForceMs, violations };
}

/** Returns the quantile `share` of sorted numbers; 0 when there are none. */
export function computeQuantile(sorted: readonly number[], share: number): number {
	const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
	return sorted[Math.max(0, index)] ?? 0;
}

/** Time from acceptance, or from the end of an absence during it, until the router is at the version. */
function findInForceMs(evidence: ChangeEvidence, change: TriedChange, router: string): number | undefined {
	const version = change.version ?? 0;
	const sample = evidence.samples.find(
		(candidate) => candidate.router === router && candidate.version >= version,
	);
	if (sample === undefined) {
		return undefined;
	}
	const absences = evidence.absences.filter(
		(absence) => absence.router === router && absence.untilMs > change.atMs && absence.fromMs < sample.atMs,
	);
	const liveSinceMs = Math.max(change.atMs, ...absences.map(({ untilMs }) => untilMs));
	return Math.max(0, sample.atMs - liveSinceMs);
}

/** A process must never answer a lower version, or another change of the same version, than before. */
function listRegressions(samples: readonly VersionSample[]): readonly string[] {
	const last = new Map<number, VersionSample>();
	const regressions: string[] = [];
	for (const sample of samples) {
		const before = last.get(sample.processId);
		if (before !== undefined && sample.version <= before.version) {
			regressions.push(`${sample.router} went from version ${before.version} to ${sample.version}`);
		}
		last.set(sample.processId, sample);
	}
	return regressions;
}

function isSeenInForce({ samples, finalChangeIds }: ChangeEvidence, { changeId }: TriedChange): boolean {
	return finalChangeIds.includes(changeId) || samples.some((sample) => sample.changeId === changeId);
}

function findLast(samples: readonly VersionSample[], router: string): VersionSample | undefined {
	return samples.filter((sample) => sample.router === router).at(-1);
}
