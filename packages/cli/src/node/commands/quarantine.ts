/** `papayawell quarantine list|release`: lists and releases quarantined requests, which have crashed targets. */
import type { Result } from '@papayawell/core';
import type { AdminClient, AdminError } from '@papayawell/operators';
import { describeAdminError } from '@papayawell/operators';
import { Command, Option, UsageError } from 'clipanion';
import { EXIT_REFUSED, FleetCommand } from './fleetCommand.js';

/** Calls the given routers in turn until one succeeds. */
abstract class QuarantineCommand extends FleetCommand {
	protected async callFirstAvailableRouter<T>(
		call: (client: AdminClient) => Promise<Result<T, AdminError>>,
		format: (answer: T) => string,
	): Promise<number> {
		const clients = await this.listAdminClients();
		if (clients.length === 0) {
			throw new UsageError('No router given: --admin or --settings is required.');
		}
		for (const client of clients) {
			const answer = await call(client);
			if (answer.ok) {
				this.print(format(answer.val));
				return 0;
			}
			this.context.stderr.write(`${describeAdminError(answer.val)}\n`);
		}
		return EXIT_REFUSED;
	}
}

export class QuarantineListCommand extends QuarantineCommand {
	public static override readonly paths = [['quarantine', 'list']];
	public static override readonly usage = Command.Usage({
		category: 'Operation',
		description: 'List the fingerprints of requests that are in quarantine.',
	});

	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		return this.callFirstAvailableRouter(
			(client) => client.listQuarantine(),
			(entries) => {
				const lines = entries.map(
					({ fingerprint, reason, expiresAtMs }) =>
						`${fingerprint}  until ${new Date(expiresAtMs).toISOString()}  ${reason}`,
				);
				return this.isJson
					? JSON.stringify(entries)
					: [...lines, `${entries.length} in quarantine`].join('\n');
			},
		);
	}
}

export class QuarantineReleaseCommand extends QuarantineCommand {
	public static override readonly paths = [['quarantine', 'release']];
	public static override readonly usage = Command.Usage({
		category: 'Operation',
		description: 'Release a fingerprint from quarantine on the whole fleet.',
	});

	private readonly fingerprint = Option.String({ name: 'fingerprint' });

	public override async execute(): Promise<number> {
		return this.callFirstAvailableRouter(
			(client) => client.releaseQuarantine(this.fingerprint),
			() => `${this.fingerprint} is released.`,
		);
	}
}
