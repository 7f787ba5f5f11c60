/** Tracks the child processes of one harness and kills them when this process exits or is interrupted. */
import { ManagedProcess } from './managedProcess.js';

const SIGNALS: readonly NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGHUP'];
const EXIT_INTERRUPTED = 130;

export class ProcessGroup {
	private readonly processes = new Set<ManagedProcess>();
	private readonly killAll = (): void => {
		for (const process of this.processes) {
			process.signal('SIGKILL');
		}
	};
	private readonly handleSignal = (): void => {
		this.killAll();
		process.exit(EXIT_INTERRUPTED);
	};

	constructor() {
		process.on('exit', this.killAll);
		for (const signal of SIGNALS) {
			process.on(signal, this.handleSignal);
		}
	}

	public start(
		name: string,
		args: readonly string[],
		environment?: Readonly<Record<string, string>>,
	): ManagedProcess {
		const started = new ManagedProcess(name, args, environment);
		this.processes.add(started);
		void started.exited.then(() => this.processes.delete(started));
		return started;
	}

	/** Returns the names of the running processes. */
	public listNames(): readonly string[] {
		return [...this.processes].map((process) => process.name);
	}

	/** Kills all processes and waits until they have exited. */
	public async close(): Promise<void> {
		await Promise.all([...this.processes].map((process) => process.kill()));
		process.off('exit', this.killAll);
		for (const signal of SIGNALS) {
			process.off(signal, this.handleSignal);
		}
	}
}
