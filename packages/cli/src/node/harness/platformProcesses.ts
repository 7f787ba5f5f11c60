/** Stand-ins of the key-value service and the instance list, each run as a child process. */
import type { ListedRouter, ListedTarget } from '@papayawell/core';
import type { Fault, KeyValueFaults } from '@papayawell/stand-ins';
import { ENDPOINT_SLICES_PATH } from '@papayawell/stand-ins';
import { callJson } from './httpJson.js';
import type { ManagedProcess } from './managedProcess.js';
import { findFreePort } from './ports.js';
import type { ProcessGroup } from './processGroup.js';

const LOOPBACK_ORIGIN = 'http://127.0.0.1';

export class KeyValueProcess {
	private constructor(
		private readonly process: ManagedProcess,
		public readonly origin: string,
		private readonly controlOrigin: string,
	) {}

	public static async start(group: ProcessGroup): Promise<KeyValueProcess> {
		const port = await findFreePort();
		const controlPort = await findFreePort();
		const args = ['stand-in', 'key-value', '--port', `${port}`, '--control-port', `${controlPort}`];
		const started = group.start('key-value', args);
		await started.waitForLine((line) => line.startsWith('{"origin"'));
		return new KeyValueProcess(started, `${LOOPBACK_ORIGIN}:${port}`, `${LOOPBACK_ORIGIN}:${controlPort}`);
	}

	public async setFaults(faults: KeyValueFaults): Promise<void> {
		await callJson(`${this.controlOrigin}/stand-in/faults`, faults);
	}

	/** Returns the number of calls that the service has received, of all kinds. */
	public async countCalls(): Promise<number> {
		const { body } = await callJson(`${this.controlOrigin}/stand-in/calls`);
		const { calls } = body as { readonly calls: Readonly<Record<string, number>> };
		return Object.values(calls).reduce((sum, count) => sum + count, 0);
	}

	public async stop(): Promise<void> {
		await this.process.stop();
	}
}

export class InstanceListProcess {
	private constructor(private readonly origin: string) {}

	public static async start(group: ProcessGroup, lagMs: number): Promise<InstanceListProcess> {
		const port = await findFreePort();
		const args = ['stand-in', 'instance-list', '--port', `${port}`, '--lag-ms', `${lagMs}`];
		await group.start('instance-list', args).waitForLine((line) => line.startsWith('{"origin"'));
		return new InstanceListProcess(`${LOOPBACK_ORIGIN}:${port}`);
	}

	public get url(): string {
		return `${this.origin}${ENDPOINT_SLICES_PATH}`;
	}

	public async put(listed: ListedRouter | ListedTarget): Promise<void> {
		await this.sendCommand({ put: listed });
	}

	public async markLeaving(instance: string): Promise<void> {
		await this.sendCommand({ leaving: instance });
	}

	public async remove(instance: string): Promise<void> {
		await this.sendCommand({ remove: instance });
	}

	public async setLag(lagMs: number): Promise<void> {
		await this.sendCommand({ lagMs });
	}

	public async addFault(fault: Fault): Promise<void> {
		await callJson(`${this.origin}/stand-in/faults`, { add: fault });
	}

	public async clearFaults(): Promise<void> {
		await callJson(`${this.origin}/stand-in/faults`, { clear: true });
	}

	private async sendCommand(body: unknown): Promise<void> {
		const response = await callJson(`${this.origin}/stand-in/instances`, body);
		if (response.status !== 200) {
			throw new Error(`the instance list answered ${response.status}: ${JSON.stringify(response.body)}`);
		}
	}
}
