/** Composition root: the only module that wires the components of a gateway process. */
import { getHeapStatistics } from 'node:v8';
import type { Disposable } from '@papayawell/core';
import { DisposableStore, toDisposable } from '@papayawell/core';
import { ActiveConfiguration } from '../common/activeConfiguration.js';
import type { ColdTargetBounds } from '../common/coldTargetShare.js';
import type { EngineCodec } from '../common/engineCodec.js';
import type { EventLog } from '../common/eventLog.js';
import type { HeaderCodec } from '../common/gatewayRequest.js';
import type { ServiceDefinition } from '../common/gatewayConfiguration.js';
import type { DirectoryCaller, RegionLookup } from '../common/homeRegions.js';
import { buildRegionLookup } from '../common/homeRegions.js';
import { computeBudgetBytes, MemoryBudget } from '../common/memoryBudget.js';
import type { MetadataStore } from '../common/metadataStore.js';
import type { FleetInstance, PeerState } from '../common/peerState.js';
import type { PeerMessage } from '../common/peerMessage.js';
import { decodePeerMessage, encodePeerMessage } from '../common/peerMessage.js';
import { PlacementAnnouncer } from '../common/placementAnnouncer.js';
import { PeerRoutes } from '../common/peerRoutes.js';
import type { ExplainResult, RequestQuestion } from '../common/requestExplanation.js';
import { InstanceRoster } from '../common/instanceRoster.js';
import { RetryBudgets } from '../common/retryBudgets.js';
import type { RetryBudgetSettings } from '../common/retryBudget.js';
import { MAX_RETRY_DELAY_MS } from '../common/retryBudget.js';
import { PEER_ANSWER_MS, StartupCatchUp } from '../common/startupCatchUp.js';
import { VersionHistory } from '../common/versionHistory.js';
import { SuspensionDetector } from '../common/suspensionDetector.js';
import type { TargetState } from '../common/targetState.js';
import { TargetTable } from '../common/targetTable.js';
import type { TargetListChange } from '../common/targetView.js';
import { TargetView } from '../common/targetView.js';
import { copyState } from '../common/copyState.js';
import { AdmissionControl } from './admissionControl.js';
import { BlockedPromptsSync } from './blockedPromptsSync.js';
import { BrittlenessSync } from './brittlenessSync.js';
import { CallerServer } from './callerServer.js';
import { ColdTargetSync } from './coldTargetSync.js';
import { ConfigurationSync } from './configurationSync.js';
import { CrashTracker } from './crashTracker.js';
import { EvacuationSync } from './evacuationSync.js';
import { FleetMembership } from './fleetMembership.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { LoadReportSync } from './loadReportSync.js';
import { PeerExchange } from './peerExchange.js';
import { PromptCacheSync } from './promptCacheSync.js';
import { RequestLimitSync } from './requestLimitSync.js';
import { RequestExplainer } from './requestExplainer.js';
import { Shutdown } from './shutdown.js';
import { StreamOriginSync } from './streamOriginSync.js';
import { TargetClient } from './targetClient.js';
import { TargetPathMonitor } from './targetPathMonitor.js';
import type { TargetChangeSource } from './targetListSync.js';
import { TargetListSync } from './targetListSync.js';

/** Interval of the periodic work of all components. */
const TICK_INTERVAL_MS = 100;
/** Share of a target's connections that the fleet may use; the older system has connections to it as well. */
const MAX_CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 4;
/** Share of the sockets that callers may take. The others reach targets, which the limits above bound, peers and the store. */
const CALLER_CONNECTION_SHARE = 2 / 3;

export interface GatewaySettings {
	readonly self: FleetInstance;
	/** Control addresses of other instances that are contacted first. */
	readonly seeds: readonly string[];
	readonly retries: RetryBudgetSettings;
	/** Time between the signal to stop and the kill, in ms. */
	readonly graceMs: number;
	/** Whether the whole fleet starts for the first time, so that no peer knows more than the store. */
	readonly isFirstStart: boolean;
	/** Region of this instance; undefined in deployments without regions. */
	readonly region?: string | undefined;
	/** Regions of all zones. */
	readonly regionsByZone?: ReadonlyMap<string, string>;
	/** Whether the operator may evacuate zones; requests are then served only once the evacuated zones are known. */
	readonly hasEvacuations?: boolean;
	/** Bounds for cold targets; undefined if no target is treated as cold. */
	readonly coldTargets?: ColdTargetBounds | undefined;
	/**
	 * Whether to save bytes between availability zones, by relays of gossip and by the choice of targets, also where targets
	 * do not report how long work takes.
	 */
	readonly savesZoneTraffic?: boolean;
	/** Longest time for which callers cache a directory entry that names this instance, in ms. */
	readonly entryTtlMs: number;
	/** Whether capacity is shared out while a service has less of it than its callers ask for. */
	readonly sharesCapacity: boolean;
	/** Memory that the process may use, in bytes; undefined if what it holds for callers is not limited. */
	readonly memoryBytes?: number | undefined;
	/** Sockets that the process may open; undefined if the connections of callers are not limited. */
	readonly maxSockets?: number | undefined;
}

export interface GatewayDependencies {
	readonly settings: GatewaySettings;
	readonly store: MetadataStore;
	readonly codec: HeaderCodec;
	readonly engineCodec: EngineCodec;
	readonly log: EventLog;
	readonly readDroppedLogLines: () => number;
}

/** A running gateway process. */
export interface Gateway extends Disposable {
	readonly metrics: GatewayMetrics;
	/** Resolves when the process may exit. */
	readonly ended: Promise<void>;
	/** Whether callers may be directed to this instance. */
	isServing(): boolean;
	/**
	 * Lists the addresses of the instances that a caller may be directed to; none if its routes have home regions, and no
	 * instance is in one of these or in the caller's.
	 */
	listEntryAddresses(caller?: DirectoryCaller): readonly string[];
	/** Starts the graceful shutdown. */
	drain(): void;
	/** Explains where a request would go now. Nothing is sent, and no state changes. */
	explain(question: RequestQuestion): ExplainResult;
}

/** Starts a gateway. Rejects when an address can't be bound; nothing of the gateway remains then. */
export async function createGateway(dependencies: GatewayDependencies): Promise<Gateway> {
	const gateway = new GatewayProcess(dependencies);
	try {
		await gateway.start();
	} catch (error) {
		gateway.dispose();
		throw error;
	}
	return gateway;
}

class GatewayProcess implements Gateway {
	public readonly metrics: GatewayMetrics;
	public readonly ended: Promise<void>;
	private readonly disposables = new DisposableStore();
	private readonly activeConfiguration = new ActiveConfiguration();
	private readonly view = new TargetView();
	private readonly versionHistory: VersionHistory;
	private readonly findRegion: RegionLookup;
	private readonly targets: TargetTable;
	private readonly roster: InstanceRoster;
	private readonly retries: RetryBudgets;
	private silenceCheck: NodeJS.Immediate | undefined;
	private readonly suspension = new SuspensionDetector();
	private readonly crashTracker: CrashTracker;
	private readonly blockedPromptsSync: BlockedPromptsSync;
	private readonly requestLimitSync: RequestLimitSync;
	private readonly brittlenessSync: BrittlenessSync;
	private readonly evacuationSync: EvacuationSync;
	private readonly coldTargetSync: ColdTargetSync;
	private readonly loadReportSync: LoadReportSync;
	private readonly admission: AdmissionControl | undefined;
	private readonly memory: MemoryBudget | undefined;
	private readonly streamOriginSync: StreamOriginSync;
	private readonly pathMonitor: TargetPathMonitor;
	private readonly peerRoutes: PeerRoutes;
	private readonly client: TargetClient;
	private readonly server: CallerServer;
	private readonly membership: FleetMembership;
	private readonly shutdown: Shutdown;
	private readonly configurationSync: ConfigurationSync;
	private readonly targetListSync: TargetListSync;
	private readonly promptCacheSync: PromptCacheSync;
	private readonly peerExchange: PeerExchange;
	private readonly placementAnnouncer: PlacementAnnouncer;
	private readonly catchUp: StartupCatchUp;
	private wasServing = false;
	/** When the active configuration was adopted. */
	private configurationAdoptedAtMs = performance.now();
	private readonly directory: InstanceDirectory;
	private readonly explainer: RequestExplainer;

	constructor(private readonly dependencies: GatewayDependencies) {
		const { settings, store, codec, log } = dependencies;
		this.catchUp = new StartupCatchUp(performance.now(), settings.isFirstStart);
		this.versionHistory = new VersionHistory(settings.isFirstStart);
		this.findRegion = buildRegionLookup(
			settings.regionsByZone ?? new Map(),
			settings.self.zone,
			settings.region,
		);
		this.targets = new TargetTable(settings.self.zone, this.findRegion, settings.savesZoneTraffic);
		this.peerRoutes = new PeerRoutes(settings.self.zone);
		this.roster = new InstanceRoster({
			isFirstStart: settings.isFirstStart,
			shareWindowMs: settings.retries.windowMs + MAX_RETRY_DELAY_MS,
			seeds: settings.seeds.filter((address) => address !== settings.self.controlAddress).length,
		});
		this.retries = new RetryBudgets(settings.retries, this.roster, log);
		this.metrics = new GatewayMetrics(() => ({
			configurationVersion: this.activeConfiguration.version,
			targetsAgeMs: this.view.computeAge(performance.now()),
			peers: this.membership.peers.listAll().length,
			evacuatedZones: this.evacuationSync.zoneCount,
			coldTargets: this.coldTargetSync.coldTargets,
			peerStateAgeMs: this.membership.computeMeanStateAge(performance.now()),
			sentGossipBytes: this.membership.readSentBytes(),
			droppedLogLines: dependencies.readDroppedLogLines(),
			targetSends: [...this.targets.all].map(({ record, sentRequests }) => ({
				service: record.service,
				target: record.id,
				requests: sentRequests,
			})),
			waiting: this.admission?.waiting ?? 0,
			heldBytes: this.memory?.heldBytes ?? 0,
			heldBytesLimit: this.memory?.limitBytes ?? 0,
		}));
		this.client = new TargetClient({
			codec,
			getConnectionLimit: (service) => this.computeConnectionLimit(service),
			onConnectionOpened: () => {
				this.metrics.countDecision('connectionOpened');
			},
			onCrossedResponse: (target, attemptId) => {
				this.metrics.countDecision('crossedAnswer');
				log.write('decision', 'crossedAnswer', { id: attemptId, target });
			},
			mayProbe: (target) => !this.targets.isEvacuated(target),
			onUnframedEnd: (target, attemptId, evidence) => {
				log.write('routine', 'unframedEnd', { id: attemptId, target, evidence });
			},
			onTargetContact: () => {
				this.pathMonitor.recordContact();
			},
			onTargetLeaving: ({ record }) => {
				this.targetListSync.recordLeaving(record);
			},
			onLimitStated: (target, text) => {
				this.requestLimitSync.recordStatement(target, text, performance.now());
			},
			onBrittlenessStated: (target, text, isRejection, load) => {
				this.brittlenessSync.recordStatement(target, text, isRejection, load, performance.now());
			},
			onColdnessStated: (target, text) => {
				this.coldTargetSync.recordStatement(target, text, performance.now());
			},
			onLoadStated: (target, text, isCounted) => {
				this.loadReportSync.recordStatement(target, text, isCounted, performance.now());
			},
			onBackOffRequested: ({ record }, request) => {
				this.metrics.countDecision('targetBackOff');
				log.write('decision', 'targetBackOff', { target: record.id, ...request });
			},
		});
		this.pathMonitor = new TargetPathMonitor({
			targets: this.targets,
			log,
			probe: (target, holdMs) => this.client.probe(target, holdMs),
			onDidChange: () => {
				this.membership.announce(performance.now());
			},
		});
		this.requestLimitSync = new RequestLimitSync({
			targets: this.targets,
			log,
			ownName: settings.self.name,
			findUsers: () => {
				const nowMs = performance.now();
				const serving = this.membership.peers.listServing(nowMs).map(({ instance }) => instance.name);
				return this.roster.findUsers(serving, nowMs);
			},
		});
		this.brittlenessSync = new BrittlenessSync({
			targets: this.targets,
			log,
			broadcast: (message) => {
				this.sendToAll(message);
			},
			countInstances: () => this.roster.instances,
			countHeard: () => this.membership.peers.listAll().length + 1,
		});
		this.evacuationSync = new EvacuationSync({
			isEnabled: settings.hasEvacuations ?? false,
			targets: this.targets,
			log,
			closePools: (target) => {
				this.client.closePools(target);
			},
			onDidChange: () => {
				this.metrics.countDecision('zoneEvacuationChanged');
				this.membership.announce(performance.now());
			},
		});
		this.coldTargetSync = new ColdTargetSync({
			targets: this.targets,
			log,
			ownName: settings.self.name,
			bounds: settings.coldTargets,
			isFirstStart: settings.isFirstStart,
			getService: (service) => this.findService(service),
			roster: this.roster,
			broadcast: (message) => {
				this.sendToAll(message);
			},
			readTargetsDigest: () => this.view.digest,
			onDidTurnCold: () => {
				this.metrics.countDecision('targetCold');
			},
		});
		this.loadReportSync = new LoadReportSync({
			targets: this.targets,
			view: this.view,
			log,
			computePeerInterval: () => this.membership.computePeerInterval(this.membership.peers.listAll().length),
		});
		this.streamOriginSync = new StreamOriginSync({
			listPeers: () => this.membership.peers.listAll().map(({ instance }) => instance),
			send: (controlAddress, message) => {
				this.membership.sendMessage(encodePeerMessage(message), controlAddress);
			},
			hearsMajority: () => this.roster.hasMajority(performance.now()),
			describeVersions: (service) => {
				const nowMs = performance.now();
				return this.versionHistory.describe(service, this.view.computeAge(nowMs), nowMs);
			},
		});
		this.crashTracker = new CrashTracker({
			log,
			// A target that may not be probed is taken as alive: the operator may be taking its zone down.
			probe: (target) =>
				this.targets.isEvacuated(target) ? Promise.resolve(true) : this.client.probe(target, 0),
			onDidSuspect: () => {
				this.membership.announce(performance.now());
			},
			countInstances: () => this.roster.instances,
			onDidBlockPart: ({ part, deaths }) => {
				this.metrics.countDecision('promptPartBlocked');
				log.write('state', 'promptPartBlocked', { part, deaths });
			},
		});
		this.blockedPromptsSync = new BlockedPromptsSync({
			store,
			log,
			listBlockingDeaths: (nowMs) => this.crashTracker.listBlockingDeaths(nowMs),
			adoptDeaths: (deaths, nowMs) => {
				this.crashTracker.adoptPromptDeaths(deaths, nowMs);
			},
			readOwnRank: () => this.membership.peers.findRankAmongServing(performance.now()),
		});
		this.admission = settings.sharesCapacity ? this.createAdmission(settings.seeds.length) : undefined;
		this.memory =
			settings.memoryBytes === undefined ? undefined : this.createMemoryBudget(settings.memoryBytes);
		this.server = new CallerServer({
			address: settings.self.callersAddress,
			readSnapshot: () =>
				this.catchUp.isComplete && this.evacuationSync.isReady ? this.activeConfiguration.current : undefined,
			isStoreUnreachable: () => this.configurationSync.isStoreUnreachable,
			memory: this.memory,
			maxConnections:
				settings.maxSockets === undefined
					? undefined
					: Math.ceil(settings.maxSockets * CALLER_CONNECTION_SHARE),
			exchange: {
				codec,
				targets: this.targets,
				client: this.client,
				crashes: this.crashTracker,
				log,
				metrics: this.metrics,
				admission: this.admission,
				countRequest: (service) => {
					this.retries.recordRequest(service, performance.now());
				},
				acquireRetry: (service) => this.acquireRetry(service),
				onConnectionBroken: (target, run) => {
					void this.crashTracker.probeTarget(target, run);
				},
				hasCacheTransfer: (service) => this.findService(service)?.hasCacheTransfer ?? false,
				hasLostPath: () => this.pathMonitor.isLost,
				recordPathFailure: () => {
					this.pathMonitor.recordFailure();
				},
				choosePeer: (excluded, regions) =>
					this.directory.choosePeer(this.peerRoutes, excluded, regions, performance.now(), Math.random),
				self: settings.self,
				recordPrompt: (target, prompt, cacheSource) => {
					const nowMs = performance.now();
					this.placementAnnouncer.announce(target, prompt, cacheSource, nowMs);
					this.promptCacheSync.recordPlacement(target, prompt, nowMs);
				},
				findStreamOrigin: (attemptId, service) => this.streamOriginSync.find(attemptId, service),
				recordStreamOrigin: (attemptId, origin) => {
					this.streamOriginSync.record(attemptId, origin);
				},
				readTimeToExit: () => this.shutdown.computeTimeToExit(performance.now()),
				random: Math.random,
				readTargetsAge: () => this.view.computeAge(performance.now()),
			},
		});
		this.membership = new FleetMembership({
			self: settings.self,
			seeds: settings.seeds,
			usesZoneRelays: () => this.targets.savesZoneTraffic,
			store,
			log,
			describeSelf: () => this.peerExchange.describeSelf(),
			describeDepartedTargets: () => this.peerExchange.describeDepartedTargets(),
			onDidContactPeers: () => {
				this.handlePeersContacted();
			},
			onPeerState: (state, _previous, ageMs) => {
				this.peerExchange.handlePeerState(state, ageMs);
				this.checkServing(performance.now());
			},
			onPeerStart: (instance) => {
				this.streamOriginSync.handlePeerStart(instance);
			},
			onMessage: (message, controlAddress) => {
				this.handlePeerMessage(message, controlAddress);
			},
			onRelayedRequest: (message, response, relayed) => {
				this.server.handleRelayed(message, response, relayed);
			},
			documents: {
				'/configuration': () => this.activeConfiguration.current?.encoded,
				'/targets': () => this.peerExchange.encodeTargets(),
				'/prompts': () => this.promptCacheSync.encodeSnapshot(),
			},
		});
		this.configurationSync = new ConfigurationSync({
			store,
			activeConfiguration: this.activeConfiguration,
			log,
			readOwnRank: () => this.membership.peers.findRankAmongServing(performance.now()),
			onEvacuationsRead: (update, position) => {
				this.evacuationSync.applyUpdate(update, position);
				this.checkServing(performance.now());
			},
			fetchFromPeer: (address) => this.membership.fetch(address, '/configuration'),
		});
		this.targetListSync = new TargetListSync({
			store,
			view: this.view,
			log,
			readOwnRank: () => this.membership.peers.findRankAmongServing(performance.now()),
			onDidChange: (change, source) => {
				this.handleTargetChange(change, source);
			},
			onColdnessListed: (coldness, ageMs) => {
				this.coldTargetSync.applyListed(coldness, performance.now(), ageMs);
			},
			fetchFromPeer: (address) => this.membership.fetch(address, '/targets'),
		});
		this.promptCacheSync = new PromptCacheSync({
			targets: this.targets,
			log,
			getCacheCapacity: (target) => this.getCacheCapacity(target),
			codec: dependencies.engineCodec,
			fetchFromPeer: (address) => this.membership.fetch(address, '/prompts'),
			fetchDocument: (target, path, timeoutMs, onFailure) =>
				this.client.fetchDocument(target, path, timeoutMs, onFailure),
			onDidChangeKnowledge: () => {
				this.membership.announce(performance.now());
			},
			readOwnRank: () => this.membership.peers.findRankAmongLive(performance.now()),
			countPeers: () => this.membership.peers.listAll().length,
			computeGossipInterval: (peers) => this.membership.computePeerInterval(peers),
		});
		this.placementAnnouncer = new PlacementAnnouncer({
			targets: this.targets,
			broadcast: (message) => {
				this.metrics.countDecision('placementAnnounced');
				this.sendToAll(message, ({ acceptsPlacements }) => acceptsPlacements === true);
			},
			adoptPrompt: (message) => {
				this.promptCacheSync.adoptPrompts([message]);
			},
		});
		this.peerExchange = new PeerExchange({
			store,
			activeConfiguration: this.activeConfiguration,
			view: this.view,
			targets: this.targets,
			catchUp: this.catchUp,
			configurationSync: this.configurationSync,
			targetListSync: this.targetListSync,
			promptCacheSync: this.promptCacheSync,
			crashTracker: this.crashTracker,
			requestLimitSync: this.requestLimitSync,
			evacuationSync: this.evacuationSync,
			coldTargetSync: this.coldTargetSync,
			loadReportSync: this.loadReportSync,
			roster: this.roster,
			admission: this.admission,
			isServing: () => this.isServing(),
			hasTargetPath: () => !this.pathMonitor.isLost,
		});
		this.directory = new InstanceDirectory({
			self: settings.self,
			activeConfiguration: this.activeConfiguration,
			findRegion: this.findRegion,
			listPeers: () => this.membership.peers,
			isServing: () => this.isServing(),
			hasLostPath: () => this.pathMonitor.isLost,
		});
		this.explainer = new RequestExplainer({
			targets: this.targets,
			crashes: this.crashTracker,
			admission: this.admission,
			isDraining: () => this.shutdown.isStarted,
			readSnapshot: () => (this.isServing() ? this.activeConfiguration.current : undefined),
			isStoreUnreachable: () => this.configurationSync.isStoreUnreachable,
			hasCacheTransfer: (service) => this.findService(service)?.hasCacheTransfer ?? false,
			hasLostPath: () => this.pathMonitor.isLost,
			choosePeer: (excluded, regions, random) =>
				this.directory.choosePeer(copyState(this.peerRoutes), excluded, regions, performance.now(), random),
			hasMemoryFor: (bytes) => this.memory?.hasRoomFor(bytes) !== false,
			describeBeliefs: (nowMs) => ({
				targetsAgeMs: this.view.computeAge(nowMs),
				peers: this.membership.peers.listAll().length,
				peersAgeMs: this.membership.computeMeanStateAge(nowMs),
				oldestPeerAgeMs: Math.max(0, ...this.membership.peers.listWithAges(nowMs).map(({ ageMs }) => ageMs)),
				configurationVersion: this.activeConfiguration.version,
				configurationAgeMs: nowMs - this.configurationAdoptedAtMs,
			}),
		});
		this.shutdown = new Shutdown({
			server: this.server,
			log,
			gracePeriodMs: settings.graceMs,
			entryTtlMs: settings.entryTtlMs,
			announce: () => {
				this.membership.announce(performance.now());
			},
		});
		this.ended = this.shutdown.ended;
		for (const disposable of [this.activeConfiguration, this.client, this.server, this.membership]) {
			this.disposables.add(disposable);
		}
		if (this.admission !== undefined) {
			this.disposables.add(this.admission);
		}
		this.disposables.add(this.configurationSync);
		this.disposables.add(this.blockedPromptsSync);
		this.disposables.add(this.evacuationSync);
		this.disposables.add(this.targetListSync);
	}

	public async start(): Promise<void> {
		this.activeConfiguration.onDidAdopt(({ snapshot, previousVersion, source }) => {
			const { configuration } = snapshot;
			this.configurationAdoptedAtMs = performance.now();
			this.server.setLimits(configuration.limits);
			this.coldTargetSync.handleConfiguration();
			this.dependencies.log.write('state', 'configurationAdopted', {
				version: configuration.version,
				previousVersion,
				source,
				routes: configuration.routes.length,
				keys: configuration.customersByKey?.size ?? 0,
			});
			this.membership.announce(performance.now());
			this.checkServing(performance.now());
		});
		const restoreListener = this.dependencies.store.onDidRestore(({ previous, era }) => {
			this.metrics.countDecision('storeRestored');
			this.blockedPromptsSync.handleRestore();
			this.dependencies.log.write('state', 'storeRestored', {
				previousEra: previous.era,
				era,
				knownRevision: previous.revision,
				configurationVersion: this.activeConfiguration.version,
			});
		});
		this.disposables.add(restoreListener);
		// Before anything is sent: a datagram that leaves an unbound socket binds it to another port.
		await this.membership.listen();
		await this.server.listen();
		this.configurationSync.start();
		const timer = setInterval(() => {
			this.tick();
		}, TICK_INTERVAL_MS);
		this.disposables.add(
			toDisposable(() => {
				clearInterval(timer);
				clearImmediate(this.silenceCheck);
			}),
		);
		this.tick();
	}

	public isServing(): boolean {
		return (
			!this.shutdown.isStarted &&
			this.catchUp.isComplete &&
			this.evacuationSync.isReady &&
			this.activeConfiguration.version > 0 &&
			this.view.list !== undefined
		);
	}

	public listEntryAddresses(caller?: DirectoryCaller): readonly string[] {
		return this.directory.listEntryAddresses(caller, performance.now());
	}

	public drain(): void {
		this.shutdown.start();
	}

	public explain(question: RequestQuestion): ExplainResult {
		return this.explainer.explain(question, performance.now());
	}

	public dispose(): void {
		this.disposables.dispose();
	}

	private tick(): void {
		const nowMs = performance.now();
		this.checkSuspension(nowMs);
		this.evacuationSync.tick(nowMs);
		this.membership.tick(nowMs);
		this.updateRoster(nowMs);
		this.configurationSync.tick();
		this.targetListSync.tick(nowMs);
		this.tickPromptCacheSync(nowMs);
		this.scheduleSilenceCheck();
		this.shutdown.tick(nowMs);
		this.requestLimitSync.tick(nowMs);
		this.brittlenessSync.tick();
		this.coldTargetSync.tick(nowMs);
		this.blockedPromptsSync.tick(nowMs);
		this.targets.setPeerLoads(this.membership.peers.listAll().map(({ loads }) => loads));
		this.admission?.tick(nowMs);
		this.memory?.tick();
		this.checkServing(nowMs);
	}

	/**
	 * Looks for silent targets once the event loop has read what they have sent: after a time in which the process did not
	 * run its timers come first.
	 */
	private scheduleSilenceCheck(): void {
		clearImmediate(this.silenceCheck);
		this.silenceCheck = setImmediate(() => {
			const nowMs = performance.now();
			this.pathMonitor.tick(nowMs);
			this.server.moveOffUnresponsiveTargets(nowMs);
		});
	}

	/** What counts in a window of time is older than it seems after a suspension. */
	private checkSuspension(nowMs: number): void {
		const suspendedMs = this.suspension.check(nowMs, Date.now());
		if (suspendedMs > 0) {
			this.retries.forgetRequests();
			this.roster.recordSuspension(suspendedMs);
			this.dependencies.log.write('state', 'machineSuspended', { suspendedMs: Math.round(suspendedMs) });
		}
	}

	private updateRoster(nowMs: number): void {
		const heard = this.membership.peers.listAll().map(({ instance, rosterSize }) => ({
			name: instance.name,
			instances: rosterSize,
		}));
		this.roster.update(heard, nowMs, this.membership.describeNamed(nowMs));
	}

	/** Lets this instance serve once it has caught up, and gossips at once when it starts or stops serving. */
	private checkServing(nowMs: number): void {
		const { version } = this.activeConfiguration;
		if (this.catchUp.update(version, nowMs) === 'timedOut') {
			this.dependencies.log.write('state', 'catchUpTimedOut', { configurationVersion: version });
		}
		if (this.isServing() === this.wasServing) {
			return;
		}
		this.wasServing = this.isServing();
		this.dependencies.log.write('state', this.wasServing ? 'serving' : 'notServing', {
			configurationVersion: version,
			targetsRevision: this.view.list?.revision,
		});
		this.membership.announce(nowMs);
		this.tickPromptCacheSync(nowMs);
	}

	/** Checks again when the peers have had time to answer, rather than at the next tick. */
	private handlePeersContacted(): void {
		this.catchUp.recordContact(performance.now());
		if (!this.catchUp.isComplete) {
			const timer = setTimeout(() => {
				this.checkServing(performance.now());
			}, PEER_ANSWER_MS);
			this.disposables.add(
				toDisposable(() => {
					clearTimeout(timer);
				}),
			);
		}
	}

	private handlePeerMessage(bytes: Buffer, controlAddress: string): void {
		const message = decodePeerMessage(bytes);
		switch (message?.kind) {
			case undefined:
				this.dependencies.log.write('state', 'unreadablePeerMessage', {
					controlAddress,
					bytes: bytes.length,
				});
				return;
			case 'heartbeat':
				this.membership.handleHeartbeat(message);
				return;
			case 'rejection':
				this.brittlenessSync.adopt(message, performance.now());
				return;
			case 'cold':
				this.coldTargetSync.adoptMessage(message, performance.now());
				return;
			case 'unreachable':
				this.coldTargetSync.adoptUnreachable(message, controlAddress, performance.now());
				return;
			case 'placement':
				this.placementAnnouncer.adopt(message, performance.now());
				return;
			case 'origins':
			case 'query':
			case 'reply':
				this.streamOriginSync.handleMessage(message, controlAddress);
				return;
		}
	}

	private tickPromptCacheSync(nowMs: number): void {
		if (this.activeConfiguration.version > 0 && this.view.list !== undefined) {
			this.promptCacheSync.tick(nowMs);
		}
	}

	private createAdmission(seeds: number): AdmissionControl {
		return new AdmissionControl({
			targets: this.targets,
			log: this.dependencies.log,
			countDecision: (event) => {
				this.metrics.countDecision(event);
			},
			findService: (service) => this.findService(service),
			listPeers: () => this.membership.peers.listAll(),
			countInstances: () => this.roster.instances,
			seeds,
		});
	}

	private createMemoryBudget(memoryBytes: number): MemoryBudget {
		return new MemoryBudget(computeBudgetBytes(memoryBytes), {
			heapLimitBytes: getHeapStatistics().heap_size_limit,
			log: this.dependencies.log,
			countDecision: (event) => {
				this.metrics.countDecision(event);
			},
		});
	}

	private findService(service: string): ServiceDefinition | undefined {
		return this.activeConfiguration.current?.configuration.services.get(service);
	}

	private getCacheCapacity(target: TargetState): number {
		return this.findService(target.record.service)?.kvCacheTokens ?? 0;
	}

	private handleTargetChange(change: TargetListChange, source: TargetChangeSource): void {
		this.targets.applyChange(change);
		// Until its room is divided, each instance would fill all slots of a target that has just started.
		this.brittlenessSync.tick();
		this.coldTargetSync.handleTargetChange(change, performance.now());
		this.versionHistory.update(this.view.records, performance.now());
		for (const { id } of [...change.removed, ...change.changed.filter(({ isLeaving }) => isLeaving)]) {
			this.client.closePools(id);
		}
		if (source !== 'gossip') {
			this.membership.announce(performance.now());
		}
		this.checkServing(performance.now());
	}

	/** @param isRecipient whether a peer reads such messages; those of an older version may not */
	private sendToAll(message: PeerMessage, isRecipient: (peer: PeerState) => boolean = () => true): void {
		const bytes = encodePeerMessage(message);
		for (const { instance } of this.membership.peers.listAll().filter(isRecipient)) {
			this.membership.sendMessage(bytes, instance.controlAddress);
		}
	}

	private acquireRetry(service: string): boolean {
		const nowMs = performance.now();
		this.checkSuspension(nowMs);
		return this.retries.tryAcquire(service, nowMs);
	}

	private computeConnectionLimit(service: string): number {
		const definition = this.findService(service);
		if (definition === undefined) {
			return MIN_CONNECTIONS;
		}
		return Math.max(
			MIN_CONNECTIONS,
			Math.floor((definition.maxConnections * MAX_CONNECTION_SHARE) / this.roster.instances),
		);
	}
}
