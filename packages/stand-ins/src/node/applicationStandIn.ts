/** Fake application. It logs every execution, so that a test can check which calls ran and how often. */
import { REQUEST_ID_HEADER } from '@papayawell/core';
import { hashTextToHex } from '@papayawell/core';
import { z } from 'zod';
import type { Fault, FaultKind } from '../common/fault.js';
import { renderLoad } from './loadMetrics.js';
import type { StandInExchange, StandInOptions } from './standInServer.js';
import { hashBody, parseJson, readHeader, sendJson, StandInServer } from './standInServer.js';

export interface ApplicationStandInOptions extends StandInOptions {
	/** Execution time of a call whose body has no `serviceMs`, in ms. */
	readonly serviceMs?: number;
	/** Maximum number of concurrent calls; further calls are queued in order of arrival. */
	readonly capacity?: number;
	/** Name of the header that carries the caller's idempotency key. */
	readonly keyHeader?: string;
}

/** One step of a call. A call with a side effect takes effect at `executed`. */
export interface ApplicationLogEntry {
	/** Epoch milliseconds. */
	readonly atMs: number;
	readonly event: 'received' | 'executed' | 'answered';
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly idempotencyKey: string;
	/** See `hashBody`. */
	readonly bodyDigest: string;
}

const DEFAULT_SERVICE_MS = 5;
const DEFAULT_CAPACITY = 64;
/** More than the bytes that a truncated answer sends. */
const TRUNCATED_CONTENT_LENGTH = 40;

const serviceSchema = z.object({ serviceMs: z.number().nonnegative() });

/** Starts an application stand-in on 127.0.0.1, by default on a free port. */
export async function startApplicationStandIn(
	options: ApplicationStandInOptions = {},
): Promise<ApplicationStandIn> {
	const application = new ApplicationStandIn(options);
	await application.listen();
	return application;
}

/** Computes the confirmation that any application stand-in answers to this call. */
export function computeExpectedConfirmation(method: string, path: string, body: string): string {
	return hashTextToHex(`${method} ${path}\n${body}`);
}

export class ApplicationStandIn {
	private readonly server: StandInServer<ApplicationLogEntry>;
	private readonly capacity: number;
	private runningCalls = 0;
	private readonly slotWaiters: (() => void)[] = [];

	constructor(private readonly options: ApplicationStandInOptions) {
		this.capacity = options.capacity ?? DEFAULT_CAPACITY;
		this.server = new StandInServer(options, (exchange) => this.route(exchange));
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

	public readLog(): readonly ApplicationLogEntry[] {
		return this.server.readLog();
	}

	private async route(exchange: StandInExchange): Promise<void> {
		if (exchange.path === '/metrics') {
			const text = renderLoad('application', {
				running: this.runningCalls,
				waiting: this.slotWaiters.length,
			});
			exchange.response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
			return;
		}
		await this.acquireSlot();
		try {
			await this.execute(exchange);
		} finally {
			this.releaseSlot();
		}
	}

	private async acquireSlot(): Promise<void> {
		if (this.runningCalls >= this.capacity) {
			await new Promise<void>((resolve) => this.slotWaiters.push(resolve));
		}
		this.runningCalls += 1;
	}

	private releaseSlot(): void {
		this.runningCalls -= 1;
		this.slotWaiters.shift()?.();
	}

	private async execute(exchange: StandInExchange): Promise<void> {
		const { faults } = this.server;
		if (this.crashBeforeExecution(exchange)) {
			return;
		}
		const late = faults.consume('late');
		this.record(exchange, 'received');
		await sleep(this.readServiceMs(exchange.body));
		this.record(exchange, 'executed');
		if (faults.consume('crash', (fault) => fault.at !== 'before') !== undefined) {
			this.server.crash();
			return;
		}
		await sleep(late?.delayMs ?? 0);
		this.answer(exchange);
	}

	private crashBeforeExecution({ body }: StandInExchange): boolean {
		const { faults } = this.server;
		const isCrashing =
			faults.consume('crash', (fault) => fault.at === 'before') !== undefined ||
			faults.consume('crash-marker', (fault) => body.includes(fault.marker)) !== undefined;
		if (isCrashing) {
			this.server.crash();
		}
		return isCrashing;
	}

	private answer(exchange: StandInExchange): void {
		const { faults } = this.server;
		const { request, response, path, body } = exchange;
		if (faults.consume('stall') !== undefined) {
			return;
		}
		const isCrossed = faults.consume('crossed') !== undefined;
		const prefix = isCrossed ? 'crossed-' : '';
		const requestId = `${prefix}${readHeader(request, REQUEST_ID_HEADER) ?? 'none'}`;
		const confirmation = computeExpectedConfirmation(request.method ?? '', path, `${prefix}${body}`);
		if (faults.consume('cut') !== undefined) {
			this.sendTruncated(response);
			return;
		}
		this.record(exchange, 'answered');
		sendJson(response, 200, { confirmation }, { [REQUEST_ID_HEADER]: requestId });
	}

	private sendTruncated(response: StandInExchange['response']): void {
		response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': TRUNCATED_CONTENT_LENGTH,
		});
		response.write('{"confirmation":', () => {
			response.destroy();
		});
	}

	private readServiceMs(body: string): number {
		const parsed = serviceSchema.safeParse(parseJson(body));
		return parsed.success ? parsed.data.serviceMs : (this.options.serviceMs ?? DEFAULT_SERVICE_MS);
	}

	private record(exchange: StandInExchange, event: ApplicationLogEntry['event']): void {
		const { request, path, body } = exchange;
		this.server.record({
			atMs: Date.now(),
			event,
			requestId: readHeader(request, REQUEST_ID_HEADER) ?? '',
			method: request.method ?? '',
			path,
			idempotencyKey: readHeader(request, this.options.keyHeader ?? 'idempotency-key') ?? '',
			bodyDigest: hashBody(body),
		});
	}
}

async function sleep(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await new Promise((resolve) => setTimeout(resolve, durationMs));
	}
}
