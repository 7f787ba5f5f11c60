/** `papayawell demo`: starts a fleet on this machine, sends 45 s of traffic and prints the measurements. */
import { Command, Option } from 'clipanion';
import { formatDemo, runDemo } from '../load/demoRun.js';

const EXIT_VIOLATIONS = 1;

export class DemoCommand extends Command {
	public static override readonly paths = [['demo']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Run a fleet of 4 routers, 8 engines and 3 applications with 45 s of traffic.',
	});

	private readonly seed = Option.String('--seed', '1');
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const result = await runDemo(Number(this.seed));
		this.context.stdout.write(this.isJson ? `${JSON.stringify(result)}\n` : formatDemo(result));
		return result.violations === 0 ? 0 : EXIT_VIOLATIONS;
	}
}
