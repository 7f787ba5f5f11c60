/** `papayawell explain`: prints the events of one request from the logs of the fleet, and why it ended. */
import { createInterface } from 'node:readline';
import { Command, Option } from 'clipanion';
import { explainRequest, formatEvent } from '../../common/explainRequest.js';

export class ExplainCommand extends Command {
	public static override readonly paths = [['explain']];
	public static override readonly usage = Command.Usage({
		description: 'Print the events of one request from the logs on standard input, and why it ended.',
		examples: [
			[
				'From the logs of two instances',
				'cat router-1.log router-2.log | papayawell explain 9c41d07be2a35f68',
			],
		],
	});

	private readonly requestId = Option.String();

	public async execute(): Promise<number> {
		const lines: string[] = [];
		for await (const line of createInterface({ input: this.context.stdin })) {
			if (line.includes(this.requestId)) {
				lines.push(line);
			}
		}
		const { events, cause } = explainRequest(this.requestId, lines);
		for (const event of events) {
			this.context.stdout.write(`${formatEvent(event)}\n`);
		}
		this.context.stdout.write(`Cause: ${cause}\n`);
		return events.length > 0 ? 0 : 1;
	}
}
