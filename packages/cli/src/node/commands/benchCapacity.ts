/** `papayawell bench state` and `bench capacity`: measures heap per entry and prints the table of docs/CAPACITY.md. */
import { Command, Option } from 'clipanion';
import { computeCapacity, renderCapacity } from '../../common/capacity.js';
import { readCapacityMeasurements } from '../bench/capacityFiles.js';
import { runStateBench } from '../bench/stateBench.js';

export class BenchStateCommand extends Command {
	public static override readonly paths = [['bench', 'state']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: "Measure the heap per entry of a router's state; prints JSON.",
	});

	public override execute(): Promise<number> {
		this.context.stdout.write(`${JSON.stringify(runStateBench())}\n`);
		return Promise.resolve(0);
	}
}

export class BenchCapacityCommand extends Command {
	public static override readonly paths = [['bench', 'capacity']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Compute the table of docs/CAPACITY.md from the committed measurements.',
	});

	private readonly folder = Option.String('--measurements', 'docs/measurements');

	public override async execute(): Promise<number> {
		const measurements = await readCapacityMeasurements(this.folder);
		this.context.stdout.write(`${renderCapacity(computeCapacity(measurements))}\n`);
		return 0;
	}
}
