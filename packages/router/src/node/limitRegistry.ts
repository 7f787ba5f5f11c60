/** Fleet-wide limits by rule and customer, coordinated through usage reports between the routers. */
import type { Disposable, PeerNetwork, Rule, RuleLimits } from '@papayawell/core';
import { DisposableStore, RouterState, SharedInFlightLimit, SharedRateLimit } from '@papayawell/core';

/** Interval of usage reports to the other routers, in ms. */
const REPORT_INTERVAL_MS = 1000;
/** Age at which a usage report of another router expires, in ms. */
const STALE_AFTER_MS = 5000;
const IN_FLIGHT_RETRY_AFTER_MS = 500;

/** Grant of one request. Release it exactly once. */
export interface LimitGrant {
	/** Replaces the estimated tokens by the tokens actually used. */
	settleTokens(used: number): void;
	release(): void;
}

export type LimitDecision =
	| { readonly kind: 'granted'; readonly grant: LimitGrant }
	| { readonly kind: 'refused'; readonly limit: keyof RuleLimits; readonly retryAfterMs: number };

interface CustomerLimits {
	readonly requests: SharedRateLimit | undefined;
	readonly tokens: SharedRateLimit | undefined;
	readonly inFlight: SharedInFlightLimit | undefined;
	/** Limits of the rule that this entry was created from. */
	readonly ruleLimits: RuleLimits;
}

const UNLIMITED: LimitDecision = {
	kind: 'granted',
	grant: { settleTokens: () => undefined, release: () => undefined },
};

/** Owns the limits and the timer of the usage reports. */
export class LimitRegistry extends DisposableStore implements Disposable {
	private readonly limits = new Map<string, CustomerLimits>();
	private readonly timer: NodeJS.Timeout;

	constructor(
		private readonly self: string,
		private readonly peers: PeerNetwork,
	) {
		super();
		this.timer = setInterval(() => {
			this.publishReports();
		}, REPORT_INTERVAL_MS);
		this.add(
			peers.onDidReceiveFact((fact) => {
				if (fact.kind === 'use') {
					this.noteUse(fact.limit, fact.router, fact.rate, fact.version);
				}
			}),
		);
		this.add(
			peers.onDidChangeView(() => {
				this.updateRouterCount();
			}),
		);
	}

	/** Acquires one request and `tokens` estimated tokens, or returns the limit that is exceeded. */
	public acquire(rule: Rule, customer: string, tokens: number): LimitDecision {
		if (Object.keys(rule.limits).length === 0) {
			return UNLIMITED;
		}
		const nowMs = Date.now();
		const limits = this.getOrCreate(rule, customer, nowMs);
		if (limits.inFlight?.tryAcquire(nowMs) === false) {
			return { kind: 'refused', limit: 'inFlight', retryAfterMs: IN_FLIGHT_RETRY_AFTER_MS };
		}
		const refusal = acquireRates(limits, tokens, nowMs);
		if (refusal !== undefined) {
			limits.inFlight?.release();
			return refusal;
		}
		return { kind: 'granted', grant: makeGrant(limits, tokens) };
	}

	public override dispose(): void {
		clearInterval(this.timer);
		super.dispose();
	}

	/** Returns the limits of the rule and customer; creates them anew when the rule's limits have changed. */
	private getOrCreate(rule: Rule, customer: string, nowMs: number): CustomerLimits {
		const key = `${rule.name}/${customer}`;
		const existing = this.limits.get(key);
		if (existing !== undefined && hasSameLimits(existing.ruleLimits, rule.limits)) {
			return existing;
		}
		const created = this.makeLimits(rule.limits, nowMs);
		this.limits.set(key, created);
		this.updateRouterCount();
		return created;
	}

	private makeLimits(ruleLimits: RuleLimits, nowMs: number): CustomerLimits {
		const { requestsPerSecond, tokensPerSecond, inFlight } = ruleLimits;
		const shared = { self: this.self, staleAfterMs: STALE_AFTER_MS };
		const makeRate = (limit: number | undefined): SharedRateLimit | undefined =>
			limit === undefined ? undefined : new SharedRateLimit({ ...shared, limit }, nowMs);
		return {
			requests: makeRate(requestsPerSecond),
			tokens: makeRate(tokensPerSecond),
			inFlight: inFlight === undefined ? undefined : new SharedInFlightLimit({ ...shared, limit: inFlight }),
			ruleLimits,
		};
	}

	private noteUse(limit: string, router: string, rate: number, versionMs: number): void {
		const separatorIndex = limit.lastIndexOf('/');
		const limits = this.limits.get(limit.slice(0, separatorIndex));
		switch (limit.slice(separatorIndex + 1)) {
			case 'requests':
				limits?.requests?.applyUsageReport(router, rate, versionMs);
				return;
			case 'tokens':
				limits?.tokens?.applyUsageReport(router, rate, versionMs);
				return;
			case 'inFlight':
				limits?.inFlight?.applyUsageReport(router, rate, versionMs);
				return;
			default:
				return;
		}
	}

	private publishReports(): void {
		const nowMs = Date.now();
		for (const [key, { requests, tokens, inFlight }] of this.limits) {
			this.publishUse(`${key}/requests`, requests?.readDemand(nowMs), nowMs);
			this.publishUse(`${key}/tokens`, tokens?.readDemand(nowMs), nowMs);
			this.publishUse(`${key}/inFlight`, inFlight?.inFlightCount, nowMs);
		}
	}

	/** Omits a rate of zero to save control traffic: other routers expire the last report after `STALE_AFTER_MS`. */
	private publishUse(limit: string, rate: number | undefined, version: number): void {
		const rounded = Math.round((rate ?? 0) * 10) / 10;
		if (rounded > 0) {
			this.peers.publish({ kind: 'use', limit, router: this.self, rate: rounded, version });
		}
	}

	private updateRouterCount(): void {
		const memberCount = this.peers.readView().filter(({ state }) => state !== RouterState.Dead).length;
		for (const { requests, tokens } of this.limits.values()) {
			requests?.setRouterCount(memberCount);
			tokens?.setRouterCount(memberCount);
		}
	}
}

function acquireRates(limits: CustomerLimits, tokens: number, nowMs: number): LimitDecision | undefined {
	const requests = limits.requests?.take(1, nowMs);
	if (requests?.kind === 'refused') {
		return { kind: 'refused', limit: 'requestsPerSecond', retryAfterMs: requests.retryAfterMs };
	}
	const taken = limits.tokens?.take(tokens, nowMs);
	if (taken?.kind === 'refused') {
		limits.requests?.reconcile(-1);
		return { kind: 'refused', limit: 'tokensPerSecond', retryAfterMs: taken.retryAfterMs };
	}
	return undefined;
}

function makeGrant(limits: CustomerLimits, estimatedTokens: number): LimitGrant {
	return {
		settleTokens: (used) => limits.tokens?.reconcile(used - estimatedTokens),
		release: () => limits.inFlight?.release(),
	};
}

function hasSameLimits(a: RuleLimits, b: RuleLimits): boolean {
	return (
		a.requestsPerSecond === b.requestsPerSecond &&
		a.tokensPerSecond === b.tokensPerSecond &&
		a.inFlight === b.inFlight
	);
}
