/** `papayawell where`: prints where a gateway instance would send a request now, and why. */
import { Command, Option } from 'clipanion';
import { request } from 'undici';
import { formatWhereAnswer, parseWhereAnswer } from '../../common/whereAnswer.js';

const TIMEOUT_MS = 5000;
const EXIT_UNREACHABLE = 1;
export const EXIT_BAD_INPUT = 2;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;

export class WhereCommand extends Command {
	public static override readonly paths = [['where']];
	public static override readonly usage = Command.Usage({
		category: 'Operation',
		description:
			'Print where a gateway instance would send a request now, and why. Nothing is sent to a target.',
		details: 'Exits with 2 if the question is not valid, and with 1 if the instance does not answer it.',
		examples: [
			[
				'A request with a prompt of two parts',
				'papayawell where --metrics 10.0.0.7:9464 --route chat --customer lobo910 --prompt intro:2041,own:360',
			],
		],
	});

	// Not required by the option itself, whose errors end with 1.
	private readonly metrics = Option.String('--metrics', { description: 'Metrics address of the instance.' });
	private readonly route = Option.String('--route', { description: 'Name of the route.' });
	private readonly customer = Option.String('--customer', { description: 'Name of the customer.' });
	private readonly prompt = Option.String('--prompt', { description: 'Parts of the prompt: ID:TOKENS,...' });
	private readonly bytes = Option.String('--bytes', { description: 'Size of the body.' });
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const { metrics, route } = this;
		if (metrics === undefined || route === undefined) {
			return this.fail('--metrics ADDRESS and --route NAME are required.', EXIT_BAD_INPUT);
		}
		const url = this.buildUrl(metrics, route);
		if (url === undefined) {
			return this.fail(`--metrics ${metrics}: not an address HOST:PORT.`, EXIT_BAD_INPUT);
		}
		let status: number;
		let text: string;
		try {
			const response = await request(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
			status = response.statusCode;
			text = await response.body.text();
		} catch (error) {
			const detail = error instanceof Error ? error.message : String(error);
			return this.fail(`The instance at ${metrics} cannot be reached: ${detail}.`, EXIT_UNREACHABLE);
		}
		const document = parseJson(text);
		if (status !== HTTP_OK) {
			const detail = readError(document) ?? `HTTP status ${status}; it may be an older version`;
			const code = status === HTTP_BAD_REQUEST ? EXIT_BAD_INPUT : EXIT_UNREACHABLE;
			return this.fail(`The instance at ${metrics} does not answer this: ${detail}.`, code);
		}
		const answer = parseWhereAnswer(document);
		if (answer === undefined) {
			return this.fail(`The answer of ${metrics} cannot be read.`, EXIT_UNREACHABLE);
		}
		this.context.stdout.write(`${this.isJson ? JSON.stringify(answer) : formatWhereAnswer(answer)}\n`);
		return 0;
	}

	private buildUrl(metrics: string, route: string): URL | undefined {
		if (!/^[^\s/?#@]+:\d{1,5}$/.test(metrics) || !URL.canParse(`http://${metrics}/explain`)) {
			return undefined;
		}
		const url = new URL(`http://${metrics}/explain`);
		const { bytes, customer, prompt } = this;
		for (const [name, value] of Object.entries({ route, customer, prompt, bytes })) {
			if (value !== undefined) {
				url.searchParams.set(name, value);
			}
		}
		return url;
	}

	private fail(message: string, code: number): number {
		this.context.stderr.write(`${message}\n`);
		return code;
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function readError(document: unknown): string | undefined {
	return typeof document === 'object' && document !== null && 'error' in document
		? String(document.error)
		: undefined;
}
