/** `papayawell load`: sends the requests of a trace to a fleet and checks every answer. */
import { readFile } from 'node:fs/promises';
import { formatFinding } from '@papayawell/core';
import type { TraceEvent } from '@papayawell/replay';
import { parseTrace } from '@papayawell/replay';
import { Command, Option } from 'clipanion';
import { makeCallerKey } from '../harness/fleetRules.js';
import type { LoadRun } from '../load/loadRun.js';
import { formatLoadRun, runEmbeddedLoad, runLoad } from '../load/loadRun.js';

const EXIT_VIOLATIONS = 1;
const EXIT_USAGE = 2;

export class LoadCommand extends Command {
	public static override readonly paths = [['load']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Send the requests of a trace on schedule; exits with 1 if an answer is lost or wrong.',
		details: `
			Without --entries, a fleet of stand-ins and routers is started on this machine for the run.
			With --entries, the API key of every customer is --key, or \`key-of-<customer>\` if --key is absent.
		`,
		examples: [['A trace', 'papayawell load --trace examples/traces/mandacaru-morning.jsonl --json']],
	});

	private readonly trace = Option.String('--trace', { required: true });
	private readonly entries = Option.Array('--entries', [], {
		description: 'Origin of a router; may be repeated.',
	});
	private readonly key = Option.String('--key', { description: 'API key to use for all customers.' });
	private readonly speed = Option.String('--speed', '1', {
		description: 'Factor to speed up the trace by; 2 sends twice as fast.',
	});
	private readonly routers = Option.String('--routers', '4', {
		description: 'Number of routers to start if --entries is absent.',
	});
	private readonly limitMs = Option.String('--limit-ms', {
		description: 'Ignore events of the trace after this time.',
	});
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const parsed = parseTrace(await readFile(this.trace, 'utf8'), this.trace);
		if (parsed.err) {
			this.context.stderr.write(`${parsed.val.map(formatFinding).join('\n')}\n`);
			return EXIT_USAGE;
		}
		const run = await this.runTrace(this.limitTrace(parsed.val));
		this.context.stdout.write(this.isJson ? `${JSON.stringify(run)}\n` : formatLoadRun(run));
		return run.violations === 0 ? 0 : EXIT_VIOLATIONS;
	}

	private async runTrace(events: readonly TraceEvent[]): Promise<LoadRun> {
		const speed = Number(this.speed);
		if (this.entries.length === 0) {
			return runEmbeddedLoad(events, { speed, routers: Number(this.routers) });
		}
		const { key } = this;
		const findKey = key === undefined ? makeCallerKey : (): string => key;
		return runLoad(events, { speed, entries: this.entries, findKey });
	}

	private limitTrace(events: readonly TraceEvent[]): readonly TraceEvent[] {
		const limitMs = Number(this.limitMs ?? Infinity);
		return events.filter((event) => event.t <= limitMs);
	}
}
