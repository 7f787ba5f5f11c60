/**
 * Answers where a request would go at this instant. The decision code of a real request runs on copies of its state, with
 * random numbers of its own, so that a question changes nothing and sends nothing.
 */
import { randomInt } from 'node:crypto';
import type { ConfigurationSnapshot } from '../common/activeConfiguration.js';
import { AttemptHistory } from '../common/attemptHistory.js';
import type { Customer, Route } from '../common/gatewayConfiguration.js';
import type { GatewayRequest } from '../common/gatewayRequest.js';
import { PlacementTrace } from '../common/placementTrace.js';
import type { PromptChain } from '../common/promptChain.js';
import { buildPromptChain, countTokens, listSharedPartKeys } from '../common/promptChain.js';
import type { RefusalReason } from '../common/refusal.js';
import type {
	BeliefAges,
	CandidateExplanation,
	CapacityExplanation,
	ExplainResult,
	ExplainedDecision,
	RequestExplanation,
	RequestQuestion,
} from '../common/requestExplanation.js';
import type { Verdict } from '../common/requestExplanation.js';
import { explainVerdict } from '../common/requestExplanation.js';
import type { AdmissionExplanation } from '../common/serviceAdmission.js';
import type { TargetState } from '../common/targetState.js';
import type { Placement } from '../common/placement.js';
import type { TargetTable } from '../common/targetTable.js';
import type { AdmissionControl } from './admissionControl.js';
import type { CrashTracker } from './crashTracker.js';
import type { PlacementInput, PlacementParts } from './exchangeParts.js';
import { ExchangePlacement, computePriority } from './exchangePlacement.js';

/** Bounds the answer: about 100 KB. */
const MAX_CANDIDATES = 300;
const RANDOM_RANGE = 2 ** 32;

export interface RequestExplainerParts {
	readonly targets: TargetTable;
	readonly crashes: Pick<CrashTracker, 'explainPrompt'>;
	readonly admission: Pick<AdmissionControl, 'explain'> | undefined;
	readonly isDraining: () => boolean;
	readonly readSnapshot: () => Pick<ConfigurationSnapshot, 'configuration'> | undefined;
	readonly isStoreUnreachable: () => boolean;
	readonly hasCacheTransfer: (service: string) => boolean;
	readonly hasLostPath: () => boolean;
	/** Whether this instance has memory for a body of this size. */
	readonly hasMemoryFor: (bytes: number) => boolean;
	/** Chooses an instance to relay to on a copy of what is known of them. */
	readonly choosePeer: (
		excluded: ReadonlySet<string>,
		regions: ReadonlySet<string> | undefined,
		random: () => number,
	) => TargetState | undefined;
	readonly describeBeliefs: (nowMs: number) => BeliefAges;
}

export class RequestExplainer {
	/** @param random returns random numbers in [0, 1) that no real decision uses */
	constructor(
		private readonly parts: RequestExplainerParts,
		private readonly random: () => number = () => randomInt(RANDOM_RANGE) / RANDOM_RANGE,
	) {}

	public explain(question: RequestQuestion, nowMs: number): ExplainResult {
		const snapshot = this.parts.readSnapshot();
		if (snapshot === undefined) {
			const detail = this.parts.isDraining()
				? 'the instance is stopping and refuses requests'
				: this.parts.isStoreUnreachable()
					? 'the instance has no configuration yet, and the store does not respond'
					: 'the instance does not serve yet';
			return { kind: 'noConfiguration', detail };
		}
		const { configuration } = snapshot;
		const route = configuration.routes.find(({ name }) => name === question.route);
		if (route === undefined) {
			const names = configuration.routes.map(({ name }) => name).join(', ');
			return { kind: 'unknownRoute', detail: `no route ${question.route}; the routes are ${names}` };
		}
		const customers = [...(configuration.customersByKey?.values() ?? [])];
		const customer = customers.find(({ name }) => name === question.customer);
		if (question.customer !== undefined && customer === undefined) {
			return { kind: 'unknownCustomer', detail: `no customer ${question.customer} has an API key` };
		}
		const early = this.findEarlyRefusal(question, route, customer, configuration.limits.maxBodyBytes, nowMs);
		return {
			kind: 'explained',
			explanation: new Explanation(this.parts, this.random, question, route, customer, nowMs).build(early),
		};
	}

	/** Finds why a request would be refused before the service is looked at. */
	private findEarlyRefusal(
		{ bodyBytes, prompt }: RequestQuestion,
		{ isPublic, name }: Route,
		customer: Customer | undefined,
		maxBodyBytes: number,
		nowMs: number,
	): ExplainedDecision | undefined {
		if (!isPublic && customer === undefined) {
			return refuse('unknownKey', `route ${name} requires an API key: name a customer`);
		}
		if (!this.parts.hasMemoryFor(bodyBytes)) {
			return refuse('memoryShort', 'this instance holds as much for callers as it may');
		}
		if (bodyBytes > maxBodyBytes) {
			return refuse('bodyTooLarge', `the limit is ${maxBodyBytes} bytes`);
		}
		const blocked = this.parts.crashes.explainPrompt(listSharedPartKeys(prompt), this.random(), nowMs);
		return blocked === undefined ? undefined : refuse('crashingRequest', blocked);
	}
}

/** The explanation of one question. */
class Explanation {
	private readonly trace = new PlacementTrace();
	private readonly prompt: PromptChain;
	private readonly placement: ExchangePlacement;
	private readonly targets: TargetTable;

	constructor(
		private readonly parts: RequestExplainerParts,
		private readonly random: () => number,
		private readonly question: RequestQuestion,
		private readonly route: Route,
		private readonly customer: Customer | undefined,
		private readonly nowMs: number,
	) {
		this.prompt = route.hasAffinity ? buildPromptChain(question.prompt) : [];
		const input: PlacementInput = { route, customer, request: makeRequest(question), relayed: undefined };
		let targets: TargetTable | undefined;
		const copyTargets = (): TargetTable =>
			(targets ??= parts.targets.copyService(this.placement.service, random));
		const placementParts: PlacementParts = {
			targets: {
				choose: (request) => copyTargets().choose(request, nowMs, this.trace.record),
				computePause: (service, version, atMs, regions) =>
					copyTargets().computePause(service, version, atMs, regions),
				hasVersion: (service, version) => copyTargets().hasVersion(service, version),
				isServiceEvacuated: (service, version, regions) =>
					copyTargets().isServiceEvacuated(service, version, regions),
			},
			hasCacheTransfer: parts.hasCacheTransfer,
			hasLostPath: parts.hasLostPath,
			choosePeer: (excluded, regions) => parts.choosePeer(excluded, regions, random),
			random,
			findStreamOrigin: () => Promise.resolve({ kind: 'unknown', hasAllReplies: true }),
			recordPathFailure: () => undefined,
			recordStreamOrigin: () => undefined,
		};
		this.placement = new ExchangePlacement(
			placementParts,
			input,
			this.prompt,
			new AttemptHistory(route.maxAttempts),
		);
		this.targets = copyTargets();
	}

	/** @param early refusal that comes before the choice of a target */
	public build(early: ExplainedDecision | undefined): RequestExplanation {
		const { customer, nowMs, route, targets } = this;
		const { service } = this.placement;
		// As for a real request, the service decides whether it has room before a target is chosen.
		const admission = early === undefined ? this.explainAdmission(service) : undefined;
		const placement = this.placement.chooseNext();
		const members = targets.listMembers(service);
		return {
			route: route.name,
			customer: customer?.name,
			service,
			decision: early ?? this.describeDecision(admission, placement),
			capacity: admission && describeCapacity(admission),
			candidates: members.slice(0, MAX_CANDIDATES).map((target) => this.explainCandidate(target, placement)),
			omittedCandidates: Math.max(0, members.length - MAX_CANDIDATES),
			beliefs: this.parts.describeBeliefs(nowMs),
		};
	}

	private explainAdmission(service: string): AdmissionExplanation | undefined {
		const { customer, nowMs, question, random, route, targets } = this;
		if (this.parts.hasLostPath()) {
			return undefined;
		}
		const input = {
			service,
			route: route.name,
			customer: customer?.name ?? '',
			priority: computePriority({ customer, route }),
			objectiveMs: route.objectiveMs,
			remainingMs: route.timeoutMs,
			tokens: countTokens(question.prompt),
			bodyBytes: question.bodyBytes,
		};
		// The estimates on the copy are kept there, so that the choice of a target relies on the same ones.
		return this.parts.admission?.explain(input, targets, random, nowMs);
	}

	private describeDecision(
		admission: AdmissionExplanation | undefined,
		placement: Placement | undefined,
	): ExplainedDecision {
		const decision = admission?.decision;
		if (decision?.kind === 'wait') {
			return { kind: 'waiting', maxWaitMs: decision.maxWaitMs };
		}
		if (decision?.kind === 'refuse') {
			const { reason, returnDelayMs } = decision;
			return {
				kind: 'refused',
				reason,
				detail: `service ${this.placement.service} has no room`,
				returnDelayMs,
			};
		}
		if (placement === undefined) {
			const { reason, detail } = this.placement.describeMissing();
			return { kind: 'refused', ...this.placement.buildRefusal(reason, detail, this.nowMs) };
		}
		const { target, reason, cachedTokens, cacheSource } = placement;
		return {
			kind: 'sent',
			target: target.record.id,
			reason,
			cachedTokens,
			cacheSource: cacheSource?.record.id,
		};
	}

	private explainCandidate(target: TargetState, placement: Placement | undefined): CandidateExplanation {
		const { nowMs } = this;
		const { record, statedLoad } = target;
		const { requests, deviation, slowdown } = target.estimateLoad(nowMs);
		const reportedAtMs = statedLoad.isInUse ? statedLoad.report?.reportedAtMs : undefined;
		return {
			target: record.id,
			zone: record.zone,
			version: record.version,
			slots: record.slots,
			load: requests,
			deviation,
			reportAgeMs: reportedAtMs === undefined ? undefined : nowMs - reportedAtMs,
			slowdown,
			timeToHeadMs: target.timeToHeadMs,
			cachedTokens: target.prefixCache.countCachedTokens(this.prompt),
			...this.explainChoice(target, placement),
		};
	}

	private explainChoice(target: TargetState, placement: Placement | undefined): Verdict {
		if (placement?.reason === 'relay') {
			return { verdict: 'relayed', detail: 'this instance reaches no target itself, and relays the request' };
		}
		return explainVerdict(target, {
			step: this.trace.findLastStep(target),
			isChosen: placement?.target === target,
			isEvacuated: this.targets.isEvacuated(target),
			// A question is a first attempt, which begins its stream.
			version: undefined,
			nowMs: this.nowMs,
		});
	}
}

function refuse(reason: RefusalReason, detail: string): ExplainedDecision {
	return { kind: 'refused', reason, detail, returnDelayMs: undefined };
}

function describeCapacity({ capacity, decision: _, ...rest }: AdmissionExplanation): CapacityExplanation {
	const { concurrency, otherRequests } = capacity;
	return { ...rest, concurrency, otherRequests };
}

/** Makes a first attempt of a caller that states no deadline. */
function makeRequest({ prompt }: RequestQuestion): GatewayRequest {
	return {
		attemptId: '',
		method: 'POST',
		url: '/',
		forwardedHeaders: [],
		deadlineMs: undefined,
		prompt,
		lastEventId: undefined,
		resumedAttemptId: undefined,
	};
}
