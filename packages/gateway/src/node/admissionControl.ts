/**
 * Holds the requests that wait for capacity at this instance, one `ServiceAdmission` for each service. Requests that wait
 * have been sent nowhere, so that all of them may be refused at any time.
 */
import type { Disposable } from '@papayawell/core';
import type { CapacityReport } from '../common/capacityReport.js';
import type { FleetView } from '../common/capacityShare.js';
import type { EventLog } from '../common/eventLog.js';
import type { ServiceDefinition } from '../common/gatewayConfiguration.js';
import type { PeerState } from '../common/peerState.js';
import type { RefusalReason } from '../common/refusal.js';
import type { AdmissionExplanation, AdmissionRequest } from '../common/serviceAdmission.js';
import { ServiceAdmission } from '../common/serviceAdmission.js';
import type { ServiceCapacity } from '../common/serviceCapacity.js';
import { estimateServiceCapacity } from '../common/serviceCapacity.js';
import type { TargetState } from '../common/targetState.js';
import type { TargetTable } from '../common/targetTable.js';

/** Interval at which waiting requests are looked at when none ends here; a hundredth of usual objectives and less. */
const CHECK_INTERVAL_MS = 10;
/** Limits of what waits in all services; the smallest instances have 250 MB. */
const MAX_WAITING = 1000;
const MAX_WAITING_BYTES = 33_554_432;
/** Weight of the latest request in the moving average of the tokens that one needs. */
const TOKENS_WEIGHT = 0.02;
/** For this time after its start an instance takes the instances that its settings name to run: some rounds of gossip. */
const START_MS = 2000;
/** The same if it hears nobody: it cannot know whether it is alone. */
const ISOLATED_START_MS = 20_000;
/** Customers of one service of which peers are told, those with the most requests first. */
const MAX_REPORTED_CUSTOMERS = 100;

export interface AdmissionInput extends AdmissionRequest {
	readonly service: string;
	/** Tokens of the prompt. */
	readonly tokens: number;
	readonly bodyBytes: number;
}

export interface AdmissionListener {
	onAdmitted(): void;
	/** Called when the request is refused; it was sent nowhere. */
	onRefused(reason: RefusalReason, returnDelayMs: number | undefined): void;
}

export interface AdmissionControlParts {
	readonly targets: TargetTable;
	readonly log: EventLog;
	readonly countDecision: (event: string) => void;
	readonly findService: (service: string) => ServiceDefinition | undefined;
	readonly listPeers: () => readonly PeerState[];
	/** Returns the number of instances of the fleet, including those that were lost lately. */
	readonly countInstances: () => number;
	/** Number of other instances that the settings name. */
	readonly seeds: number;
}

interface Service {
	readonly admission: ServiceAdmission<AdmissionTicket>;
	tokensPerRequest: number;
	wasShort: boolean;
}

type TicketState = 'new' | 'waiting' | 'sent' | 'ended';

export class AdmissionControl implements Disposable {
	private readonly services = new Map<string, Service>();
	private readonly startedAtMs = performance.now();
	private readonly fleets = new Map<string, FleetView>();
	private timer: NodeJS.Timeout | undefined;
	private waitingBytes = 0;

	constructor(private readonly parts: AdmissionControlParts) {}

	/** Requests that wait at this instance. */
	public get waiting(): number {
		let waiting = 0;
		for (const { admission } of this.services.values()) {
			waiting += admission.waiting;
		}
		return waiting;
	}

	/** Makes the ticket of one request, which decides when its `start` is called. */
	public open(input: AdmissionInput, listener: AdmissionListener): AdmissionTicket {
		return new AdmissionTicket(this, input, listener);
	}

	/** Called periodically: takes over what the peers report. */
	public tick(nowMs: number): void {
		const peers = this.parts.listPeers();
		this.fleets.clear();
		for (const [name, service] of this.services) {
			service.admission.setReports(listReports(peers, name));
			this.logChange(name, service, nowMs);
			this.serve(name);
		}
	}

	/** Describes the use of all services whose capacity is short; undefined if there is none. */
	public describeUse(nowMs: number): Readonly<Record<string, CapacityReport>> | undefined {
		const reports: Record<string, CapacityReport> = {};
		for (const [name, { admission }] of this.services) {
			const report = admission.describeUse(nowMs, MAX_REPORTED_CUSTOMERS);
			if (report !== undefined) {
				reports[name] = report;
			}
		}
		return Object.keys(reports).length === 0 ? undefined : reports;
	}

	/** Refuses all waiting requests, since the instance ends. */
	public refuseAll(): void {
		for (const { admission } of this.services.values()) {
			for (const ticket of admission.takeAll()) {
				ticket.refuse('draining', undefined);
			}
		}
	}

	public dispose(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		for (const { admission } of this.services.values()) {
			admission.takeAll();
		}
	}

	/** Decides on a request that arrives. */
	public offer(ticket: AdmissionTicket): void {
		const { input } = ticket;
		const service = this.getService(input.service);
		service.tokensPerRequest = computeMeanTokens(service.tokensPerRequest, input.tokens);
		const decision = service.admission.offer(ticket, input, performance.now());
		switch (decision.kind) {
			case 'send':
				ticket.admit();
				return;
			case 'wait':
				this.parts.countDecision('admissionWaited');
				ticket.wait();
				this.waitingBytes += input.bodyBytes;
				this.serve(input.service);
				this.schedule();
				return;
			case 'refuse':
				ticket.refuse(decision.reason, decision.returnDelayMs);
				return;
		}
	}

	/**
	 * Returns what would be decided on a request now, without a change of any state.
	 * @param targets copy of the targets of the service, since estimates of their load are kept for some time
	 */
	public explain(
		input: AdmissionInput,
		targets: TargetTable,
		random: () => number,
		nowMs: number,
	): AdmissionExplanation {
		const { service: name } = input;
		const service = this.services.get(name) ?? this.makeService(name);
		const tokensPerRequest = computeMeanTokens(service.tokensPerRequest, input.tokens);
		const ticket = new AdmissionTicket(this, input, {
			onAdmitted: () => undefined,
			onRefused: () => undefined,
		});
		const options = {
			readLoad: () => this.estimateLoad(name, nowMs, targets, tokensPerRequest),
			readFleet: () => this.fleets.get(name) ?? this.buildFleet(name),
			random,
		};
		return service.admission.explain(ticket, input, options, nowMs);
	}

	/** Called when a request waits no longer, for whatever reason. */
	public recordWaited({ input }: AdmissionTicket): void {
		this.waitingBytes -= input.bodyBytes;
	}

	public countRefusal(): void {
		this.parts.countDecision('admissionRefused');
	}

	/** Removes a waiting request, whose caller has left. */
	public remove(ticket: AdmissionTicket): void {
		this.getService(ticket.input.service).admission.remove(ticket);
	}

	/** Records that a request ended that was sent; another may be sent in its place. */
	public recordEnd({ input }: AdmissionTicket): void {
		this.getService(input.service).admission.recordEnd(input.customer);
		this.serve(input.service);
	}

	public recordServed({ input }: AdmissionTicket, residenceMs: number, queueAtSend: number): void {
		this.getService(input.service).admission.times.recordEnd(input.route, residenceMs, queueAtSend);
	}

	/** Sends the waiting requests for which there is room, and refuses those that waited for as long as they may. */
	private serve(name: string): void {
		const { admission } = this.getService(name);
		const nowMs = performance.now();
		for (
			let ready = admission.takeReady(nowMs);
			ready !== undefined;
			ready = admission.takeReady(performance.now())
		) {
			ready.admit();
		}
		for (const { item, returnDelayMs } of admission.takeExpired(nowMs)) {
			item.refuse('capacityShort', returnDelayMs);
		}
	}

	private schedule(): void {
		if (this.timer !== undefined || this.waiting === 0) {
			return;
		}
		this.timer = setTimeout(() => {
			this.timer = undefined;
			for (const name of this.services.keys()) {
				this.serve(name);
			}
			this.schedule();
		}, CHECK_INTERVAL_MS);
	}

	private getService(name: string): Service {
		let service = this.services.get(name);
		if (service === undefined) {
			service = this.makeService(name);
			this.services.set(name, service);
		}
		return service;
	}

	private makeService(name: string): Service {
		const admission = new ServiceAdmission<AdmissionTicket>({
			random: Math.random,
			readLoad: () => this.estimateLoad(name, performance.now()),
			readFleet: () => this.readFleet(name),
			canWait: ({ input }) =>
				this.waiting < MAX_WAITING && this.waitingBytes + input.bodyBytes <= MAX_WAITING_BYTES,
		});
		return { admission, tokensPerRequest: 0, wasShort: false };
	}

	private estimateLoad(
		name: string,
		nowMs: number,
		targets = this.parts.targets,
		tokensPerRequest = this.getService(name).tokensPerRequest,
	): ServiceCapacity {
		const capacityTokens = this.parts.findService(name)?.kvCacheTokens;
		return estimateServiceCapacity(
			targets.listReachable(name, nowMs),
			capacityTokens === undefined ? undefined : { capacityTokens, tokensPerRequest },
			nowMs,
		);
	}

	private readFleet(name: string): FleetView {
		let fleet = this.fleets.get(name);
		if (fleet === undefined) {
			fleet = this.buildFleet(name);
			this.fleets.set(name, fleet);
		}
		return fleet;
	}

	private buildFleet(name: string): FleetView {
		const peers = this.parts.listPeers();
		const known = peers.length === 0 ? this.parts.countInstances() : peers.length + 1;
		const startMs = peers.length === 0 ? ISOLATED_START_MS : START_MS;
		const isNew = performance.now() - this.startedAtMs < startMs;
		return {
			instances: isNew ? Math.max(known, this.parts.seeds + 1) : known,
			heard: peers.length,
			demands: listReports(peers, name).map(([demand]) => demand),
		};
	}

	private logChange(name: string, service: Service, nowMs: number): void {
		const isShort = service.admission.isShortLately(nowMs);
		if (isShort === service.wasShort) {
			return;
		}
		service.wasShort = isShort;
		const { concurrency, otherRequests } = this.estimateLoad(name, nowMs);
		const { instances, heard } = this.readFleet(name);
		this.parts.log.write('state', isShort ? 'capacityShort' : 'capacityRegained', {
			service: name,
			ownRequests: service.admission.requests,
			otherRequests,
			concurrency,
			waiting: service.admission.waiting,
			instances,
			heard,
		});
	}
}

/** The admission of one request, from its arrival to its end. */
export class AdmissionTicket {
	private state: TicketState = 'new';
	private sentAtMs = 0;
	private queueAtSend = 0;

	constructor(
		private readonly control: AdmissionControl,
		public readonly input: AdmissionInput,
		private readonly listener: AdmissionListener,
	) {}

	public start(): void {
		this.control.offer(this);
	}

	/** Called before the request is sent to a target. */
	public recordSend({ load, record }: TargetState): void {
		this.sentAtMs = performance.now();
		this.queueAtSend = Math.max(0, load + 1 - record.slots) / record.slots;
	}

	/** Called when a target has answered the request. */
	public recordServed(): void {
		this.control.recordServed(this, performance.now() - this.sentAtMs, this.queueAtSend);
	}

	/** Called when the request has ended, or its caller has left. */
	public end(): void {
		const { state } = this;
		this.state = 'ended';
		switch (state) {
			case 'waiting':
				this.control.recordWaited(this);
				this.control.remove(this);
				return;
			case 'sent':
				this.control.recordEnd(this);
				return;
			case 'new':
			case 'ended':
				return;
		}
	}

	/** Called by the control when the request waits. */
	public wait(): void {
		this.state = 'waiting';
	}

	/** Called by the control when the request may be sent. */
	public admit(): void {
		this.finishWait();
		this.state = 'sent';
		this.listener.onAdmitted();
	}

	/** Called by the control when the request is refused. */
	public refuse(reason: RefusalReason, returnDelayMs: number | undefined): void {
		this.finishWait();
		this.state = 'ended';
		this.control.countRefusal();
		this.listener.onRefused(reason, returnDelayMs);
	}

	private finishWait(): void {
		if (this.state === 'waiting') {
			this.control.recordWaited(this);
		}
	}
}

/** Returns the moving average of the tokens that a request needs, with one more request. */
function computeMeanTokens(average: number, tokens: number): number {
	return average + TOKENS_WEIGHT * (tokens - average);
}

function listReports(peers: readonly PeerState[], service: string): readonly CapacityReport[] {
	return peers.map(({ capacityUse }) => capacityUse?.[service]).filter((report) => report !== undefined);
}
