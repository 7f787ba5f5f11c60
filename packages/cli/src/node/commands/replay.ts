/** `papayawell replay`: simulates a trace with the routers' decision logic, without network traffic. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Finding, PlacementPolicyKind, Result } from '@papayawell/core';
import { createPolicy, formatFinding, PlacementPolicyKind as PlacementPolicyKinds } from '@papayawell/core';
import type { EntryPolicy, ReplayOptions, ReplayReport, TraceEvent } from '@papayawell/replay';
import {
	DEFAULT_SPEED,
	ENTRY_POLICIES,
	formatReportTable,
	replayTrace,
	TraceReader,
} from '@papayawell/replay';
import { Command, Option, UsageError } from 'clipanion';

const EXIT_FINDINGS = 1;
const ALL_POLICIES = 'all';

export class ReplayCommand extends Command {
	public static override readonly paths = [['replay']];
	public static override readonly usage = Command.Usage({
		category: 'Traces',
		description: "Simulate a trace with the routers' decision logic, without network traffic.",
		details: `Policies: ${Object.values(PlacementPolicyKinds).join(', ')}, or ${ALL_POLICIES} for a table of them.`,
		examples: [
			['One policy', 'papayawell replay trace.jsonl --policy adaptive --routers 4 --seed 1'],
			['All policies', 'papayawell replay trace.jsonl --policy all'],
		],
	});

	private readonly file = Option.String({ name: 'trace' });
	private readonly policy = Option.String('--policy', PlacementPolicyKinds.Adaptive);
	private readonly routers = Option.String('--routers', '4');
	private readonly reportMs = Option.String('--report-ms', '1000', {
		description: 'Interval at which the owner of an engine polls its load.',
	});
	private readonly gossipMs = Option.String('--gossip-ms', {
		description:
			'Interval at which a router gossips loads; derived from the control traffic limit if absent.',
	});
	private readonly seed = Option.String('--seed', '1');
	private readonly bound = Option.String('--bound', '1.25', {
		description: 'Load bound, as a multiple of the mean.',
	});
	private readonly tokenMs = Option.String('--token-ms', String(DEFAULT_SPEED.tokenMs), {
		description: 'Time between two tokens of an answer.',
	});
	private readonly entries = Option.String('--entries', 'owner', {
		description: `Router that callers send requests to: ${ENTRY_POLICIES.join(', ')}.`,
	});
	private readonly fromMs = Option.String('--from-ms', '0', {
		description:
			'Exclude events before this time of the trace from the measurements of load, reuse and choices.',
	});
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print JSON.' });

	public override async execute(): Promise<number> {
		const trace = await readTrace(this.file);
		if (trace.err) {
			this.context.stderr.write(`${trace.val.map(formatFinding).join('\n')}\n`);
			return EXIT_FINDINGS;
		}
		const reports = listPolicies(this.policy).map((kind) => replayTrace(trace.val, this.buildOptions(kind)));
		this.context.stdout.write(`${this.formatReports(reports)}\n`);
		return 0;
	}

	private buildOptions(kind: PlacementPolicyKind): ReplayOptions {
		return {
			policy: createPolicy(kind),
			routers: parseNumber(this.routers),
			reportMs: parseNumber(this.reportMs),
			seed: parseNumber(this.seed),
			loadBound: parseNumber(this.bound),
			speed: { ...DEFAULT_SPEED, tokenMs: parseNumber(this.tokenMs) },
			entryPolicy: findEntryChoice(this.entries),
			fromMs: Number(this.fromMs),
			...(this.gossipMs !== undefined && { gossipMs: parseNumber(this.gossipMs) }),
		};
	}

	private formatReports(reports: readonly ReplayReport[]): string {
		if (!this.isJson) {
			return formatReportTable(reports);
		}
		return JSON.stringify(reports.length === 1 ? reports[0] : reports, undefined, '\t');
	}
}

async function readTrace(file: string): Promise<Result<TraceEvent[], Finding[]>> {
	const reader = new TraceReader(file);
	for await (const line of createInterface({ input: createReadStream(file) })) {
		reader.addLine(line);
	}
	return reader.finish();
}

function listPolicies(name: string): PlacementPolicyKind[] {
	const kinds = Object.values(PlacementPolicyKinds);
	const chosen = name === ALL_POLICIES ? kinds : kinds.filter((kind) => kind === name);
	if (chosen.length === 0) {
		throw new UsageError(`unknown policy '${name}': expected one of ${kinds.join(', ')}, ${ALL_POLICIES}`);
	}
	return chosen;
}

function findEntryChoice(name: string): EntryPolicy {
	const found = ENTRY_POLICIES.find((each) => each === name);
	if (found === undefined) {
		throw new UsageError(
			`unknown value '${name}' for --entries: expected one of ${ENTRY_POLICIES.join(', ')}`,
		);
	}
	return found;
}

function parseNumber(text: string): number {
	const value = Number(text);
	if (!(value > 0)) {
		throw new UsageError(`'${text}' is not a positive number`);
	}
	return value;
}
