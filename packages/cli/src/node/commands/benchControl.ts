/** `papayawell bench control`: measures control traffic between processes that run only the peer network. */
import { writeFile } from 'node:fs/promises';
import { Command, Option, UsageError } from 'clipanion';
import { makeBenchTls } from '../bench/benchCertificates.js';
import { measureControlSize } from '../bench/controlBench.js';
import type { ControlSize } from '../bench/controlReport.js';
import { fitSizes } from '../bench/controlReport.js';

/** Documented limit of the mean control traffic per router on the wire, sent plus received. */
const MAX_BYTES_PER_SECOND = 5_000;

export class BenchControlCommand extends Command {
	public static override readonly paths = [['bench', 'control']];
	public static override readonly usage = Command.Usage({
		category: 'Benches',
		description:
			'Measure control traffic, processor time and memory of processes that run only the peer network, on loopback.',
		details:
			'Exits with 1 if the mean control traffic per router exceeds 5,000 bytes per second, or if a configuration change is not in force on all routers within 15 s.',
		examples: [['All sizes', 'papayawell bench control --routers 4,8,16,32,64 --json']],
	});

	private readonly routers = Option.String('--routers', '4,8,16,32,64');
	private readonly phaseSeconds = Option.String('--phase-seconds', '30');
	private readonly eventSeconds = Option.String('--event-seconds', '10', {
		description: 'Time between two configuration changes, or two router replacements.',
	});
	private readonly seed = Option.String('--seed', '1');
	private readonly plain = Option.Boolean('--plain', false, { description: 'Without TLS.' });
	private readonly json = Option.Boolean('--json', false);
	private readonly out = Option.String('--out', {
		description: 'File to write the JSON report to, in addition to standard output.',
	});

	public override async execute(): Promise<number> {
		const options = {
			phaseMs: parsePositive(this.phaseSeconds) * 1_000,
			eventMs: parsePositive(this.eventSeconds) * 1_000,
			bytesPerSecond: MAX_BYTES_PER_SECOND,
			seed: parsePositive(this.seed),
			tls: this.plain ? undefined : await makeBenchTls('bench'),
			log: (text: string) => this.context.stderr.write(`bench control: ${text}\n`),
		};
		const sizes: ControlSize[] = [];
		for (const routers of this.routers.split(',').map(parsePositive)) {
			sizes.push(await measureControlSize(routers, options));
		}
		await this.printReport(sizes);
		return sizes.every(isWithinLimits) ? 0 : 1;
	}

	private async printReport(sizes: readonly ControlSize[]): Promise<void> {
		const command = `papayawell bench control --routers ${this.routers} --phase-seconds ${this.phaseSeconds} --event-seconds ${this.eventSeconds} --seed ${this.seed}${this.plain ? ' --plain' : ''}`;
		const report = JSON.stringify({ command, sizes, lines: fitSizes(sizes) }, undefined, '\t');
		if (this.out !== undefined) {
			await writeFile(this.out, `${report}\n`);
		}
		this.context.stdout.write(this.json ? `${report}\n` : formatTable(sizes));
	}
}

function isWithinLimits({ phases }: ControlSize): boolean {
	return phases.every(
		(phase) =>
			phase.bytesPerSecondMean <= MAX_BYTES_PER_SECOND && phase.inForceMs.every((time) => time < Infinity),
	);
}

function formatTable(sizes: readonly ControlSize[]): string {
	const rows = sizes.flatMap(({ routers, phases }) =>
		phases.map((phase) => [
			routers,
			phase.phase,
			phase.bytesPerSecondMean,
			phase.bytesPerSecondMax,
			phase.cpuShareMean,
			phase.rssMegabytesMean,
			phase.loadAgeMsMean,
			Math.max(0, ...phase.inForceMs),
		]),
	);
	const head = ['routers', 'phase', 'B/s', 'max B/s', 'CPU share', 'RSS MB', 'load age ms', 'in force ms'];
	return [head, ...rows].map((row) => row.join('\t')).join('\n') + '\n';
}

function parsePositive(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		throw new UsageError(`'${text}' is not a positive number`);
	}
	return value;
}
