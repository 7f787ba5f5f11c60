/** HTTP server of the engine, application and instance list stand-ins, with fault injection and a log. */
import { createHash } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Fault, FaultKind } from '../common/fault.js';
import { FaultRegistry } from '../common/fault.js';
import type { FaultCommand } from '../common/faultSchema.js';
import { faultCommandSchema } from '../common/faultSchema.js';

const LOOPBACK = '127.0.0.1';
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const DIGEST_HEX_DIGITS = 16;

/** Options that these stand-ins have in common. */
export interface StandInOptions {
	/** Port on 127.0.0.1; 0 (the default) selects a free port. */
	readonly port?: number;
	/** Replaces the default reaction to a crash, which closes the port and all connections. */
	readonly onCrash?: () => void;
	/** File to append log entries to, one JSON document per line. Its contents survive a crash. */
	readonly logFile?: string;
}

/** An HTTP request with its complete body, and the response to it. */
export interface StandInExchange {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly path: string;
	readonly body: string;
}

export type StandInHandler = (exchange: StandInExchange) => void | Promise<void>;

/** Serves `/health`, `/stand-in/log` and `/stand-in/faults`, and passes all other requests to the handler. */
export class StandInServer<LogEntry> {
	public readonly faults = new FaultRegistry();
	private readonly entries: LogEntry[] = [];
	private readonly server: Server;
	private port = 0;
	private hasCrashed = false;
	/** Reopens the port after a `refuse` fault. */
	private refusalTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly options: StandInOptions,
		private readonly handler: StandInHandler,
	) {
		this.server = createServer((request, response) => {
			this.serve(request, response).catch((error: unknown) => {
				response.destroy(error instanceof Error ? error : undefined);
			});
		});
		this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
	}

	public get origin(): string {
		return `http://${LOOPBACK}:${this.port}`;
	}

	/** Whether the stand-in has crashed. */
	public get isCrashed(): boolean {
		return this.hasCrashed;
	}

	/** Returns the log entries so far, oldest first. */
	public readLog(): readonly LogEntry[] {
		return this.entries;
	}

	public record(entry: LogEntry): void {
		this.entries.push(entry);
		if (this.options.logFile !== undefined) {
			appendFileSync(this.options.logFile, `${JSON.stringify(entry)}\n`);
		}
	}

	public async listen(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.options.port ?? 0, LOOPBACK, resolve);
		});
		this.port = (this.server.address() as AddressInfo).port;
	}

	/** Activates a fault. */
	public addFault(fault: Fault): void {
		if (fault.kind === 'refuse') {
			this.refuseConnections(fault.durationMs);
			return;
		}
		this.faults.add(fault);
	}

	/** Clears all faults, or those of one kind. A `refuse` fault ends only when its duration has passed. */
	public clearFaults(kind?: FaultKind): void {
		this.faults.clear(kind);
	}

	/** Closes every connection and the port, as the end of the process would, or calls `onCrash`. */
	public crash(): void {
		this.hasCrashed = true;
		if (this.options.onCrash !== undefined) {
			this.options.onCrash();
			return;
		}
		this.server.close();
		this.server.closeAllConnections();
	}

	public async close(): Promise<void> {
		clearTimeout(this.refusalTimer);
		await new Promise<void>((resolve) => {
			this.server.close(() => {
				resolve();
			});
			this.server.closeAllConnections();
		});
	}

	private refuseConnections(durationMs: number): void {
		this.server.close();
		this.server.closeAllConnections();
		clearTimeout(this.refusalTimer);
		this.refusalTimer = setTimeout(() => {
			if (!this.hasCrashed) {
				this.server.listen(this.port, LOOPBACK);
			}
		}, durationMs).unref();
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		const path = request.url ?? '/';
		if (path === '/health') {
			sendJson(response, 200, { status: 'ok' });
			return;
		}
		if (path === '/stand-in/log') {
			sendJson(response, 200, { entries: this.entries });
			return;
		}
		if (path === '/stand-in/faults') {
			this.serveFaults(body, response);
			return;
		}
		await this.handler({ request, response, path, body });
	}

	private runCommand(command: FaultCommand, response: ServerResponse): void {
		if ('clear' in command) {
			this.clearFaults(command.clear === true ? undefined : (command.clear as FaultKind));
			return;
		}
		const { add: fault } = command;
		if (fault.kind === 'refuse') {
			// A `refuse` fault closes all connections, so it is applied after the response to this command has been sent.
			response.once('finish', () => {
				this.addFault(fault);
			});
			return;
		}
		this.addFault(fault);
	}

	private serveFaults(body: string, response: ServerResponse): void {
		const command = faultCommandSchema.safeParse(parseJson(body === '' ? '{}' : body));
		if (!command.success) {
			sendJson(response, 400, { error: { message: command.error.message } });
			return;
		}
		this.runCommand(command.data, response);
		sendJson(response, 200, { faults: this.faults.list() });
	}
}

/** Sends a JSON document with optional additional headers. */
export function sendJson(
	response: ServerResponse,
	status: number,
	document: unknown,
	headers: Readonly<Record<string, string>> = {},
): void {
	const text = JSON.stringify(document);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...headers,
	});
	response.end(text);
}

/** Parses JSON; returns undefined if it is malformed. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

/** Returns the first 16 hexadecimal digits of the SHA-256 digest of `body`. */
export function hashBody(body: string): string {
	return createHash('sha256').update(body).digest('hex').slice(0, DIGEST_HEX_DIGITS);
}

/** Returns the first value of a header, or undefined if it is absent. */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}
	return Buffer.concat(chunks).toString('utf8');
}
