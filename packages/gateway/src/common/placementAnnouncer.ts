/**
 * Announces the placement of long prefixes that were cached nowhere, at once and to all peers. Gossip tells of a
 * placement after up to a second in a large fleet, in which other instances place the same prefix again, or others on
 * the same engine: after a start of the fleet all caches are empty.
 */
import type { PlacementMessage } from './peerMessage.js';
import type { PromptChain } from './promptChain.js';
import { countTokens, listSharedLinks } from './promptChain.js';
import { FETCH_TIME_RATIO, MIN_QUEUED_TOKENS } from './cacheAwarePlacement.js';
import type { TargetState } from './targetState.js';
import type { TargetTable } from './targetTable.js';

/** Announcements of one instance: at a cold start of 77 instances each places some two long prefixes a second. */
const MAX_PER_SECOND = 5;
const MAX_BURST = 10;

export interface PlacementAnnouncerParts {
	readonly targets: TargetTable;
	readonly broadcast: (message: PlacementMessage) => void;
	/** Adopts that an engine caches the prompt of a message. */
	readonly adoptPrompt: (message: PlacementMessage) => void;
}

export class PlacementAnnouncer {
	private allowance = MAX_BURST;
	private allowanceAtMs = 0;

	constructor(private readonly parts: PlacementAnnouncerParts) {}

	/**
	 * Announces that a prompt is being sent to a target, if much of its shared part is not cached there.
	 * @param cacheSource engine from which the target fetches what is cached there
	 */
	public announce(
		{ record, prefixCache, statedLoad }: TargetState,
		prompt: PromptChain,
		cacheSource: TargetState | undefined,
		nowMs: number,
	): void {
		if (!statedLoad.isInUse) {
			return;
		}
		const shared = listSharedLinks(prompt);
		const sharedTokens = countTokens(shared);
		const cachedTokens = Math.min(sharedTokens, prefixCache.countCachedTokens(prompt));
		const uncachedTokens = sharedTokens - cachedTokens;
		if (uncachedTokens < MIN_QUEUED_TOKENS || !this.tryAcquire(nowMs)) {
			return;
		}
		const sourceTokens = Math.min(sharedTokens, cacheSource?.prefixCache.countCachedTokens(prompt) ?? 0);
		const fetchedTokens = Math.max(0, sourceTokens - cachedTokens);
		// With the fetched tokens in full, all peers would pass the engine over with all that it has cached.
		const prefillTokens = Math.round(uncachedTokens - (1 - FETCH_TIME_RATIO) * fetchedTokens);
		this.parts.broadcast({
			kind: 'placement',
			target: record.id,
			startedAtMs: record.startedAtMs,
			prefillTokens,
			links: shared.flatMap(({ hash, tokens }) => [hash, tokens]),
		});
	}

	/** Adopts the announcement of another instance. */
	public adopt(message: PlacementMessage, nowMs: number): void {
		const target = this.parts.targets.find(message.target);
		if (target?.record.startedAtMs === message.startedAtMs) {
			target.recordAnnouncedPrefill(message.prefillTokens, nowMs);
			this.parts.adoptPrompt(message);
		}
	}

	private tryAcquire(nowMs: number): boolean {
		const earned = ((nowMs - this.allowanceAtMs) * MAX_PER_SECOND) / 1000;
		this.allowance = Math.min(MAX_BURST, this.allowance + earned);
		this.allowanceAtMs = nowMs;
		if (this.allowance < 1) {
			return false;
		}
		this.allowance -= 1;
		return true;
	}
}
