/**
 * State of one target as this instance knows it, beside its record: load, health, response time and cached
 * prefixes.
 */
import { hashTextTo32 } from '@papayawell/core';
import { PrefixCacheIndex } from './prefixCacheIndex.js';
import { UNRESPONSIVE_AFTER_MS, TargetHealth } from './targetHealth.js';
import { TargetBrittleness } from './targetBrittleness.js';
import { TargetColdness } from './targetColdness.js';
import type { LoadEstimate } from './targetLoadEstimate.js';
import { TargetLoadEstimate } from './targetLoadEstimate.js';
import type { TargetRecord } from './targetRecord.js';
import { TargetRequestLimit } from './targetRequestLimit.js';

/** Weight of the latest response in the moving average of the time to the response head. */
const TIME_TO_HEAD_WEIGHT = 0.1;
/** Time without a response in which half of what is known of a target's slowness is forgotten. */
const SLOWDOWN_HALF_LIFE_MS = 700;

/** Rate at which announced prompts are assumed to be prefilled; engines take 25 to 57 tokens in a ms. */
const ANNOUNCED_TOKENS_PER_MS = 30;

/** Why a target wants no request of this instance for some time. */
export type PauseCause = 'backingOff' | 'requestLimit' | 'brittle' | 'cold';

export class TargetState {
	public readonly nameHash: number;
	public readonly health = new TargetHealth();
	public readonly prefixCache = new PrefixCacheIndex();
	public readonly requestLimit = new TargetRequestLimit();
	public readonly brittleness: TargetBrittleness;
	public readonly coldness = new TargetColdness();
	public readonly statedLoad: TargetLoadEstimate;
	/** Whether the target has said something of its brittleness that cannot be read, so that this is logged once. */
	public hasInvalidBrittleness = false;
	/** Requests of this instance in flight on the target. */
	public ownRequests = 0;
	/** Requests that this instance has sent to the target. */
	public sentRequests = 0;
	/** Requests of the other instances in flight on the target, as last reported. */
	public peerRequests = 0;
	/** Prompt tokens that the target still has to prefill for requests of this instance. */
	public ownPrefillTokens = 0;
	/** Prompt tokens that the target still has to prefill for requests of the other instances, as last reported. */
	public peerPrefillTokens = 0;
	/** Prompt tokens that other instances announced to have sent, at the time of the last announcement. */
	private announcedPrefillTokens = 0;
	private announcedAtMs = 0;
	/** Exponentially weighted moving average of the time to the response head, in ms; 0 before the first response. */
	private averageTimeToHeadMs = 0;
	private respondedAtMs = -Infinity;
	/** Until then the target wants no request from this instance. */
	private backOffUntilMs = -Infinity;
	private lastActivityMs = -Infinity;
	/** Requests of this instance whose responses are not read, since their callers are slow. */
	private unreadRequests = 0;
	private readingResumedAtMs = -Infinity;
	/** Until then a target that sends nothing is not considered hung, since it may be prefilling a prompt. */
	private firstByteDueAtMs = -Infinity;

	constructor(public record: TargetRecord) {
		this.nameHash = hashTextTo32(record.id);
		this.brittleness = new TargetBrittleness(record.slots, Math.random());
		this.statedLoad = new TargetLoadEstimate(record.id, record.slots);
	}

	public get load(): number {
		return this.ownRequests + this.peerRequests;
	}

	/** Estimates the load of all senders; equal to `load` unless the targets of the service report a fourth figure. */
	public estimateLoad(nowMs: number): LoadEstimate {
		return this.statedLoad.estimate(this.ownRequests, this.peerRequests, nowMs);
	}

	/** @param firstByteTimeMs time that the target may need until the first byte of the response */
	public recordRequestSent(nowMs: number, firstByteTimeMs: number): void {
		this.firstByteDueAtMs = Math.max(this.firstByteDueAtMs, nowMs + firstByteTimeMs + UNRESPONSIVE_AFTER_MS);
		this.ownRequests += 1;
		this.sentRequests += 1;
		this.statedLoad.recordChange(1, nowMs);
		this.requestLimit.consume(nowMs);
		this.coldness.recordSent(nowMs);
	}

	public recordRequestEnded(nowMs: number): void {
		this.ownRequests -= 1;
		this.statedLoad.recordChange(-1, nowMs);
	}

	/** Prompt tokens that the target has to prefill before it can start with another prompt. */
	public get prefillTokens(): number {
		return this.ownPrefillTokens + this.peerPrefillTokens;
	}

	/** Records that another instance has just sent a prompt with so many tokens to prefill. */
	public recordAnnouncedPrefill(tokens: number, nowMs: number): void {
		this.announcedPrefillTokens = this.computeAnnouncedPrefill(nowMs) + tokens;
		this.announcedAtMs = nowMs;
	}

	/** Prompt tokens that the target still has to prefill, with those that were announced after the last report. */
	public computePrefillTokens(nowMs: number): number {
		return this.ownPrefillTokens + Math.max(this.peerPrefillTokens, this.computeAnnouncedPrefill(nowMs));
	}

	private computeAnnouncedPrefill(nowMs: number): number {
		const prefilledTokens = ANNOUNCED_TOKENS_PER_MS * (nowMs - this.announcedAtMs);
		return Math.max(0, this.announcedPrefillTokens - prefilledTokens);
	}

	/** Records that the target wants no request until `untilMs`. An earlier, longer request stays in force. */
	public recordBackOff(untilMs: number): void {
		this.backOffUntilMs = Math.max(this.backOffUntilMs, untilMs);
	}

	/**
	 * Returns the time for which the target wants no request of this instance, in ms: until its back-off is over, its limit
	 * allows for a request, it may have room if it is brittle, and this instance has a share left if it is cold. 0 if it
	 * takes requests, infinity if that may change at any time or never.
	 */
	public computePause(nowMs: number): number {
		const { backingOff, requestLimit, brittle, cold } = this.computePauses(nowMs);
		return Math.max(0, backingOff, requestLimit, brittle, cold);
	}

	/** Returns the pause of each cause, in ms; 0 or less if the cause does not hold. */
	public computePauses(nowMs: number): Readonly<Record<PauseCause, number>> {
		return {
			backingOff: this.backOffUntilMs - nowMs,
			requestLimit: this.requestLimit.computeDelay(nowMs),
			brittle: this.brittleness.computeDelay(this.ownRequests, nowMs),
			cold: this.coldness.computeDelay(nowMs),
		};
	}

	public recordActivity(nowMs: number): void {
		this.lastActivityMs = nowMs;
		this.coldness.recordContact(nowMs);
	}

	/** Records that a response is not read for now, so that the target cannot send anything more of it. */
	public recordReadingPaused(): void {
		this.unreadRequests += 1;
	}

	public recordReadingResumed(nowMs: number): void {
		this.unreadRequests -= 1;
		this.readingResumedAtMs = nowMs;
	}

	public recordTimeToHead(elapsedMs: number, nowMs: number): void {
		// What the target reports of its slowness counts by itself, and only while it is young.
		const usualMs = elapsedMs / (this.statedLoad.isInUse ? this.statedLoad.estimateSlowdown(nowMs) : 1);
		const averageMs = this.averageTimeToHeadMs === 0 ? usualMs : this.averageTimeToHeadMs;
		const weight = Math.max(TIME_TO_HEAD_WEIGHT, 1 - this.computeRetention(nowMs));
		this.averageTimeToHeadMs = averageMs + weight * (usualMs - averageMs);
		this.respondedAtMs = nowMs;
	}

	/** Average time to the response head in ms; undefined before the first response. */
	public get timeToHeadMs(): number | undefined {
		return this.averageTimeToHeadMs === 0 ? undefined : this.averageTimeToHeadMs;
	}

	/**
	 * Returns by which factor the target responds more slowly than the fastest. It returns to 1 without responses, since a
	 * target that is avoided for its slowness could not show that it is faster again.
	 */
	public computeSlowdown(fastestMs: number, nowMs: number): number {
		const excess = Math.max(this.averageTimeToHeadMs, fastestMs) / fastestMs - 1;
		return 1 + excess * this.computeRetention(nowMs);
	}

	/** Share of what is known of the target's slowness that still counts. */
	private computeRetention(nowMs: number): number {
		return 2 ** (-Math.max(0, nowMs - this.respondedAtMs) / SLOWDOWN_HALF_LIFE_MS);
	}

	/** Returns the time since the target last sent something, as far as it could. */
	public computeSilence(nowMs: number): number {
		return nowMs - Math.max(this.lastActivityMs, this.readingResumedAtMs);
	}

	/** Whether responses to this instance are awaited and the target has sent nothing for too long. */
	public isUnresponsive(nowMs: number): boolean {
		return (
			this.ownRequests > this.unreadRequests &&
			nowMs > this.firstByteDueAtMs &&
			this.computeSilence(nowMs) > UNRESPONSIVE_AFTER_MS
		);
	}
}
