/** `papayawell bench path`: measures the latency that a router adds to first bytes and tokens, and its throughput. */
import { Command, Option } from 'clipanion';
import type { PathBenchResult, PathLatencyResult } from '../bench/pathBench.js';
import { runPathBench } from '../bench/pathBench.js';

export class BenchPathCommand extends Command {
	public static override readonly paths = [['bench', 'path']];
	public static override readonly usage = Command.Usage({
		category: 'Measure',
		description: 'Compare the latency of calls through a router and of direct calls, in one run.',
	});

	private readonly rate = Option.String('--rate', '200', {
		description: 'Requests per second, through the router and directly.',
	});
	private readonly seconds = Option.String('--seconds', '15');
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const result = await runPathBench({
			requestsPerSecond: Number(this.rate),
			seconds: Number(this.seconds),
		});
		this.context.stdout.write(this.isJson ? `${JSON.stringify(result)}\n` : formatResult(result));
		return result.direct.broken + result.routed.broken === 0 ? 0 : 1;
	}
}

function formatResult(result: PathBenchResult): string {
	const { saturation } = result;
	return [
		formatWay('direct', result.direct),
		formatWay('routed', result.routed),
		`added to the first byte: p50 ${format(result.addedFirstByteP50Ms)}, p99 ${format(result.addedFirstByteP99Ms)} ms`,
		`added between tokens: p50 ${format(result.addedBetweenTokensP50Ms)}, p99 ${format(result.addedBetweenTokensP99Ms)} ms`,
		`calls: ${Math.round(saturation.callsPerSecond)}/s, ${Math.round(saturation.callsPerCoreSecond)} a core second`,
		`tokens: ${Math.round(saturation.tokensPerSecond)}/s, ${Math.round(saturation.tokensPerCoreSecond)} a core second`,
		'',
	].join('\n');
}

function formatWay(name: string, way: PathLatencyResult): string {
	const firstByte = `first byte p50 ${format(way.firstByteP50Ms)}, p99 ${format(way.firstByteP99Ms)} ms`;
	const tokens = `between tokens p50 ${format(way.betweenTokensP50Ms)}, p99 ${format(way.betweenTokensP99Ms)} ms`;
	return `${name}: ${way.requests} requests, ${way.broken} broken, ${firstByte}, ${tokens}`;
}

function format(ms: number): string {
	return ms.toFixed(2);
}
