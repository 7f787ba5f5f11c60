/** Explains for each target of a service why it would be chosen for a request, or was passed over. */
import type { PromptPart } from './gatewayRequest.js';
import type { PlacementStep } from './placementTrace.js';
import type { RefusalReason } from './refusal.js';
import type { PauseCause, TargetState } from './targetState.js';
import type { PlacementReason } from './placement.js';

export interface RequestQuestion {
	readonly route: string;
	/** Name of the customer; undefined for a caller without an API key. */
	readonly customer: string | undefined;
	readonly prompt: readonly PromptPart[];
	readonly bodyBytes: number;
}

export type ExplainedDecision =
	| {
			readonly kind: 'sent';
			readonly target: string;
			readonly reason: PlacementReason;
			readonly cachedTokens: number;
			/** Target from which the rest of the cached prompt would be fetched. */
			readonly cacheSource: string | undefined;
	  }
	| { readonly kind: 'waiting'; readonly maxWaitMs: number }
	| {
			readonly kind: 'refused';
			readonly reason: RefusalReason;
			readonly detail: string;
			/** When the caller is asked to return, if the decision states it. */
			readonly returnDelayMs: number | undefined;
	  };

/** Why a target is, or is not, the one to which the request would go now. */
export type CandidateVerdict =
	| 'chosen'
	| 'leaving'
	| 'cold'
	| 'zoneEvacuated'
	| 'atStatedLimit'
	| 'backingOff'
	| 'slow'
	| 'overloaded'
	| 'failing'
	| 'version'
	| 'region'
	| 'excluded'
	| 'paused'
	/** This instance reaches no target itself, and relays the request. */
	| 'relayed'
	| 'notBest';

export interface CandidateExplanation {
	readonly target: string;
	readonly zone: string;
	readonly version: string;
	readonly slots: number;
	/** Requests on the target by all senders, and the standard deviation of that figure. */
	readonly load: number;
	readonly deviation: number;
	/** Age of the load report; undefined if the load is what the instances know to be in flight. */
	readonly reportAgeMs: number | undefined;
	/** Factor by which work on the target takes longer than usual. */
	readonly slowdown: number;
	/** Average time to the response head; undefined before the first response. */
	readonly timeToHeadMs: number | undefined;
	readonly cachedTokens: number;
	readonly verdict: CandidateVerdict;
	readonly detail: string;
}

/** The admission while the service shares out its capacity. */
export interface CapacityExplanation {
	readonly isShort: boolean;
	readonly concurrency: number;
	readonly ownRequests: number;
	readonly otherRequests: number;
	readonly waiting: number;
	/** Requests that this instance may have if one of this customer is sent; undefined while capacity is not short. */
	readonly limit: number | undefined;
	readonly customerRequests: number;
	readonly customerRequestsOfFleet: number;
	readonly isWithinShare: boolean;
	/** Requests of the fleet up to which a customer is within its share; undefined if there is only one. */
	readonly customerShare: number | undefined;
}

/** How old what the decision relies on is. */
export interface BeliefAges {
	readonly targetsAgeMs: number;
	readonly peers: number;
	readonly peersAgeMs: number;
	readonly oldestPeerAgeMs: number;
	readonly configurationVersion: number;
	/** Time since this instance adopted the version. */
	readonly configurationAgeMs: number;
}

export interface RequestExplanation {
	readonly route: string;
	readonly customer: string | undefined;
	readonly service: string;
	readonly decision: ExplainedDecision;
	/** Undefined if the service does not share out its capacity, or the request would be refused before. */
	readonly capacity: CapacityExplanation | undefined;
	readonly candidates: readonly CandidateExplanation[];
	/** Candidates beyond the limit of the answer. */
	readonly omittedCandidates: number;
	readonly beliefs: BeliefAges;
}

export type ExplainResult =
	| { readonly kind: 'explained'; readonly explanation: RequestExplanation }
	| { readonly kind: 'unknownRoute' | 'unknownCustomer' | 'noConfiguration'; readonly detail: string };

/** What a verdict is read from. */
export interface VerdictInput {
	/** The first step that did not leave the target; undefined if all did. */
	readonly step: PlacementStep | undefined;
	readonly isChosen: boolean;
	readonly isEvacuated: boolean;
	/** Version that the target must have; undefined if any may serve. */
	readonly version: string | undefined;
	readonly nowMs: number;
}

export interface Verdict {
	readonly verdict: CandidateVerdict;
	readonly detail: string;
}

export function explainVerdict(
	target: TargetState,
	{ step, isChosen, isEvacuated, version, nowMs }: VerdictInput,
): Verdict {
	if (isChosen) {
		return { verdict: 'chosen', detail: 'the best candidate now' };
	}
	switch (step) {
		case 'unpaused':
			return {
				verdict: 'paused',
				detail: 'this instance was paused, and first has to learn which zones are evacuated',
			};
		case 'usable':
			return isEvacuated
				? { verdict: 'zoneEvacuated', detail: `zone ${target.record.zone} is evacuated` }
				: { verdict: 'region', detail: `zone ${target.record.zone} is in no home region of the request` };
		case 'serving':
			return target.record.isLeaving
				? { verdict: 'leaving', detail: 'it is leaving' }
				: explainPause(target, nowMs);
		case 'reachable':
			return target.isUnresponsive(nowMs)
				? { verdict: 'slow', detail: 'it has sent nothing for too long to the requests that it has' }
				: { verdict: 'failing', detail: 'excluded after connections to it failed' };
		case 'healthy':
			return {
				verdict: 'failing',
				detail: `excluded after failures: ${(100 * target.health.failureRate).toFixed(0)} of 100 recent answers`,
			};
		case 'allowed':
			return version === undefined || version === target.record.version
				? { verdict: 'excluded', detail: 'an earlier attempt of the request has excluded it' }
				: { verdict: 'version', detail: `it runs ${target.record.version}, the stream needs ${version}` };
		case 'withinLoadLimit':
			return { verdict: 'overloaded', detail: 'its load is above the load limit for this prompt' };
		case 'withinObjective':
			return { verdict: 'slow', detail: 'the prompts that it has to prefill first take too long' };
		case 'drawn':
			return { verdict: 'notBest', detail: 'not among the two that are drawn at random and compared' };
		case 'drawnWithinLimit':
			return { verdict: 'overloaded', detail: 'its load may be above the load limit' };
		case undefined:
			return { verdict: 'notBest', detail: 'another one was better' };
	}
}

function explainPause(target: TargetState, nowMs: number): Verdict {
	const pauses = Object.entries(target.computePauses(nowMs)) as [PauseCause, number][];
	const [longest, pauseMs] = pauses.reduce((most, pause) => (pause[1] > most[1] ? pause : most));
	// A brittle target gets more room when it is asked while it has none.
	const cause = pauseMs > 0 ? longest : 'brittle';
	const until = Number.isFinite(pauseMs) ? `for ${Math.ceil(pauseMs)} ms more` : 'until something changes';
	const { brittleness, coldness, requestLimit } = target;
	switch (cause) {
		case 'backingOff':
			return { verdict: 'backingOff', detail: `it asked for a pause, ${until}` };
		case 'requestLimit':
			return {
				verdict: 'atStatedLimit',
				detail: `at its stated limit of ${requestLimit.requestsPerSecond ?? 0} requests/s for the fleet, ${until}`,
			};
		case 'brittle':
			return {
				verdict: 'atStatedLimit',
				detail: `no room: it states that it withstands ${brittleness.rejectionsPerSecond ?? 0} rejections/s`,
			};
		case 'cold':
			return {
				verdict: 'cold',
				detail: `cold for ${Math.ceil(coldness.computeRemaining(nowMs))} ms; this instance may send ${coldness.share} requests/s, none ${until}`,
			};
	}
}
