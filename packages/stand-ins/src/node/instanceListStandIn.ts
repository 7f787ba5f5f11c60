/** Fake of the platform's instance list. Tests can delay it, truncate it and make it unreachable. */
import type { ListedState } from '@papayawell/core';
import { z } from 'zod';
import type { ListedInstance } from '../common/endpointSlice.js';
import { ENDPOINT_SLICES_PATH, encodeEndpointSlices, getInstanceName } from '../common/endpointSlice.js';
import type { Fault, FaultKind } from '../common/fault.js';
import { LaggedValue } from '../common/laggedValue.js';
import { listedInstanceSchema } from '../common/listedInstanceSchema.js';
import type { StandInExchange, StandInOptions } from './standInServer.js';
import { hashBody, parseJson, readHeader, sendJson, StandInServer } from './standInServer.js';

export interface InstanceListStandInOptions extends StandInOptions {
	/** Delay with which changes appear in the list that is served, in ms. */
	readonly lagMs?: number;
}

/** One request for the list. */
export interface InstanceListLogEntry {
	/** Epoch milliseconds. */
	readonly atMs: number;
	readonly event: 'sent' | 'not-modified' | 'broken';
	readonly instances: number;
}

const commandSchema = z.union([
	z.strictObject({ put: listedInstanceSchema }),
	z.strictObject({ leaving: z.string() }),
	z.strictObject({ remove: z.string() }),
	z.strictObject({ lagMs: z.number().nonnegative() }),
]);

/** Starts an instance list stand-in on 127.0.0.1, by default on a free port. */
export async function startInstanceListStandIn(
	options: InstanceListStandInOptions = {},
): Promise<InstanceListStandIn> {
	const list = new InstanceListStandIn(options);
	await list.listen();
	return list;
}

export class InstanceListStandIn {
	private readonly server: StandInServer<InstanceListLogEntry>;
	private instances: readonly ListedInstance[] = [];
	private readonly publishedInstances: LaggedValue<readonly ListedInstance[]>;
	private resourceVersion = 0;

	constructor(options: InstanceListStandInOptions) {
		this.publishedInstances = new LaggedValue<readonly ListedInstance[]>([], options.lagMs ?? 0);
		this.server = new StandInServer(options, (exchange) => {
			this.route(exchange);
		});
	}

	public get origin(): string {
		return this.server.origin;
	}

	/** URL of the EndpointSlice list. */
	public get url(): string {
		return `${this.server.origin}${ENDPOINT_SLICES_PATH}`;
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

	public readLog(): readonly InstanceListLogEntry[] {
		return this.server.readLog();
	}

	public setLag(lagMs: number): void {
		this.publishedInstances.setLag(lagMs);
	}

	/** Adds the instance, or replaces the one of the same name. */
	public put(listed: ListedInstance): void {
		const name = getInstanceName(listed);
		this.publish([...this.instances.filter((other) => getInstanceName(other) !== name), listed]);
	}

	/** Marks an instance as live or leaving. */
	public setState(name: string, state: ListedState): void {
		this.publish(
			this.instances.map((listed) => (getInstanceName(listed) === name ? { ...listed, state } : listed)),
		);
	}

	public remove(name: string): void {
		this.publish(this.instances.filter((listed) => getInstanceName(listed) !== name));
	}

	private publish(instances: readonly ListedInstance[]): void {
		this.instances = instances;
		this.resourceVersion += 1;
		this.publishedInstances.set(instances, performance.now());
	}

	private route(exchange: StandInExchange): void {
		const { request, response, path, body } = exchange;
		if (request.method === 'POST' && path === '/stand-in/instances') {
			this.serveCommand(body, response);
			return;
		}
		if (request.method === 'GET' && path.startsWith(ENDPOINT_SLICES_PATH)) {
			this.serveList(exchange);
			return;
		}
		sendJson(response, 404, { message: 'No such path.' });
	}

	private serveCommand(body: string, response: StandInExchange['response']): void {
		const command = commandSchema.safeParse(parseJson(body));
		if (!command.success) {
			sendJson(response, 400, { message: command.error.message });
			return;
		}
		this.runCommand(command.data);
		sendJson(response, 200, { instances: this.instances.length });
	}

	private runCommand(command: z.infer<typeof commandSchema>): void {
		if ('put' in command) {
			this.put(command.put);
		} else if ('leaving' in command) {
			this.setState(command.leaving, 'leaving');
		} else if ('remove' in command) {
			this.remove(command.remove);
		} else {
			this.setLag(command.lagMs);
		}
	}

	private serveList({ request, response }: StandInExchange): void {
		const instances = this.readPublished();
		if (this.server.faults.consume('unreachable') !== undefined) {
			this.record('broken', 0);
			response.destroy();
			return;
		}
		const document = encodeEndpointSlices(instances, this.resourceVersion);
		const etag = `"${hashBody(JSON.stringify(instances))}"`;
		if (readHeader(request, 'if-none-match') === etag) {
			this.record('not-modified', instances.length);
			response.writeHead(304, { etag }).end();
			return;
		}
		this.record('sent', instances.length);
		sendJson(response, 200, document, { etag });
	}

	private readPublished(): readonly ListedInstance[] {
		const instances = this.publishedInstances.read(performance.now());
		const shrink = this.server.faults.consume('shrink');
		return shrink === undefined ? instances : instances.slice(0, shrink.keep);
	}

	private record(event: InstanceListLogEntry['event'], instances: number): void {
		this.server.record({ atMs: Date.now(), event, instances });
	}
}
