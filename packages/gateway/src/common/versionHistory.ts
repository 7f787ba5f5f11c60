/** Tracks which versions of each service were listed lately, for streams whose origin nobody remembers. */
import { ORIGIN_RETENTION_MS } from './streamOrigins.js';
import type { TargetRecord } from './targetRecord.js';

/** What an instance can say of the versions that may have begun the streams of a service. */
export type VersionOpinion =
	/** Only this version was listed for as long as callers may resume streams. */
	| { readonly kind: 'sole'; readonly version: string }
	| { readonly kind: 'several' }
	/** The instance has not watched the list for long enough, or its list is old. */
	| { readonly kind: 'unknown' };

/** A version that came after the list was confirmed may have begun streams already. */
const MAX_LIST_AGE_MS = 2000;

export class VersionHistory {
	/** By service and version, when the version was last listed; infinity while it is. */
	private readonly listedUntilMs = new Map<string, Map<string, number>>();
	private watchedSinceMs: number | undefined;

	/** @param isFirstStart whether the whole fleet starts for the first time, so that there are no earlier streams */
	constructor(private readonly isFirstStart: boolean) {}

	/** Called with each change of the list. */
	public update(records: readonly TargetRecord[], nowMs: number): void {
		this.watchedSinceMs ??= this.isFirstStart ? -Infinity : nowMs;
		for (const versions of this.listedUntilMs.values()) {
			for (const [version, untilMs] of versions) {
				versions.set(version, Math.min(untilMs, nowMs));
			}
		}
		for (const { service, version } of records) {
			const versions = this.listedUntilMs.get(service) ?? new Map<string, number>();
			versions.set(version, Infinity);
			this.listedUntilMs.set(service, versions);
		}
	}

	/** @param listAgeMs time since the store confirmed the list */
	public describe(service: string, listAgeMs: number, nowMs: number): VersionOpinion {
		const versions = this.listedUntilMs.get(service) ?? new Map<string, number>();
		for (const [version, untilMs] of versions) {
			if (nowMs - untilMs > ORIGIN_RETENTION_MS) {
				versions.delete(version);
			}
		}
		const [version, ...others] = versions.keys();
		if (others.length > 0) {
			return { kind: 'several' };
		}
		const hasWatched =
			this.watchedSinceMs !== undefined && nowMs - this.watchedSinceMs >= ORIGIN_RETENTION_MS;
		return version !== undefined && hasWatched && listAgeMs <= MAX_LIST_AGE_MS
			? { kind: 'sole', version }
			: { kind: 'unknown' };
	}
}

/** Returns the version on which the opinions agree; undefined if one contradicts or nobody can tell. */
export function findCommonVersion(opinions: readonly VersionOpinion[]): string | undefined {
	let common: string | undefined;
	for (const opinion of opinions) {
		switch (opinion.kind) {
			case 'several':
				return undefined;
			case 'sole':
				if (common !== undefined && common !== opinion.version) {
					return undefined;
				}
				common = opinion.version;
				break;
			case 'unknown':
				break;
		}
	}
	return common;
}
