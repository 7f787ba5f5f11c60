/** Duties of an owner: polls the load of the targets that this router owns, reports it and grants reservations. */
import type { Disposable, LoadReport, OwnLoad, PeerResponse, TargetInstance } from '@papayawell/core';
import { EngineOwner } from '@papayawell/core';
import { Agent, request } from 'undici';
import { parseLoad } from '../common/loadParser.js';

const RESERVATION_TTL_MS = 500;
/** Number of poll intervals without an answer after which a load report is stale. */
const STALE_AFTER_POLLS = 10;
const POLL_TIMEOUT_MS = 1000;

export interface OwnerServiceOptions {
	/** This router's instance. */
	readonly self: string;
	readonly reportIntervalMs: number;
	/** Returns this router's own load on a target, which it counts exactly. */
	readonly readOwnLoad: (instance: string) => OwnLoad;
	readonly listOwned: () => readonly TargetInstance[];
	readonly computeLimit: (instance: string) => number;
	/** Called with each new load report, for local use and for publication to the other routers. */
	readonly onReport: (report: LoadReport) => void;
	/** Called after each poll of a target. */
	readonly onPoll: (target: TargetInstance, isAnswered: boolean) => void;
}

/** Owns the polling timer, its connections and the reservations. */
export class OwnerService implements Disposable {
	private readonly reservations: EngineOwner;
	private readonly agent = new Agent({ connections: 1, connect: { timeout: POLL_TIMEOUT_MS } });
	private readonly polling = new Set<string>();
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: OwnerServiceOptions) {
		this.reservations = new EngineOwner({
			computeLimit: options.computeLimit,
			self: options.self,
			readOwnLoad: options.readOwnLoad,
			reservationMs: RESERVATION_TTL_MS,
			staleAfterMs: STALE_AFTER_POLLS * options.reportIntervalMs,
		});
	}

	public start(): void {
		this.timer = setInterval(() => {
			this.pollAll();
		}, this.options.reportIntervalMs);
		this.pollAll();
	}

	public reserve(router: string, instance: string, count: number): PeerResponse {
		const answer = this.reservations.reserve(router, instance, count, Date.now());
		switch (answer.kind) {
			case 'granted':
				return { kind: 'reserved', granted: answer.count, expiresInMs: answer.expiresInMs };
			case 'denied':
				return { kind: 'reserved', granted: 0, expiresInMs: 0 };
			case 'notOwner':
				return answer;
		}
	}

	public release(router: string, instance: string, count: number): PeerResponse {
		this.reservations.release(router, instance, count);
		return { kind: 'released' };
	}

	public dispose(): void {
		clearInterval(this.timer);
		void this.agent.destroy();
	}

	private pollAll(): void {
		const owned = this.options.listOwned();
		this.reservations.setOwned(owned.map((target) => target.instance));
		for (const target of owned) {
			if (!this.polling.has(target.instance)) {
				void this.poll(target);
			}
		}
	}

	private async poll(target: TargetInstance): Promise<void> {
		this.polling.add(target.instance);
		const polledAtMs = Date.now();
		const requests = await this.fetchLoad(target.origin);
		this.polling.delete(target.instance);
		this.options.onPoll(target, requests !== undefined);
		if (requests === undefined) {
			return;
		}
		// The report is dated at the start of the poll, since it may lack requests that were sent later.
		const report = { instance: target.instance, requests, versionMs: polledAtMs };
		this.reservations.noteReport(report);
		this.options.onReport(report);
	}

	private async fetchLoad(origin: string): Promise<number | undefined> {
		try {
			const signal = AbortSignal.timeout(POLL_TIMEOUT_MS);
			const answer = await request(`${origin}/metrics`, { dispatcher: this.agent, signal });
			const text = await answer.body.text();
			return answer.statusCode === 200 ? parseLoad(text) : undefined;
		} catch {
			return undefined;
		}
	}
}
