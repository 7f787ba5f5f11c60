/** `papayawell experiment config`: concurrent configuration changes under faults, with real router processes. */
import { Command, Option } from 'clipanion';
import { runConfigExperiment } from '../experiments/config/configExperiment.js';

const EXIT_VIOLATIONS = 1;

export class ExperimentConfigCommand extends Command {
	public static override readonly paths = [['experiment', 'config']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Apply concurrent changes of two operators under key-value faults and router restarts.',
	});

	private readonly seed = Option.String('--seed', '1');
	private readonly changes = Option.String('--changes', '50');
	private readonly routers = Option.String('--routers', '8');
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const result = await runConfigExperiment({
			seed: this.seed,
			changes: Number(this.changes),
			routers: Number(this.routers),
		});
		this.context.stdout.write(`${JSON.stringify(result, undefined, this.isJson ? 0 : 2)}\n`);
		return result.violations.length === 0 ? 0 : EXIT_VIOLATIONS;
	}
}
