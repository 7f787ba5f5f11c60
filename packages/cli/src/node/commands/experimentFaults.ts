/** `papayawell experiment faults`: injects faults into real processes of every kind and checks the outcomes. */
import { Command, Option } from 'clipanion';
import type { FaultRow } from '../harness/faults/faultCase.js';
import { FAULT_CASES, runFaultCase } from '../harness/faults/runFaults.js';

const EXIT_VIOLATIONS = 1;
const EXIT_USAGE = 2;
const NAME_WIDTH = 46;
const MAX_SHOWN = 5;

export class ExperimentFaultsCommand extends Command {
	public static override readonly paths = [['experiment', 'faults']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Run fault cases with real processes; exits with 1 on any violation.',
		examples: [
			['All cases', 'papayawell experiment faults --seed 1 --json'],
			['One case', 'papayawell experiment faults --case zone-loss'],
		],
	});

	private readonly seed = Option.String('--seed', '1');
	private readonly names = Option.Array('--case', [], {
		description: 'Run only this case; may be repeated.',
	});
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const cases = FAULT_CASES.filter(({ name }) => this.names.length === 0 || this.names.includes(name));
		if (cases.length < Math.max(1, this.names.length)) {
			const known = FAULT_CASES.map(({ name }) => name).join('\n');
			this.context.stderr.write(`Unknown case. The cases are:\n${known}\n`);
			return EXIT_USAGE;
		}
		const rows: FaultRow[] = [];
		for (const faultCase of cases) {
			const row = await runFaultCase(faultCase, Number(this.seed));
			rows.push(row);
			if (!this.isJson) {
				this.context.stdout.write(formatRow(row));
			}
		}
		const violations = rows.reduce((sum, row) => sum + row.violations.length, 0);
		if (this.isJson) {
			this.context.stdout.write(`${JSON.stringify({ seed: Number(this.seed), violations, rows })}\n`);
		}
		return violations === 0 ? 0 : EXIT_VIOLATIONS;
	}
}

function formatRow({ name, runs, violations, outcomes, durationMs }: FaultRow): string {
	const counts = Object.entries(outcomes).map(([kind, count]) => `${kind} ${count}`);
	const seconds = `${(durationMs / 1_000).toFixed(1)} s`;
	const head = `${name.padEnd(NAME_WIDTH)}runs ${runs}  violations ${violations.length}  ${seconds}`;
	const shown = violations.slice(0, MAX_SHOWN).map((violation) => `    ${violation}\n`);
	return `${head}  (${counts.join(', ')})\n${shown.join('')}`;
}
