/**
 * Fake of the platform's key-value service: a subset of the etcd v3 JSON gateway over HTTP, with fault
 * injection. `POST /stand-in/faults` sets faults, `GET /stand-in/calls` returns call counts and open watches.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type {
	DownMode,
	KeyValueCallKind,
	KeyValueFaults,
	LossPlan,
} from '../../common/keyValue/keyValueFaults.js';
import { CALL_KINDS, LossInjector } from '../../common/keyValue/keyValueFaults.js';
import type { StoreSnapshot } from '../../common/keyValue/revisionStore.js';
import { RevisionStore } from '../../common/keyValue/revisionStore.js';
import type { WireRangeRequest, WireTxnRequest, WireWatchRequest } from './etcdWire.js';
import { closeServer, readBody, readPort, sendAnswer, sleep } from './httpHelpers.js';
import type { CallAnswer, ListEntries } from './keyValueCalls.js';
import {
	answerLeaseGrant,
	answerLeaseKeepalive,
	answerLeaseRevoke,
	answerRange,
	answerTxn,
	GRPC_NOT_FOUND,
	makeError,
} from './keyValueCalls.js';
import { WatchStreams } from './watchStreams.js';

export interface KeyValueStandInOptions {
	readonly host?: string;
	/** 0 (the default) selects a free port. */
	readonly port?: number;
	/** Additional port that stays open while the service refuses connections, for the `/stand-in/` control calls. */
	readonly controlPort?: number;
	readonly seed?: string;
}

const LEASE_CHECK_INTERVAL_MS = 20;
/** gRPC status code. */
const GRPC_UNAVAILABLE = 14;

const CALL_KIND_BY_PATH: Readonly<Record<string, KeyValueCallKind>> = {
	'/v3/kv/range': 'range',
	'/v3/kv/txn': 'txn',
	'/v3/lease/grant': 'leaseGrant',
	'/v3/lease/keepalive': 'leaseKeepalive',
	'/v3/lease/revoke': 'leaseRevoke',
	'/v3/watch': 'watch',
};

/** Starts the stand-in; resolves when it accepts connections. */
export async function startKeyValueStandIn(options: KeyValueStandInOptions = {}): Promise<KeyValueStandIn> {
	const standIn = new KeyValueStandIn(options);
	await standIn.listen();
	return standIn;
}

export class KeyValueStandIn {
	private readonly watches = new WatchStreams();
	private readonly store = new RevisionStore((event) => {
		this.watches.publish(event);
	});
	private readonly callCounts = new Map<KeyValueCallKind, number>();
	private readonly answerLoss: LossInjector;
	private readonly requestLoss: LossInjector;
	private readonly host: string;
	private port: number;
	private downMode: DownMode = 'up';
	private callDelayMs = 0;
	private staleSnapshot: StoreSnapshot | undefined;
	private savedSnapshot: StoreSnapshot | undefined;
	private server: Server | undefined;
	private controlServer: Server | undefined;
	private leaseTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: KeyValueStandInOptions) {
		this.host = options.host ?? '127.0.0.1';
		this.port = options.port ?? 0;
		const seed = options.seed ?? '1';
		this.answerLoss = new LossInjector(`${seed}/answers`);
		this.requestLoss = new LossInjector(`${seed}/requests`);
	}

	public get origin(): string {
		return `http://${this.host}:${this.port}`;
	}

	public get controlOrigin(): string {
		return this.controlServer ? `http://${this.host}:${readPort(this.controlServer)}` : this.origin;
	}

	public get revision(): number {
		return this.store.revision;
	}

	/** Opens the ports. Called only by `startKeyValueStandIn`. */
	public async listen(): Promise<void> {
		await this.openServer();
		if (this.options.controlPort !== undefined) {
			this.controlServer = await this.startServer(this.options.controlPort);
		}
		this.leaseTimer = setInterval(() => {
			this.store.expireLeases(performance.now());
		}, LEASE_CHECK_INTERVAL_MS);
		this.leaseTimer.unref();
	}

	public async close(): Promise<void> {
		clearInterval(this.leaseTimer);
		this.watches.close();
		await closeServer(this.server);
		await closeServer(this.controlServer);
		this.server = undefined;
		this.controlServer = undefined;
	}

	public async setDown(mode: DownMode): Promise<void> {
		this.downMode = mode;
		if (mode !== 'up') {
			this.watches.close();
		}
		if (mode === 'refuse') {
			await closeServer(this.server);
			this.server = undefined;
			return;
		}
		if (!this.server) {
			await this.openServer();
		}
	}

	public setCallDelay(delayMs: number): void {
		this.callDelayMs = delayMs;
	}

	/** Drops answers after their calls have taken effect. */
	public dropAnswers(plan: LossPlan): void {
		this.answerLoss.set(plan);
	}

	/** Drops calls before they take effect. */
	public dropRequests(plan: LossPlan): void {
		this.requestLoss.set(plan);
	}

	public setStaleReads(isStale: boolean): void {
		this.staleSnapshot = isStale ? this.store.takeSnapshot() : undefined;
	}

	public setWatchDelay(delayMs: number): void {
		this.watches.delayMs = delayMs;
	}

	public closeWatches(): void {
		this.watches.close();
	}

	public takeSnapshot(): StoreSnapshot {
		return this.store.takeSnapshot();
	}

	/** Replaces the state with an older one, as an operator does by restoring a backup. */
	public restoreSnapshot(snapshot: StoreSnapshot): void {
		this.store.restore(snapshot);
	}

	/** Lists the entries under `prefix` directly, without an HTTP call that would be counted. */
	public listEntries(prefix: string): readonly { readonly key: string; readonly value: string }[] {
		return this.store.list(prefix, `${prefix}\u{10ffff}`);
	}

	public readCounts(): Record<KeyValueCallKind, number> {
		const entries = CALL_KINDS.map((kind) => [kind, this.callCounts.get(kind) ?? 0]);
		return Object.fromEntries(entries) as Record<KeyValueCallKind, number>;
	}

	public async applyFaults(faults: KeyValueFaults): Promise<void> {
		this.callDelayMs = faults.slowMs ?? this.callDelayMs;
		this.watches.delayMs = faults.watchDelayMs ?? this.watches.delayMs;
		if (faults.dropAnswers) {
			this.answerLoss.set(faults.dropAnswers);
		}
		if (faults.dropRequests) {
			this.requestLoss.set(faults.dropRequests);
		}
		if (faults.staleReads !== undefined) {
			this.setStaleReads(faults.staleReads);
		}
		if (faults.cutWatches) {
			this.watches.close();
		}
		if (faults.snapshot === 'take') {
			this.savedSnapshot = this.takeSnapshot();
		}
		if (faults.snapshot === 'restore' && this.savedSnapshot) {
			this.restoreSnapshot(this.savedSnapshot);
		}
		if (faults.down) {
			await this.setDown(faults.down);
		}
	}

	private async openServer(): Promise<void> {
		this.server = await this.startServer(this.port);
		this.port = readPort(this.server);
	}

	private async startServer(port: number): Promise<Server> {
		const server = createServer((request, response) => {
			this.handle(request, response).catch(() => {
				response.destroy();
			});
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, this.host, resolve);
		});
		return server;
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '/';
		const text = await readBody(request);
		if (path === '/stand-in/calls') {
			sendAnswer(response, { status: 200, body: { calls: this.readCounts(), watches: this.watches.size } });
			return;
		}
		if (path === '/stand-in/faults') {
			await this.applyFaults(JSON.parse(text) as KeyValueFaults);
			sendAnswer(response, { status: 200, body: {} });
			return;
		}
		const kind = CALL_KIND_BY_PATH[path];
		if (!kind) {
			sendAnswer(response, makeError(404, GRPC_NOT_FOUND, 'Not Found'));
			return;
		}
		await this.handleCall(kind, JSON.parse(text), response);
	}

	private async handleCall(kind: KeyValueCallKind, body: unknown, response: ServerResponse): Promise<void> {
		this.callCounts.set(kind, (this.callCounts.get(kind) ?? 0) + 1);
		if (this.refuseCall(response) || this.requestLoss.shouldDrop(kind)) {
			if (this.downMode !== 'hang' && !response.writableEnded) {
				response.destroy();
			}
			return;
		}
		if (this.callDelayMs > 0) {
			await sleep(this.callDelayMs);
		}
		this.store.expireLeases(performance.now());
		if (kind === 'watch') {
			this.watches.open(this.store, body as WireWatchRequest, response);
			return;
		}
		const answer = this.runCall(kind, body);
		if (this.answerLoss.shouldDrop(kind)) {
			response.destroy();
			return;
		}
		sendAnswer(response, answer);
	}

	/** Returns true if the service is down; answers with an error only in the `error` mode. */
	private refuseCall(response: ServerResponse): boolean {
		if (this.downMode === 'error') {
			sendAnswer(response, makeError(503, GRPC_UNAVAILABLE, 'etcdserver: no leader'));
		}
		return this.downMode !== 'up';
	}

	private runCall(kind: Exclude<KeyValueCallKind, 'watch'>, body: unknown): CallAnswer {
		switch (kind) {
			case 'range':
				return answerRange(this.store, this.selectListEntries(), body as WireRangeRequest);
			case 'txn':
				return answerTxn(this.store, body as WireTxnRequest);
			case 'leaseGrant':
				return answerLeaseGrant(this.store, body as { TTL: string }, performance.now());
			case 'leaseKeepalive':
				return answerLeaseKeepalive(this.store, body as { ID: string }, performance.now());
			case 'leaseRevoke':
				return answerLeaseRevoke(this.store, body as { ID: string });
		}
	}

	private selectListEntries(): ListEntries {
		const { staleSnapshot } = this;
		if (!staleSnapshot) {
			return (key, end) => this.store.list(key, end);
		}
		const copy = new RevisionStore(() => undefined);
		copy.restore(staleSnapshot);
		return (key, end) => copy.list(key, end);
	}
}
