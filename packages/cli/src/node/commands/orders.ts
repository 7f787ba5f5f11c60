/** `papayawell orders`: prints the state of the orders to the engines of each pool, as each router reports it. */
import { describeAdminError } from '@papayawell/operators';
import { Command } from 'clipanion';
import { EXIT_REFUSED, FleetCommand } from './fleetCommand.js';

export class OrdersCommand extends FleetCommand {
	public static override readonly paths = [['orders']];
	public static override readonly usage = Command.Usage({
		category: 'Operation',
		description: 'Print the state of the orders to engines, one JSON line per router.',
	});

	public override async execute(): Promise<number> {
		const clients = await this.listAdminClients();
		const answers = await Promise.all(clients.map((client) => client.readOrders()));
		let exitCode = answers.length === 0 ? EXIT_REFUSED : 0;
		answers.forEach((answer, index) => {
			if (answer.err) {
				exitCode = EXIT_REFUSED;
				this.context.stderr.write(`${describeAdminError(answer.val)}\n`);
				return;
			}
			this.print(JSON.stringify({ origin: clients[index]?.origin, orders: answer.val }));
		});
		return exitCode;
	}
}
