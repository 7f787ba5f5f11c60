/** A child process of the harness: captures its output, sends signals and observes its exit. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const CLI_ENTRY_POINT = fileURLToPath(new URL('../../../../bin/papayawell.js', import.meta.url));
const EXIT_WITH_PARENT = new URL('./exitWithParent.js', import.meta.url).href;
const MAX_RETAINED_LINES = 5_000;
const STOP_TIMEOUT_MS = 5_000;

export interface ProcessExit {
	readonly code: number | null;
	readonly signal: NodeJS.Signals | null;
}

/** Runs the `papayawell` command with the given arguments. */
export class ManagedProcess {
	/** The most recent lines of stdout and stderr, oldest first. */
	public readonly lines: string[] = [];
	public readonly exited: Promise<ProcessExit>;
	private readonly child: ChildProcess;
	private readonly listeners = new Set<(line: string) => void>();
	private exit: ProcessExit | undefined;

	constructor(
		public readonly name: string,
		args: readonly string[],
		environment: Readonly<Record<string, string>> = {},
	) {
		this.child = spawn(process.execPath, ['--import', EXIT_WITH_PARENT, CLI_ENTRY_POINT, ...args], {
			stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
			env: { ...process.env, ...environment },
		});
		this.collectLines(this.child.stdout);
		this.collectLines(this.child.stderr);
		this.exited = new Promise((resolve) => {
			this.child.once('exit', (code, signal) => {
				this.exit = { code, signal };
				resolve(this.exit);
			});
		});
	}

	public get processId(): number {
		return this.child.pid ?? 0;
	}

	public get hasExited(): boolean {
		return this.exit !== undefined;
	}

	/** Waits for a line of output that `matches`; rejects if the process exits first. */
	public async waitForLine(matches: (line: string) => boolean): Promise<string> {
		const earlierLine = this.lines.find(matches);
		if (earlierLine !== undefined) {
			return earlierLine;
		}
		return new Promise((resolve, reject) => {
			const listener = (line: string): void => {
				if (matches(line)) {
					this.listeners.delete(listener);
					resolve(line);
				}
			};
			this.listeners.add(listener);
			void this.exited.then(() => {
				reject(
					new Error(`${this.name} exited before the awaited output:\n${this.lines.slice(-20).join('\n')}`),
				);
			});
		});
	}

	public signal(signal: NodeJS.Signals): void {
		this.child.kill(signal);
	}

	/** Kills the process and waits for its exit. */
	public async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.exited;
	}

	/** Sends SIGTERM, and SIGKILL if the process has not exited within `timeoutMs`. Resumes a paused process first. */
	public async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<ProcessExit> {
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMs);
		const exit = await this.exited;
		clearTimeout(timer);
		return exit;
	}

	private collectLines(stream: NodeJS.ReadableStream | null): void {
		if (stream === null) {
			return;
		}
		createInterface({ input: stream }).on('line', (line) => {
			this.lines.push(line);
			if (this.lines.length > MAX_RETAINED_LINES) {
				this.lines.splice(0, MAX_RETAINED_LINES / 2);
			}
			for (const listener of this.listeners) {
				listener(line);
			}
		});
	}
}
