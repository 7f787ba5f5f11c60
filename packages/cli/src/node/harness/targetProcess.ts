/** An engine or application stand-in run as a child process. */
import { readFile } from 'node:fs/promises';
import type { TargetInstance } from '@papayawell/core';
import type { ApplicationLogEntry, EngineLogEntry, Fault } from '@papayawell/stand-ins';
import { callJson } from './httpJson.js';
import type { ManagedProcess } from './managedProcess.js';
import type { ProcessGroup } from './processGroup.js';

export interface TargetProcessOptions {
	readonly target: TargetInstance;
	readonly logFile: string;
	readonly args: readonly string[];
}

export class TargetProcess {
	private process: ManagedProcess;
	private startCount = 1;

	constructor(
		private readonly group: ProcessGroup,
		private readonly options: TargetProcessOptions,
	) {
		this.process = this.startProcess();
	}

	/** The target as the instance list shows it; each start has its own incarnation. */
	public get target(): TargetInstance {
		return { ...this.options.target, incarnation: `${this.options.target.instance}-${this.startCount}` };
	}

	public get name(): string {
		return this.options.target.instance;
	}

	public get hasExited(): boolean {
		return this.process.hasExited;
	}

	public async waitUntilReady(): Promise<void> {
		await this.process.waitForLine((line) => line.startsWith('{"origin"'));
	}

	public async addFault(fault: Fault): Promise<void> {
		await callJson(`${this.options.target.origin}/stand-in/faults`, { add: fault });
	}

	public async clearFaults(): Promise<void> {
		await callJson(`${this.options.target.origin}/stand-in/faults`, { clear: true });
	}

	/** Sets the number of requests on an engine that come from outside the fleet's routers. */
	public async setExternalRequests(externalRequests: number): Promise<void> {
		await callJson(`${this.options.target.origin}/stand-in/switches`, { externalRequests });
	}

	public async kill(): Promise<void> {
		await this.process.kill();
	}

	/** Kills the target and starts it on the same port, as a new incarnation. */
	public async restart(): Promise<void> {
		await this.process.kill();
		this.startCount += 1;
		this.process = this.startProcess();
		await this.waitUntilReady();
	}

	/** Reads the log of an application, including that of earlier incarnations. */
	public async readApplicationLog(): Promise<readonly ApplicationLogEntry[]> {
		return (await this.readLog()) as ApplicationLogEntry[];
	}

	/** Reads the log of an engine, including that of earlier incarnations. */
	public async readEngineLog(): Promise<readonly EngineLogEntry[]> {
		return (await this.readLog()) as EngineLogEntry[];
	}

	private startProcess(): ManagedProcess {
		const { target, logFile, args } = this.options;
		const port = new URL(target.origin).port;
		return this.group.start(target.instance, [
			'stand-in',
			target.kind,
			'--port',
			port,
			'--log-file',
			logFile,
			...args,
		]);
	}

	private async readLog(): Promise<unknown[]> {
		const text = await readFile(this.options.logFile, 'utf8').catch(() => '');
		return text
			.split('\n')
			.filter((line) => line !== '')
			.map((line) => JSON.parse(line) as unknown);
	}
}
