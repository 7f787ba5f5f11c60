/** Chooses where one request is sent: the service, the version of a stream that goes on, and a target or an instance. */
import type { AttemptHistory } from '../common/attemptHistory.js';
import { computeAllowedRegions } from '../common/homeRegions.js';
import type { PromptChain } from '../common/promptChain.js';
import type { RefusalReason } from '../common/refusal.js';
import { computeReturnDelay } from '../common/returnDelay.js';
import { pickService } from '../common/routeTable.js';
import type { StreamOrigin } from '../common/streamOrigins.js';
import type { Placement } from '../common/placement.js';
import type { PlacementInput, PlacementParts } from './exchangeParts.js';
import type { RunningAttempt } from './runningAttempt.js';
import type { OriginLookup } from './streamOriginSync.js';

/** Least urgent priority that targets accept. */
const LEAST_URGENT_PRIORITY = 9;
/** Limit of the instances to which one request is relayed, one after the other. */
const MAX_RELAYS = 3;

export interface PlacementRefusal {
	readonly reason: RefusalReason;
	readonly detail: string;
	/** Time after which a retry can succeed, in ms; undefined if it is not known. */
	readonly returnDelayMs: number | undefined;
}

/** Returns the priority of the customer, or of the route if the customer has none; 0 is the most urgent. */
export function computePriority({ customer, route }: Pick<PlacementInput, 'customer' | 'route'>): number {
	return Math.min(LEAST_URGENT_PRIORITY, customer?.priority ?? route.priority);
}

export class ExchangePlacement {
	private pickedService: string;
	/** Version at which the stream has to go on; undefined while any may serve. */
	private version: string | undefined;
	/** Whether a target could not be reached, so that another instance may serve the request. */
	private hasUnreachableTargets = false;
	/** Whether the stream goes on through another instance, which knows its version. */
	private isRelayedStream = false;
	private relays = 0;
	/** Regions in which the request may reach targets; undefined if any. */
	private readonly regions: ReadonlySet<string> | undefined;

	constructor(
		private readonly parts: PlacementParts,
		private readonly input: PlacementInput,
		private readonly prompt: PromptChain,
		private readonly history: AttemptHistory,
	) {
		this.regions = computeAllowedRegions(input.route.homeRegions, input.customer?.homeRegions);
		this.pickedService = pickService(input.route.services, parts.random()) ?? '';
	}

	public get service(): string {
		return this.pickedService;
	}

	/** Finds what began the stream that the caller resumes; undefined if the caller begins one, or no stream. */
	public findOrigin(): Promise<OriginLookup> | undefined {
		const { request, route } = this.input;
		const namesStream = request.lastEventId !== undefined || request.resumedAttemptId !== undefined;
		return route.kind === 'stream' && namesStream
			? this.parts.findStreamOrigin(request.resumedAttemptId, this.service)
			: undefined;
	}

	/** Keeps the request to the version that began its stream, and to the service if the route still allows it. */
	public adoptOrigin({ service, version }: StreamOrigin): void {
		this.version = version;
		if (this.input.route.services.some((weighted) => weighted.service === service)) {
			this.pickedService = service;
		}
	}

	/** Chooses where the next attempt is sent. */
	public chooseNext(): Placement | undefined {
		const { excluded } = this.history;
		const placement = this.choose(excluded);
		return placement === undefined && this.hasUnreachableTargets ? this.chooseRelay(excluded) : placement;
	}

	/** @param excluded targets and instances that must not be chosen */
	public choose(excluded: ReadonlySet<string>): Placement | undefined {
		const { hasCacheTransfer, hasLostPath, targets } = this.parts;
		if (this.isRelayedStream || hasLostPath()) {
			const relay = this.chooseRelay(excluded);
			if (relay !== undefined || this.isRelayedStream) {
				return relay;
			}
		}
		return targets.choose(
			{
				service: this.service,
				prompt: this.prompt,
				objectiveMs: this.input.route.objectiveMs,
				hasCacheTransfer: hasCacheTransfer(this.service),
				excluded,
				allowed: this.history.allowed,
				version: this.version,
				regions: this.regions,
			},
			performance.now(),
		);
	}

	/** Explains that `chooseNext` found nothing. */
	public describeMissing(): { readonly reason: RefusalReason; readonly detail: string } {
		const { regions, service, version } = this;
		if (regions?.size === 0) {
			return { reason: 'noCommonRegion', detail: 'the route and the customer have no home region in common' };
		}
		if (this.parts.targets.isServiceEvacuated(service, version, regions)) {
			return {
				reason: 'zonesEvacuated',
				detail: `the zones of all targets of service ${service} are evacuated`,
			};
		}
		return version !== undefined && !this.parts.targets.hasVersion(service, version)
			? { reason: 'versionGone', detail: `service ${service} has no target of version ${version}` }
			: { reason: 'noTarget', detail: `service ${service} has no target that takes work` };
	}

	/** Builds the refusal of a request that was sent nowhere; it names the end of the pauses if targets asked for some. */
	public buildRefusal(reason: RefusalReason, detail: string, nowMs: number): PlacementRefusal {
		const pauseMs = this.parts.targets.computePause(this.service, this.version, nowMs, this.regions);
		if (pauseMs === 0) {
			return { reason, detail, returnDelayMs: undefined };
		}
		const returnDelayMs = computeReturnDelay(pauseMs, computePriority(this.input), this.parts.random());
		return { reason: 'targetsBackingOff', detail, returnDelayMs };
	}

	public recordSend({ reason }: Placement): void {
		this.relays += reason === 'relay' ? 1 : 0;
	}

	/** Records that a target could not be reached, or stopped sending. */
	public recordPathFailure(): void {
		this.hasUnreachableTargets = true;
		this.parts.recordPathFailure();
	}

	/** Called before the caller gets an event. The first one decides at which version the stream may go on. */
	public recordEvent({ version, isRelayed }: RunningAttempt, isFirst: boolean): void {
		this.isRelayedStream ||= isRelayed;
		if (isFirst && !isRelayed) {
			this.version = version;
			this.parts.recordStreamOrigin(this.input.request.attemptId, { service: this.service, version });
		}
	}

	/** Chooses another instance for the request, unless it comes from one itself. */
	private chooseRelay(excluded: ReadonlySet<string>): Placement | undefined {
		if (this.input.relayed !== undefined || this.relays >= MAX_RELAYS) {
			return undefined;
		}
		const target = this.parts.choosePeer(excluded, this.regions);
		return target === undefined
			? undefined
			: { target, reason: 'relay', meanLoad: 0, cachedTokens: 0, cacheSource: undefined };
	}
}
