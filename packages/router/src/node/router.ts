/** Composition root of a router: creates its components and connects them. */
import { CallersServer } from '@papayawell/callers';
import type { RouterSettings, RuleSet, SuspectTracker, TargetInstance } from '@papayawell/core';
import { ConfigurationAdopter, createPolicy, DisposableStore } from '@papayawell/core';
import type { AdminServer } from '@papayawell/operators';
import {
	ConfigurationWatcher,
	createAdminServer,
	FleetStatusCollector,
	RouterMetrics,
} from '@papayawell/operators';
import type { GrpcPeerNetwork } from '@papayawell/peers';
import type { EtcdKeyValueStore, HttpInstanceListSource, WriteAheadLog } from '@papayawell/keyvalue';
import { DEFAULT_TARGET_CLIENT_OPTIONS, isRefusingConnections, TargetClient } from '@papayawell/targets';
import { CallerDirectory } from '../common/callerDirectory.js';
import { TargetDirectory } from '../common/targetDirectory.js';
import { makeAdminFunctions } from './adminFunctions.js';
import type { DrainResult } from './drainController.js';
import { DrainController } from './drainController.js';
import { LimitRegistry } from './limitRegistry.js';
import { EntrySelector } from './entrySelector.js';
import type { Logger } from './logger.js';
import { makeLogger } from './logger.js';
import { MetricsCollector } from './metricsCollector.js';
import {
	createInstanceListSource,
	createWriteAheadLog,
	createPeers,
	createRetryBudget,
	createKeyValueStore,
	createSuspectTracker,
} from './componentFactories.js';
import { createOrders } from './orders.js';
import { OwnerService } from './ownerService.js';
import { answerPeerRequest } from './peerService.js';
import { PoolRegistry } from './poolRegistry.js';
import { makeReachabilityObserver } from './reachabilityObserver.js';
import { RequestRouter } from './requestRouter.js';
import { TargetWatcher } from './targetWatcher.js';

/** Time in which the drain announcement reaches the other routers, which may still name this one until then, in ms. */
const DRAIN_PROPAGATION_MS = 2000;

/** A running router. */
export interface Router {
	/** Bound `ip:port` of each port. */
	readonly callersAddress: string;
	readonly adminAddress: string;
	/** Resolves when the router has shut down, for any cause. */
	readonly ended: Promise<DrainResult>;
	/** Starts the graceful shutdown. */
	drain(): void;
	/** Stops immediately and closes connections with requests in flight. */
	stopNow(): void;
}

/** Starts a router. Rejects when an address can't be bound or a certificate can't be read. */
export async function createRouter(settings: RouterSettings, metrics = new RouterMetrics()): Promise<Router> {
	const disposables = new DisposableStore();
	try {
		return await wireRouter(settings, metrics, disposables);
	} catch (error) {
		disposables.dispose();
		throw error;
	}
}

/** Context that all wiring functions share. */
interface WiringContext {
	readonly settings: RouterSettings;
	readonly metrics: RouterMetrics;
	/** Disposed when the router has shut down. */
	readonly disposables: DisposableStore;
	readonly makeLog: (part: string) => Logger;
}

async function wireRouter(
	settings: RouterSettings,
	metrics: RouterMetrics,
	disposables: DisposableStore,
): Promise<Router> {
	const { instance, logLevel } = settings;
	const wiring: WiringContext = {
		settings,
		metrics,
		disposables,
		makeLog: (part) => makeLogger(part, { instance }, logLevel),
	};
	const platform = await wirePlatform(wiring);
	const configuration = wireConfiguration(wiring, platform);
	const placement = wirePlacement(wiring, platform, configuration);
	const requests = wireRequests(wiring, platform, configuration, placement);
	const { callers, drain } = wireCallers(wiring, platform, configuration, placement, requests);
	const { adopter, watcher } = configuration;
	const { owner } = placement;
	platform.peers.serve((from, request) =>
		answerPeerRequest({ instance, owner, watcher, adopter, drain }, from, request),
	);
	const admin = await wireOperators(wiring, platform, configuration, placement, requests, drain);
	watcher.start();
	platform.instanceList.start();
	owner.start();
	const callersAddress = await callers.listen();
	return {
		callersAddress,
		adminAddress: admin.address,
		ended: drain.ended.finally(() => {
			disposables.dispose();
		}),
		drain: () => {
			drain.drain();
		},
		stopNow: () => {
			drain.stopNow();
		},
	};
}

interface PlatformParts {
	readonly store: EtcdKeyValueStore;
	readonly instanceList: HttpInstanceListSource;
	readonly peers: GrpcPeerNetwork;
}

/** Wires the platform's services, the peer network and the collection of their totals. */
async function wirePlatform({
	settings,
	metrics,
	disposables,
	makeLog,
}: WiringContext): Promise<PlatformParts> {
	const store = disposables.add(createKeyValueStore(settings));
	const instanceList = disposables.add(createInstanceListSource(settings));
	const peers = disposables.add(await createPeers(settings, makeLog('peers')));
	const sources = { readTraffic: () => peers.readTraffic(), readKeyValueCalls: () => store.readCounts() };
	disposables.add(new MetricsCollector(metrics, sources));
	return { store, instanceList, peers };
}

interface ConfigurationParts {
	readonly adopter: ConfigurationAdopter;
	readonly watcher: ConfigurationWatcher;
	readonly callerDirectory: CallerDirectory;
	readonly readRules: () => RuleSet | undefined;
}

/** Wires the configuration in force and the callers that it names. */
function wireConfiguration(
	{ settings, metrics, disposables, makeLog }: WiringContext,
	platform: PlatformParts,
): ConfigurationParts {
	const log = makeLog('configuration');
	const adopter = disposables.add(new ConfigurationAdopter());
	const callerDirectory = new CallerDirectory();
	const watcher = disposables.add(
		new ConfigurationWatcher({
			keyValue: platform.store,
			network: platform.peers,
			adopter,
			prefix: settings.platform.keyPrefix,
			instance: settings.instance,
			zone: settings.zone,
			watchersPerZone: settings.platform.watchersPerZone,
			log: (message) => {
				log('info', message);
			},
			warn: (message) => {
				log('warn', message);
			},
		}),
	);
	disposables.add(
		adopter.onDidAdopt(({ document, ruleSet }) => {
			callerDirectory.setCallers(ruleSet.callers);
			metrics.setConfigurationVersion(document.version);
		}),
	);
	disposables.add(
		adopter.onDidRefuse(({ source, refusal }) => {
			if (refusal.kind === 'divergent') {
				metrics.countConfigurationConflict(source);
				return;
			}
			metrics.countVersionRegression(source);
		}),
	);
	return { adopter, watcher, callerDirectory, readRules: () => adopter.inForce?.ruleSet };
}

interface PlacementParts {
	readonly directory: TargetDirectory;
	readonly client: TargetClient;
	readonly pools: PoolRegistry;
	readonly owner: OwnerService;
}

/** Wires the targets, the pools that place requests on them, and the ownership of targets. */
function wirePlacement(
	{ settings, metrics, disposables }: WiringContext,
	{ instanceList, peers }: PlatformParts,
	{ readRules }: ConfigurationParts,
): PlacementParts {
	const { instance, placement, callers } = settings;
	const directory = new TargetDirectory();
	const client = disposables.add(
		new TargetClient(DEFAULT_TARGET_CLIENT_OPTIONS, makeReachabilityObserver(directory)),
	);
	const pools: PoolRegistry = disposables.add(
		new PoolRegistry({
			self: instance,
			policy: createPolicy(placement.policy),
			directory,
			peers,
			maxQueued: callers.maxQueued,
			maxQueueMs: callers.maxQueueMs,
			reserveLocally: (target, count) => owner.reserve(instance, target, count),
			onReservation: (answer) => {
				metrics.countEvent(`reservation-${answer}`);
			},
			readRules,
		}),
	);
	const owner: OwnerService = disposables.add(
		new OwnerService({
			self: instance,
			readOwnLoad: (target) => pools.readOwnLoad(target),
			reportIntervalMs: placement.reportIntervalMs,
			listOwned: () => pools.listOwned(),
			computeLimit: (target) => pools.computeOwnerLimit(target),
			onReport: (report) => {
				pools.noteLoad(report);
				const { instance: target, requests, versionMs } = report;
				peers.publish({ kind: 'load', instance: target, requests, version: versionMs });
			},
			onPoll: (target, isAnswered) => {
				directory.recordHealth(target.instance, isAnswered ? 'succeed' : 'fail', performance.now());
			},
		}),
	);
	const probe = async (target: TargetInstance): Promise<boolean> =>
		!(await isRefusingConnections(target.origin));
	disposables.add(new TargetWatcher({ list: instanceList, peers, directory, probe }));
	disposables.add(
		directory.onDidRemoveTarget((target) => {
			client.closeOrigin(target.origin);
		}),
	);
	return { directory, client, pools, owner };
}

interface RequestParts {
	readonly requests: RequestRouter;
	readonly writeAheadLog: WriteAheadLog;
	readonly suspects: SuspectTracker;
}

/** Wires the processing of a request between the callers' port and its target. */
function wireRequests(
	{ settings, metrics, disposables }: WiringContext,
	{ store, peers }: PlatformParts,
	{ readRules }: ConfigurationParts,
	{ pools, client }: PlacementParts,
): RequestParts {
	const writeAheadLog = disposables.add(createWriteAheadLog(settings, store));
	const suspects = createSuspectTracker(settings, peers);
	const requests = new RequestRouter({
		readRules,
		pools,
		client,
		limits: disposables.add(new LimitRegistry(settings.instance, peers)),
		atMostOnceLog: writeAheadLog,
		metrics,
		suspects,
		retries: createRetryBudget(settings),
		onEvent: (event) => {
			metrics.countEvent(event);
		},
	});
	return { requests, writeAheadLog, suspects };
}

/** Wires the callers' port and its graceful shutdown. */
function wireCallers(
	{ settings }: WiringContext,
	{ peers }: PlatformParts,
	{ callerDirectory, readRules }: ConfigurationParts,
	{ pools }: PlacementParts,
	{ requests, writeAheadLog }: RequestParts,
): { readonly callers: CallersServer; readonly drain: DrainController } {
	const { entriesTtlMs } = settings.callers;
	const entries = new EntrySelector(peers, pools, readRules, entriesTtlMs);
	const callers = new CallersServer(settings.callers, {
		findCaller: (keyHash) => callerDirectory.find(keyHash),
		listEntries: (caller, chat) => entries.selectEntries(caller, chat),
		handle: (request, answer) => requests.route(request, answer),
	});
	const drain = new DrainController(
		{
			announce: () => {
				peers.announceDraining();
				callers.startDraining();
			},
			finish: async () => {
				await callers.finish();
				await writeAheadLog.drain();
			},
			closeAll: () => callers.closeAllConnections(),
		},
		{ entriesExpiryMs: DRAIN_PROPAGATION_MS + entriesTtlMs, drainTimeoutMs: settings.drainLimitMs },
	);
	return { callers, drain };
}

/** Wires the orders to engines and the admin port. */
async function wireOperators(
	{ settings, metrics, disposables, makeLog }: WiringContext,
	{ store, peers }: PlatformParts,
	{ adopter }: ConfigurationParts,
	{ directory, pools }: PlacementParts,
	{ suspects }: RequestParts,
	drain: DrainController,
): Promise<AdminServer> {
	const { instance } = settings;
	const logOrders = makeLog('orders');
	const log = (message: string): void => {
		logOrders('info', message);
	};
	const api = makeAdminFunctions({
		instance,
		metrics,
		adopter,
		drain,
		pools,
		peers,
		statuses: new FleetStatusCollector(peers, instance),
		suspects,
		orders: disposables.add(createOrders({ settings, keyValue: store, peers, adopter, directory, log })),
		readExtraState: () => ({ traffic: peers.readTraffic(), keyValueCalls: store.readCounts() }),
	});
	const { address, tokenHash } = settings.admin;
	return disposables.add(await createAdminServer({ address, tokenHash, api }));
}
