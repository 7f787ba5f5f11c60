/** The peer network over gRPC: connects membership, gossip, configuration sync and calls. */
import type {
	Disposable,
	Fact,
	ListedRouter,
	PeerResponse,
	PeerError,
	PeerNetwork,
	PeerRequest,
	Result,
	RouterInstance,
	RouterView,
} from '@papayawell/core';
import { DisposableStore, Emitter, Err, toDisposable } from '@papayawell/core';
import type { MemberRecord } from '../common/memberRecord.js';
import type { ReportIntervals } from '../common/reportIntervals.js';
import { computeReportIntervals } from '../common/reportIntervals.js';
import { PeriodicTimer } from '../common/periodicTimer.js';
import { RandomChoice } from '../common/randomChoice.js';
import type { TrafficTotals } from '../common/trafficKind.js';
import { TrafficKind } from '../common/trafficKind.js';
import type { Frame } from './frameCodec.js';
import type { FrameStream } from './frameStream.js';
import { MembershipDriver } from './membershipDriver.js';
import type { NetworkParts, PeerNetworkSettings, PeerTransport } from './networkParts.js';
import { createNetworkParts } from './networkParts.js';
import type { PeerLink } from './peerLink.js';
import type { SocketBytes } from './socketMeter.js';
import { PeriodicTasks } from './periodicTasks.js';
import { decodeProbe } from './wireCalls.js';

const TICK_INTERVAL_MS = 250;
/** A pruned origin without a new report for this many report intervals is grafted again on all report streams. */
const STALE_ORIGIN_PERIODS = 6;
/** Time for the last frames to be delivered before the connections are closed. */
const CLOSE_GRACE_MS = 300;

export class GrpcPeerNetwork implements PeerNetwork {
	private readonly store = new DisposableStore();
	private readonly viewEmitter = this.store.add(new Emitter<RouterView>());
	private readonly factEmitter = this.store.add(new Emitter<Fact>());
	private readonly parts: NetworkParts;
	private readonly membershipDriver: MembershipDriver;
	private readonly periodicTasks: PeriodicTasks;
	private readonly reportTimer: PeriodicTimer;
	private intervals: ReportIntervals;
	/** Whether this router has no stream to any peer. */
	private isIsolated = true;
	private isDisposed = false;

	public readonly onDidChangeView = this.viewEmitter.event;
	public readonly onDidReceiveFact = this.factEmitter.event;

	constructor(
		private readonly settings: PeerNetworkSettings,
		private readonly transport: PeerTransport,
	) {
		const nowMs = performance.now();
		this.reportTimer = new PeriodicTimer(0, nowMs);
		const { bytesPerSecond } = settings;
		this.intervals = computeReportIntervals({ routers: 1, engines: 0, links: 0, bytesPerSecond });
		this.parts = this.createParts();
		this.membershipDriver = new MembershipDriver(this.parts, (view) => {
			this.viewEmitter.fire(view);
		});
		this.periodicTasks = new PeriodicTasks(this.parts, new RandomChoice(settings.seed), nowMs);
		this.store.add(this.parts.scheduler);
		this.store.add(this.startTicking());
	}

	/** This router's own entry, as it is advertised to peers. */
	public get self(): RouterInstance {
		return this.settings.self;
	}

	/** Handles a stream that another router opened. */
	public accept(stream: FrameStream): void {
		this.parts.links.accept(stream);
	}

	/** Sets the routers that the instance list currently holds. */
	public setSeeds(routers: readonly ListedRouter[]): void {
		this.parts.membership.setListedRouters(routers);
	}

	public readView(): RouterView {
		return this.parts.membership.readView();
	}

	/** Returns the bytes on the wire since the start by kind of traffic, including packet headers. */
	public readTraffic(): TrafficTotals {
		this.parts.traffic.reconcile(performance.now());
		return this.parts.traffic.read();
	}

	/** Returns the bytes counted at the sockets, without packet headers. */
	public readSocketBytes(): SocketBytes {
		return this.transport.meter.read();
	}

	public publish(fact: Fact): void {
		switch (fact.kind) {
			case 'configuration':
				this.parts.configuration.publish(fact.version, fact.document);
				return;
			case 'leaving':
			case 'quarantine':
			case 'suspicion':
				this.parts.gossip.publishWarning(fact);
				return;
			case 'load':
			case 'use':
				this.parts.gossip.publishEntry(fact);
				return;
		}
	}

	public async call(
		instance: string,
		request: PeerRequest,
		timeoutMs: number,
	): Promise<Result<PeerResponse, PeerError>> {
		const refusal = this.checkCall(request);
		if (refusal !== undefined) {
			return Err(refusal);
		}
		if (instance === this.settings.self.instance) {
			return this.parts.calls.callSelf(request);
		}
		const router = this.parts.membership.readRecord(instance)?.router;
		if (router === undefined) {
			return Err({ kind: 'unreachable', message: `${instance} is not a known member.` });
		}
		return this.parts.calls.call(router, request, timeoutMs);
	}

	public serve(handler: (from: string, request: PeerRequest) => PeerResponse | Promise<PeerResponse>): void {
		this.parts.calls.setHandler(handler);
	}

	public announceDraining(): void {
		this.parts.membership.announceDraining();
		this.membershipDriver.runActions(undefined);
	}

	/** Announces that this router leaves, then ends all streams. */
	public dispose(): void {
		if (this.isDisposed) {
			return;
		}
		this.parts.membership.announceLeft();
		this.membershipDriver.runActions(undefined);
		for (const link of [...this.parts.links.list()]) {
			this.parts.scheduler.flush(link, false, false);
			this.parts.links.close(link);
		}
		this.disposeParts();
		setTimeout(() => {
			this.transport.meter.closeAll();
		}, CLOSE_GRACE_MS);
	}

	/** Closes all connections without announcing it, as a crash does. */
	public stop(): void {
		this.disposeParts();
		this.transport.meter.closeAll();
	}

	private disposeParts(): void {
		this.isDisposed = true;
		this.parts.calls.failAll();
		this.store.dispose();
		this.transport.dispose();
	}

	private checkCall(request: PeerRequest): PeerError | undefined {
		if (this.isDisposed) {
			return { kind: 'unreachable', message: 'This router is shutting down.' };
		}
		const kind =
			request.kind === 'reserve' || request.kind === 'release'
				? TrafficKind.Reservation
				: TrafficKind.Configuration;
		const isAllowed = this.parts.traffic.isAllowed(kind, performance.now());
		return isAllowed ? undefined : { kind: 'budget', message: 'The control traffic budget is exhausted.' };
	}

	private createParts(): NetworkParts {
		return createNetworkParts(this.settings, this.transport, {
			readIntervals: () => this.intervals,
			onDidOpen: (link, record) => {
				this.openLink(link, record);
			},
			onDidClose: (link) => {
				this.closeLink(link);
			},
			onDidReceive: (link, frame, bytes) => {
				this.receive(link, frame, bytes);
			},
			onDidReceiveFact: (fact) => {
				this.factEmitter.fire(fact);
			},
		});
	}

	private startTicking(): Disposable {
		const timer = setInterval(() => {
			this.tick();
		}, TICK_INTERVAL_MS);
		timer.unref();
		return toDisposable(() => {
			clearInterval(timer);
		});
	}

	private tick(): void {
		const nowMs = performance.now();
		this.parts.membership.tick(nowMs);
		this.membershipDriver.runActions(undefined);
		this.parts.linkManager.tick(nowMs);
		this.parts.configuration.tick(nowMs);
		this.updateIntervals();
		if (this.reportTimer.tick(nowMs, this.intervals.reportIntervalMs)) {
			this.parts.gossip.publishOwnReport();
			this.requestStaleOrigins();
		}
		this.parts.scheduler.tick(this.parts.links.list());
		this.periodicTasks.tick(nowMs);
	}

	private updateIntervals(): void {
		this.intervals = computeReportIntervals({
			routers: this.parts.membership.countPresent(),
			engines: this.parts.gossip.countLoads(),
			links: this.parts.linkManager.listReportLinks().length,
			bytesPerSecond: this.settings.bytesPerSecond,
		});
	}

	private requestStaleOrigins(): void {
		for (const link of this.parts.linkManager.listReportLinks()) {
			this.parts.gossip.requestStaleOrigins(link, STALE_ORIGIN_PERIODS * this.intervals.reportIntervalMs);
		}
	}

	private openLink(link: PeerLink, record: MemberRecord): void {
		this.parts.membership.receiveRecord(record, performance.now());
		this.membershipDriver.runActions(undefined);
		this.parts.configuration.announceTo(link);
		if (link.stream.isOutbound || this.isIsolated) {
			this.parts.gossip.sendDigest(link);
		}
		if (this.isIsolated) {
			this.isIsolated = false;
			this.parts.gossip.requestAllReports(link);
		}
	}

	private closeLink(link: PeerLink): void {
		this.parts.scheduler.remove(link);
		this.parts.calls.failPeer(link.instance);
		this.parts.gossip.removeLink(link);
		this.parts.configuration.removeLink(link);
		this.parts.membership.markDisconnected(link.instance, performance.now());
		this.isIsolated = this.parts.links.list().next().done === true;
		this.requestStaleOrigins();
	}

	private receive(link: PeerLink, frame: Frame, bytes: Uint8Array): void {
		if (this.isDisposed) {
			return;
		}
		const nowMs = performance.now();
		this.parts.traffic.recordFrame('received', bytes, nowMs);
		this.parts.membership.markReceived(link.instance, nowMs);
		if (!link.inboundNames.add(frame.names)) {
			this.settings.logger?.(
				'warn',
				`closed stream to ${link.instance}: its names exceed the limits of the name table`,
			);
			this.parts.links.close(link);
			return;
		}
		this.parts.gossip.receive(link, frame);
		for (const wire of frame.probes) {
			const probe = decodeProbe(wire);
			if (probe !== undefined) {
				this.parts.membership.receiveProbe(link.instance, probe, nowMs);
			}
		}
		this.membershipDriver.runActions(link);
		this.parts.configuration.receive(link, frame);
		this.parts.calls.receive(link, frame);
	}
}
