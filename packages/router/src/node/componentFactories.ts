/** Creates components of a router from its settings: key-value store, instance list, records, retries and peers. */
import { readFile } from 'node:fs/promises';
import type { PeerNetwork, RouterInstance, RouterSettings } from '@papayawell/core';
import { computeRecordRetentionMs, hashTextTo32, RetryBudget, SuspectTracker } from '@papayawell/core';
import type { GrpcPeerNetwork, PeerSecurity } from '@papayawell/peers';
import { createPeerNetwork } from '@papayawell/peers';
import {
	EtcdKeyValueStore,
	HttpInstanceListSource,
	PerKeyRecordStore,
	RecordLease,
	WriteAheadLog,
} from '@papayawell/keyvalue';
import type { Logger } from './logger.js';

export function createKeyValueStore(settings: RouterSettings): EtcdKeyValueStore {
	const { keyValueOrigins, keyValueCallsPerSecond } = settings.platform;
	return new EtcdKeyValueStore({ origins: keyValueOrigins, callsPerSecond: keyValueCallsPerSecond });
}

export function createInstanceListSource(settings: RouterSettings): HttpInstanceListSource {
	const { instanceListUrl, instanceListPollMs } = settings.platform;
	return new HttpInstanceListSource({ url: instanceListUrl, pollMs: instanceListPollMs });
}

/** Maximum clock skew between callers and routers, in ms. */
const MAX_CLOCK_SKEW_MS = 60_000;
/** Time after its start in which an operation may be dispatched to a target, in ms. */
const DISPATCH_WINDOW_MS = 10_000;
const RECORD_PUT_TIMEOUT_MS = 500;
const RECORD_SETTLE_LIMIT_MS = 3000;
const RECORD_RETRY_AFTER_MS = 1000;
/** Interval at which new records start a new shared lease, in ms. */
const RECORD_LEASE_ROTATION_INTERVAL_MS = 600_000;

/** Creates the log of the write-ahead records of non-idempotent operations. */
export function createWriteAheadLog(settings: RouterSettings, store: EtcdKeyValueStore): WriteAheadLog {
	const keyAge = { retentionMs: settings.outcomes.keyRetentionMs, maxClockSkewMs: MAX_CLOCK_SKEW_MS };
	const lease = new RecordLease(store, {
		recordRetentionMs: computeRecordRetentionMs(keyAge),
		rotationMs: RECORD_LEASE_ROTATION_INTERVAL_MS,
	});
	return new WriteAheadLog({
		router: settings.instance,
		records: new PerKeyRecordStore(store, lease, `${settings.platform.keyPrefix}/once/`),
		keyAge,
		recordTimeoutMs: RECORD_SETTLE_LIMIT_MS,
		putTimeoutMs: RECORD_PUT_TIMEOUT_MS,
		dispatchWindowMs: DISPATCH_WINDOW_MS,
		backOff: { baseMs: 20, maxMs: 500, seed: settings.instance },
		retryAfterMs: RECORD_RETRY_AFTER_MS,
		onDidLoseRecords: store.onDidRegressRevision,
	});
}

/** Time for which requests stay suspect that were in flight on a target when it crashed, in ms. */
const SUSPICION_PERIOD_MS = 300_000;
/** Maximum burst of retries of a router and of one customer. */
const NODE_RETRY_BURST = 100;
const CUSTOMER_RETRY_BURST = 50;

/** Creates the tracker of requests that crash targets, which shares its findings with the other routers. */
export function createSuspectTracker(settings: RouterSettings, peers: PeerNetwork): SuspectTracker {
	const { quarantineMs } = settings.outcomes;
	const tracker = new SuspectTracker({ suspicionMs: SUSPICION_PERIOD_MS, quarantineMs }, (fact) => {
		peers.publish(fact);
	});
	peers.onDidReceiveFact((fact) => {
		if (fact.kind === 'quarantine' || fact.kind === 'suspicion') {
			tracker.adopt(fact, Date.now());
		}
	});
	return tracker;
}

export function createRetryBudget(settings: RouterSettings): RetryBudget {
	const { retryShare } = settings.outcomes;
	return new RetryBudget({
		retryShare,
		nodeBurst: NODE_RETRY_BURST,
		customerBurst: CUSTOMER_RETRY_BURST,
	});
}

/** Joins the peer network. The start time is the incarnation, so a restarted router supersedes its earlier one. */
export async function createPeers(settings: RouterSettings, log: Logger): Promise<GrpcPeerNetwork> {
	const self: RouterInstance = {
		instance: settings.instance,
		incarnation: Date.now(),
		region: settings.region,
		zone: settings.zone,
		callersAddress: settings.callers.address,
		peersAddress: settings.peers.address,
	};
	return createPeerNetwork({
		self,
		fleet: settings.peers.fleet,
		listenAddress: settings.peers.address,
		security: await readSecurity(settings),
		bytesPerSecond: settings.peers.bytesPerSecond,
		seed: hashTextTo32(`${self.instance}\n${self.incarnation}`),
		logger: log,
	});
}

async function readSecurity(settings: RouterSettings): Promise<PeerSecurity> {
	const { tls } = settings.peers;
	if (tls === undefined) {
		return { kind: 'plainLoopback' };
	}
	const [certificate, key, authority] = await Promise.all([
		readFile(tls.certificateFile, 'utf8'),
		readFile(tls.keyFile, 'utf8'),
		readFile(tls.authorityFile, 'utf8'),
	]);
	return { kind: 'tls', tls: { certificate, key, authority } };
}
