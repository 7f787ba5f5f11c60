/**
 * Model of a fleet that shares one service without a network: the real admission at each instance, gossip of the real
 * interval and fan-out, and callers that return once after a refusal. Placement is taken to be even.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import type { CapacityReport } from '../../src/common/capacityReport.js';
import type { AdmissionRequest } from '../../src/common/serviceAdmission.js';
import { ServiceAdmission } from '../../src/common/serviceAdmission.js';

/** Requests of one customer and priority. */
export interface Stream {
	readonly customer: string;
	readonly priority: number;
	readonly requestsPerSecond: number;
	readonly surge?: { readonly factor: number; readonly fromMs: number; readonly untilMs: number };
}

export interface CapacityOptions {
	readonly instances: number;
	readonly slots: number;
	readonly serviceMs: number;
	readonly streams: readonly Stream[];
	readonly durationMs: number;
	/** Share of the gossip messages that is lost. */
	readonly lossShare?: number;
	/** Time at which half of the instances restart without any memory; callers that wait there are lost. */
	readonly restartAtMs?: number;
	/** Instances that hear nobody. */
	readonly isolated?: number;
	readonly objectiveMs?: number;
	readonly deadlineMs?: number;
}

export interface Tally {
	offered: number;
	served: number;
	refusals: number;
	waited: number;
}

interface Call {
	readonly stream: Stream;
	readonly instance: Instance;
	readonly deadlineAtMs: number;
	readonly isReturned: boolean;
	/** Queue of the target when the request was sent. */
	queue: number;
	sentAtMs: number;
}

interface Instance {
	readonly admission: ServiceAdmission<Call>;
	readonly heard: Map<number, { readonly requests: number; readonly report: CapacityReport | undefined }>;
	own: number;
	next: number;
}

export const WINDOW_MS = 500;
/** Time at the end of a run in which no more requests arrive, so that all end. */
const FINISH_MS = 4000;

export class CapacityFleet {
	public readonly tallies = new Map<Stream, Tally>();
	/** Refusals in each window. */
	public readonly refusalsByWindow: number[] = [];
	/** Mean share of the slots that is taken in each window. */
	public readonly occupancy: number[] = [];
	/** Requests that isolated instances had on the targets at once. */
	public highestIsolated = 0;
	private readonly instances: Instance[];
	private readonly agenda = new Map<number, (() => void)[]>();
	private readonly targetQueue: Call[] = [];
	private readonly random: () => number;
	private running = 0;
	private nowMs = 0;

	constructor(private readonly options: CapacityOptions) {
		const generator = xoroshiro128plus(options.instances);
		this.random = () => uniformFloat64(generator);
		this.instances = Array.from({ length: options.instances }, () => this.makeInstance());
		for (const stream of options.streams) {
			this.tallies.set(stream, { offered: 0, served: 0, refusals: 0, waited: 0 });
		}
		for (const index of this.instances.keys()) {
			this.schedule(this.random() * GOSSIP_INTERVAL_MS, () => {
				this.sendGossip(index);
			});
		}
	}

	public run(): this {
		for (; this.nowMs < this.options.durationMs; this.nowMs += 1) {
			for (const work of this.agenda.get(this.nowMs) ?? []) {
				work();
			}
			this.agenda.delete(this.nowMs);
			if (this.nowMs === this.options.restartAtMs) {
				this.restartHalf();
			}
			if (this.nowMs < this.options.durationMs - FINISH_MS) {
				for (const stream of this.options.streams) {
					this.offerArrivals(stream);
				}
				const window = Math.floor(this.nowMs / WINDOW_MS);
				this.occupancy[window] =
					(this.occupancy[window] ?? 0) + this.running / this.options.slots / WINDOW_MS;
			}
			if (this.nowMs % 20 === 0) {
				for (const instance of this.instances) {
					this.serveWaiting(instance);
				}
			}
		}
		return this;
	}

	public sum(isCounted: (stream: Stream) => boolean): Tally & { readonly servedShare: number } {
		const total: Tally = { offered: 0, served: 0, refusals: 0, waited: 0 };
		for (const [stream, tally] of this.tallies) {
			if (isCounted(stream)) {
				total.offered += tally.offered;
				total.served += tally.served;
				total.refusals += tally.refusals;
				total.waited += tally.waited;
			}
		}
		return { ...total, servedShare: total.served / total.offered };
	}

	private makeInstance(): Instance {
		const { instances, slots } = this.options;
		const heard: Instance['heard'] = new Map();
		const countOthers = (): number => [...heard.values()].reduce((sum, { requests }) => sum + requests, 0);
		const instance: Instance = {
			heard,
			own: 0,
			next: 0,
			admission: new ServiceAdmission<Call>({
				random: this.random,
				canWait: () => true,
				readFleet: () => ({
					instances,
					heard: heard.size,
					demands: [...heard.values()].flatMap(({ report }) => (report === undefined ? [] : [report[0]])),
				}),
				readLoad: () => {
					const otherRequests = countOthers();
					const leastQueue = Math.max(0, instance.own + otherRequests + 1 - slots) / slots;
					return { concurrency: slots, otherRequests, isStated: false, leastQueue };
				},
			}),
		};
		return instance;
	}

	private restartHalf(): void {
		for (let index = 0; index < this.instances.length / 2; index++) {
			this.instances[index] = this.makeInstance();
			this.schedule(GOSSIP_INTERVAL_MS * this.random(), () => {
				this.sendGossip(index);
			});
		}
	}

	private offerArrivals(stream: Stream): void {
		const { requestsPerSecond, surge } = stream;
		const isSurge = surge !== undefined && this.nowMs >= surge.fromMs && this.nowMs < surge.untilMs;
		let expected = (requestsPerSecond / 1000) * (isSurge ? surge.factor : 1);
		for (; expected > 0; expected -= 1) {
			if (this.random() < expected) {
				this.getTally(stream).offered += 1;
				this.receive(stream, this.nowMs + (this.options.deadlineMs ?? 4000), false);
			}
		}
	}

	private receive(stream: Stream, deadlineAtMs: number, isReturned: boolean): void {
		const instance = this.instances[Math.floor(this.random() * this.instances.length)];
		if (instance === undefined) {
			return;
		}
		const call: Call = { stream, instance, deadlineAtMs, isReturned, queue: 0, sentAtMs: 0 };
		const request: AdmissionRequest = {
			route: String(stream.priority),
			customer: stream.customer,
			priority: stream.priority,
			objectiveMs: this.options.objectiveMs ?? 500,
			remainingMs: deadlineAtMs - this.nowMs,
		};
		const decision = instance.admission.offer(call, request, this.nowMs);
		switch (decision.kind) {
			case 'send':
				this.send(call);
				return;
			case 'wait':
				this.getTally(stream).waited += 1;
				this.serveWaiting(instance);
				return;
			case 'refuse':
				this.refuse(call, decision.returnDelayMs);
				return;
		}
	}

	private serveWaiting({ admission }: Instance): void {
		for (let call = admission.takeReady(this.nowMs); call !== undefined;) {
			this.send(call);
			call = admission.takeReady(this.nowMs);
		}
		for (const { item, returnDelayMs } of admission.takeExpired(this.nowMs)) {
			this.refuse(item, returnDelayMs);
		}
	}

	private refuse({ stream, deadlineAtMs, isReturned }: Call, returnDelayMs: number): void {
		this.getTally(stream).refusals += 1;
		const window = Math.floor(this.nowMs / WINDOW_MS);
		this.refusalsByWindow[window] = (this.refusalsByWindow[window] ?? 0) + 1;
		if (!isReturned) {
			this.schedule(Math.min(returnDelayMs, (deadlineAtMs - this.nowMs) / 3), () => {
				this.receive(stream, deadlineAtMs, true);
			});
		}
	}

	private send(call: Call): void {
		const { slots } = this.options;
		call.instance.own += 1;
		call.sentAtMs = this.nowMs;
		call.queue = Math.max(0, this.running + this.targetQueue.length + 1 - slots) / slots;
		this.targetQueue.push(call);
		this.startQueued();
	}

	private startQueued(): void {
		while (this.running < this.options.slots) {
			const call = this.targetQueue.shift();
			if (call === undefined) {
				return;
			}
			this.running += 1;
			this.schedule(this.options.serviceMs * (0.5 + this.random()), () => {
				this.end(call);
			});
		}
	}

	private end(call: Call): void {
		const { stream, instance, deadlineAtMs, sentAtMs, queue } = call;
		this.running -= 1;
		instance.own -= 1;
		instance.admission.recordEnd(stream.customer);
		instance.admission.times.recordEnd(String(stream.priority), this.nowMs - sentAtMs, queue);
		this.getTally(stream).served += this.nowMs <= deadlineAtMs ? 1 : 0;
		this.startQueued();
		this.serveWaiting(instance);
	}

	private sendGossip(index: number, sender = this.instances[index]): void {
		const instance = this.instances[index];
		if (instance === undefined || instance !== sender) {
			return;
		}
		const { isolated = 0, lossShare = 0, instances } = this.options;
		const recipients = Math.min(instances - 1, GOSSIP_FAN_OUT);
		for (let step = 0; step < recipients; step++) {
			const to = (index + 1 + ((instance.next + step) % (instances - 1))) % instances;
			if (index >= isolated && to >= isolated && this.random() >= lossShare) {
				const report = instance.admission.describeUse(this.nowMs, 100);
				this.instances[to]?.heard.set(index, { requests: instance.own, report });
			}
		}
		instance.next = (instance.next + recipients) % Math.max(1, instances - 1);
		const reports = [...instance.heard.values()].map(({ report }) => report);
		instance.admission.setReports(reports.filter((report) => report !== undefined));
		this.highestIsolated = Math.max(this.highestIsolated, index < isolated ? instance.own : 0);
		this.schedule(GOSSIP_INTERVAL_MS, () => {
			this.sendGossip(index, instance);
		});
	}

	private getTally(stream: Stream): Tally {
		const tally = this.tallies.get(stream);
		if (tally === undefined) {
			throw new RangeError('The model has no such stream.');
		}
		return tally;
	}

	private schedule(delayMs: number, work: () => void): void {
		const atMs = Math.floor(this.nowMs + Math.max(1, delayMs));
		const works = this.agenda.get(atMs) ?? [];
		works.push(work);
		this.agenda.set(atMs, works);
	}
}
