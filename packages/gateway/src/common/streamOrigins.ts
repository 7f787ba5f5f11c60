/** Remembers which version of which service began the streams that callers may resume. */

/** What began a stream. Targets of another version continue it with text that does not fit. */
export interface StreamOrigin {
	readonly service: string;
	readonly version: string;
}

/** The caller's attempt that brought the first event of a stream, its origin, and the time since then in ms. */
export type StreamOriginReport = readonly [
	attemptId: string,
	service: string,
	version: string,
	ageMs: number,
];

/** How long an origin is remembered: longer than callers wait for a stream in all. */
export const ORIGIN_RETENTION_MS = 60_000;
/** Limit of remembered origins; the oldest ones are forgotten first. */
const MAX_ORIGINS = 50_000;
/** Limit of the characters of their ids, which callers choose. */
const MAX_ID_CHARACTERS = 4_000_000;

interface KnownOrigin extends StreamOrigin {
	readonly begunAtMs: number;
}

export class StreamOrigins {
	/** Origins by attempt; the one that was added first comes first. */
	private readonly origins = new Map<string, KnownOrigin>();
	private idCharacters = 0;

	/** Adds an origin. The first one that is known of an attempt stays. */
	public add([attemptId, service, version, ageMs]: StreamOriginReport, nowMs: number): void {
		if (!this.origins.has(attemptId)) {
			this.origins.set(attemptId, { service, version, begunAtMs: nowMs - ageMs });
			this.idCharacters += attemptId.length;
		}
		for (const [oldest, { begunAtMs }] of this.origins) {
			if (!this.isOverfull && nowMs - begunAtMs <= ORIGIN_RETENTION_MS) {
				break;
			}
			this.origins.delete(oldest);
			this.idCharacters -= oldest.length;
		}
	}

	public find(attemptId: string): StreamOrigin | undefined {
		return this.origins.get(attemptId);
	}

	private get isOverfull(): boolean {
		return this.origins.size > MAX_ORIGINS || this.idCharacters > MAX_ID_CHARACTERS;
	}

	/** Lists the origins of the streams that began within the last `maxAgeMs`, the newest first. */
	public listRecent(maxAgeMs: number, nowMs: number): readonly StreamOriginReport[] {
		const reports: StreamOriginReport[] = [];
		for (const [attemptId, { service, version, begunAtMs }] of this.origins) {
			if (nowMs - begunAtMs <= maxAgeMs) {
				reports.push([attemptId, service, version, Math.round(nowMs - begunAtMs)]);
			}
		}
		return reports.reverse();
	}
}

export function isStreamOriginReport(value: unknown): value is StreamOriginReport {
	return (
		Array.isArray(value) &&
		typeof value[0] === 'string' &&
		typeof value[1] === 'string' &&
		typeof value[2] === 'string' &&
		Number.isSafeInteger(value[3]) &&
		Number(value[3]) >= 0
	);
}
