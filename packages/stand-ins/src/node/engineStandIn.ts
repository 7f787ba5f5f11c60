/** Fake model engine. It implements the HTTP interfaces of common engines and supports fault injection. */
import { z } from 'zod';
import type { Fault, FaultKind } from '../common/fault.js';
import { LaggedValue } from '../common/laggedValue.js';
import type { OrderState } from '../common/orderExecutor.js';
import { OrderExecutor, orderSchema } from '../common/orderExecutor.js';
import { PrefixCache } from '../common/prefixCache.js';
import { BatchLoop } from './batchLoop.js';
import { CacheEventStream } from './cacheEventStream.js';
import { EngineChats } from './engineChats.js';
import type { EngineLogEntry, EngineSettings, EngineStandInOptions } from './engineOptions.js';
import { resolveEngineSettings } from './engineOptions.js';
import { renderLoad } from './loadMetrics.js';
import type { LoadSample } from './loadMetrics.js';
import type { StandInExchange } from './standInServer.js';
import { parseJson, sendJson, StandInServer } from './standInServer.js';

const adapterSchema = z.object({ lora_name: z.string(), lora_path: z.string() });

const switchSchema = z.strictObject({
	externalRequests: z.number().int().nonnegative().optional(),
	loadReportLagMs: z.number().nonnegative().optional(),
	clearCache: z.literal(true).optional(),
});

export type EngineSwitches = z.infer<typeof switchSchema>;

/** Starts an engine stand-in on 127.0.0.1, by default on a free port. */
export async function startEngineStandIn(options: EngineStandInOptions = {}): Promise<EngineStandIn> {
	const engine = new EngineStandIn(options);
	await engine.listen();
	return engine;
}

export class EngineStandIn {
	private readonly settings: EngineSettings;
	private readonly server: StandInServer<EngineLogEntry>;
	private readonly batch: BatchLoop;
	private readonly cache: PrefixCache;
	private readonly cacheEvents: CacheEventStream;
	private readonly load: LaggedValue<LoadSample>;
	private readonly orders: OrderExecutor;
	private readonly chats: EngineChats;

	constructor(options: EngineStandInOptions) {
		this.settings = resolveEngineSettings(options);
		this.server = new StandInServer(options, (exchange) => this.route(exchange));
		this.load = new LaggedValue({ running: 0, waiting: 0 }, this.settings.loadReportLagMs);
		this.batch = new BatchLoop(this.settings.batch, () => {
			this.recordLoad();
		});
		this.cache = new PrefixCache(this.settings.cacheTokens);
		this.cacheEvents = new CacheEventStream(this.settings.cacheEvents);
		this.orders = new OrderExecutor(this.settings.checksFencing);
		this.chats = new EngineChats({
			settings: this.settings,
			server: this.server,
			batch: this.batch,
			cache: this.cache,
			cacheEvents: this.cacheEvents,
		});
	}

	public get origin(): string {
		return this.server.origin;
	}

	public get isCrashed(): boolean {
		return this.server.isCrashed;
	}

	public async listen(): Promise<void> {
		await this.server.listen();
	}

	public async close(): Promise<void> {
		this.batch.stop();
		this.chats.dispose();
		await this.server.close();
	}

	public addFault(fault: Fault): void {
		this.server.addFault(fault);
	}

	public clearFaults(kind?: FaultKind): void {
		this.server.clearFaults(kind);
	}

	public crash(): void {
		this.server.crash();
	}

	/** Sets the number of external requests or the load report lag, or clears the cache. */
	public set(switches: EngineSwitches): void {
		if (switches.externalRequests !== undefined) {
			this.batch.setExternalRequests(switches.externalRequests);
		}
		if (switches.loadReportLagMs !== undefined) {
			this.load.setLag(switches.loadReportLagMs);
		}
		if (switches.clearCache === true) {
			this.cache.clear();
			this.cacheEvents.publish({ kind: 'cleared' });
		}
	}

	public readLog(): readonly EngineLogEntry[] {
		return this.server.readLog();
	}

	public readOrders(): OrderState {
		return this.orders.readState();
	}

	private recordLoad(): void {
		const sample = { running: this.batch.runningCount, waiting: this.batch.waitingCount };
		this.load.set(sample, performance.now());
	}

	private async route(exchange: StandInExchange): Promise<void> {
		const { request, response, path } = exchange;
		switch (`${request.method ?? ''} ${path}`) {
			case 'POST /v1/chat/completions':
				await this.chats.handle(exchange);
				return;
			case 'GET /metrics':
				this.serveMetrics(exchange);
				return;
			case 'GET /cache-events':
				this.cacheEvents.subscribe(response);
				return;
			case 'POST /orders':
				this.serveOrder(exchange);
				return;
			case 'GET /orders/state':
				sendJson(response, 200, this.orders.readState());
				return;
			case 'POST /v1/load_lora_adapter':
				this.serveAdapter(exchange);
				return;
			case 'POST /stand-in/switches':
				this.serveSwitches(exchange);
				return;
			default:
				sendJson(response, 404, { error: { message: 'No such path.' } });
		}
	}

	private serveMetrics({ response }: StandInExchange): void {
		const text = renderLoad('engine', this.load.read(performance.now()));
		response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
	}

	private serveOrder({ body, response }: StandInExchange): void {
		const order = orderSchema.safeParse(parseJson(body));
		if (!order.success) {
			sendJson(response, 400, { error: { message: order.error.message } });
			return;
		}
		const refusal = this.orders.apply(order.data, Date.now());
		if (refusal === undefined) {
			sendJson(response, 200, this.orders.readState());
			return;
		}
		sendJson(response, refusal.kind === 'expired' ? 410 : 409, { refusal });
	}

	/** Serves the adapter call of common engines, which has neither fencing token nor expiry. */
	private serveAdapter({ body, response }: StandInExchange): void {
		const adapter = adapterSchema.safeParse(parseJson(body));
		if (!adapter.success) {
			sendJson(response, 400, { error: { message: adapter.error.message } });
			return;
		}
		const { lora_name: name, lora_path: version } = adapter.data;
		const fencing = this.orders.readState().fencing;
		const command = { kind: 'load-adapter', name, version } as const;
		this.orders.apply({ fencing, expiresAtMs: Number.POSITIVE_INFINITY, command }, Date.now());
		sendJson(response, 200, { message: `Adapter ${name} is loaded.` });
	}

	private serveSwitches({ body, response }: StandInExchange): void {
		const switches = switchSchema.safeParse(parseJson(body));
		if (!switches.success) {
			sendJson(response, 400, { error: { message: switches.error.message } });
			return;
		}
		this.set(switches.data);
		sendJson(response, 200, {});
	}
}
