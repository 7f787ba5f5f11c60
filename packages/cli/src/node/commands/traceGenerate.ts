/** `papayawell trace generate`: generates a trace of a named scenario from a seed. */
import { createWriteStream } from 'node:fs';
import { once } from 'node:events';
import type { Writable } from 'node:stream';
import type { ScenarioName, TraceEvent } from '@papayawell/replay';
import { createScenario, formatTraceEvent, generateTrace, SCENARIO_NAMES } from '@papayawell/replay';
import { Command, Option, UsageError } from 'clipanion';

/** Lines per write, which bounds the text held in memory. */
const LINES_PER_WRITE = 5_000;

export class TraceGenerateCommand extends Command {
	public static override readonly paths = [['trace', 'generate']];
	public static override readonly usage = Command.Usage({
		category: 'Traces',
		description: 'Generate a trace of a named scenario from a seed.',
		details: `Scenarios: ${SCENARIO_NAMES.join(', ')}.`,
		examples: [['A small fleet', 'papayawell trace generate --scenario churn --seed 7 --out churn.jsonl']],
	});

	private readonly scenario = Option.String('--scenario', { required: true });
	private readonly seed = Option.String('--seed', '1');
	private readonly scale = Option.String('--scale', '1', {
		description: 'Factor for instances, chats and traffic.',
	});
	private readonly durationMs = Option.String('--duration-ms', { description: 'Duration of the trace.' });
	private readonly out = Option.String('--out', { description: 'File to write; standard output if absent.' });

	public override async execute(): Promise<number> {
		const durationMs = this.durationMs === undefined ? undefined : parsePositive(this.durationMs);
		const options = { scale: parsePositive(this.scale), ...(durationMs !== undefined && { durationMs }) };
		const scenario = createScenario(findScenario(this.scenario), options);
		const events = generateTrace(scenario, parsePositive(this.seed));
		if (this.out === undefined) {
			await writeEvents(events, this.context.stdout);
			return 0;
		}
		const file = createWriteStream(this.out);
		await writeEvents(events, file);
		file.end();
		await once(file, 'finish');
		return 0;
	}
}

async function writeEvents(events: readonly TraceEvent[], output: Writable): Promise<void> {
	for (let start = 0; start < events.length; start += LINES_PER_WRITE) {
		const lines = events.slice(start, start + LINES_PER_WRITE).map(formatTraceEvent);
		if (!output.write(`${lines.join('\n')}\n`)) {
			await once(output, 'drain');
		}
	}
}

function findScenario(name: string): ScenarioName {
	const found = SCENARIO_NAMES.find((each) => each === name);
	if (found === undefined) {
		throw new UsageError(`unknown scenario '${name}': expected one of ${SCENARIO_NAMES.join(', ')}`);
	}
	return found;
}

function parsePositive(text: string): number {
	const value = Number(text);
	if (!(value > 0)) {
		throw new UsageError(`'${text}' is not a positive number`);
	}
	return value;
}
