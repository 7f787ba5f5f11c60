/** `papayawell stand-in engine|application|key-value|instance-list`: runs one stand-in in its own process. */
import {
	startApplicationStandIn,
	startEngineStandIn,
	startInstanceListStandIn,
	startKeyValueStandIn,
} from '@papayawell/stand-ins';
import { Command, Option } from 'clipanion';
import { waitForShutdown } from './shutdown.js';

/** A running stand-in. */
interface StartedStandIn {
	readonly origin: string;
	close(): Promise<void>;
}

const CATEGORY = 'Stand-ins';

abstract class StandInCommand extends Command {
	protected readonly port = Option.String('--port', '0', {
		description: 'Port on 127.0.0.1; 0 selects a free port.',
	});

	/** Prints the origin as one line of JSON, which signals readiness, and runs until SIGINT or SIGTERM. */
	protected async serve(standIn: StartedStandIn): Promise<number> {
		this.context.stdout.write(`${JSON.stringify({ origin: standIn.origin })}\n`);
		await waitForShutdown();
		await standIn.close();
		return 0;
	}
}

/** Ends the process immediately and without cleanup, as a crash in native code does. */
function crashProcess(): void {
	process.kill(process.pid, 'SIGKILL');
}

export class StandInEngineCommand extends StandInCommand {
	public static override readonly paths = [['stand-in', 'engine']];
	public static override readonly usage = Command.Usage({
		category: CATEGORY,
		description: 'Run a simulated model engine.',
	});

	private readonly logFile = Option.String('--log-file', { description: 'File to append log entries to.' });
	private readonly capacity = Option.String('--capacity', '32');
	private readonly cacheTokens = Option.String('--cache-tokens', '200000');
	private readonly tokenMs = Option.String('--token-ms', '4');
	private readonly reportLagMs = Option.String('--report-lag-ms', '200');
	private readonly ignoresFencing = Option.Boolean('--ignores-fencing', false);

	public override async execute(): Promise<number> {
		const engine = await startEngineStandIn({
			port: Number(this.port),
			onCrash: crashProcess,
			...(this.logFile === undefined ? {} : { logFile: this.logFile }),
			batch: { capacity: Number(this.capacity), tokenMs: Number(this.tokenMs) },
			cacheTokens: Number(this.cacheTokens),
			loadReportLagMs: Number(this.reportLagMs),
			checksFencing: !this.ignoresFencing,
		});
		return this.serve(engine);
	}
}

export class StandInApplicationCommand extends StandInCommand {
	public static override readonly paths = [['stand-in', 'application']];
	public static override readonly usage = Command.Usage({
		category: CATEGORY,
		description: 'Run a simulated application.',
	});

	private readonly logFile = Option.String('--log-file', { description: 'File to append log entries to.' });
	private readonly capacity = Option.String('--capacity', '64');
	private readonly serviceMs = Option.String('--service-ms', '5');

	public override async execute(): Promise<number> {
		const application = await startApplicationStandIn({
			port: Number(this.port),
			onCrash: crashProcess,
			...(this.logFile === undefined ? {} : { logFile: this.logFile }),
			capacity: Number(this.capacity),
			serviceMs: Number(this.serviceMs),
		});
		return this.serve(application);
	}
}

export class StandInKeyValueCommand extends StandInCommand {
	public static override readonly paths = [['stand-in', 'key-value']];
	public static override readonly usage = Command.Usage({
		category: CATEGORY,
		description: 'Run a simulated key-value service.',
	});

	private readonly controlPort = Option.String('--control-port', {
		description: 'Second port for fault injection, which stays open while the service refuses connections.',
	});
	private readonly seed = Option.String('--seed', '1');

	public override async execute(): Promise<number> {
		const controlPort = this.controlPort === undefined ? {} : { controlPort: Number(this.controlPort) };
		const port = Number(this.port);
		return this.serve(await startKeyValueStandIn({ port, seed: this.seed, ...controlPort }));
	}
}

export class StandInInstanceListCommand extends StandInCommand {
	public static override readonly paths = [['stand-in', 'instance-list']];
	public static override readonly usage = Command.Usage({
		category: CATEGORY,
		description: 'Run a simulated instance list.',
	});

	private readonly lagMs = Option.String('--lag-ms', '0');

	public override async execute(): Promise<number> {
		return this.serve(await startInstanceListStandIn({ port: Number(this.port), lagMs: Number(this.lagMs) }));
	}
}
