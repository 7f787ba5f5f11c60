/** Base class of the commands that connect to the key-value service or the admin ports of routers. */
import { readFile } from 'node:fs/promises';
import type { RouterSettings } from '@papayawell/core';
import { formatFinding } from '@papayawell/core';
import type { AdminError, FleetStatus, ConfigurationStoreError } from '@papayawell/operators';
import {
	AdminClient,
	ConfigurationStore,
	describeConfigurationStoreError,
	parseSettings,
} from '@papayawell/operators';
import { EtcdKeyValueStore } from '@papayawell/keyvalue';
import { Command, Option, UsageError } from 'clipanion';

const KEY_VALUE_CALLS_PER_SECOND = 50;
const TOKEN_VARIABLE = 'PAPAYAWELL_TOKEN';
/** Exit code: the operation failed or was refused, or a change is not in force on all routers in time. */
export const EXIT_REFUSED = 1;
/** Exit code: it is unknown whether the change was accepted. */
export const EXIT_UNKNOWN = 2;

export abstract class FleetCommand extends Command {
	protected readonly settingsFile = Option.String('--settings', {
		description:
			'Settings file of a router, which contains the key-value service, the key prefix and an admin port.',
	});
	protected readonly keyValueOrigins = Option.Array('--key-value', {
		description: 'Origin of the key-value service; overrides --settings.',
	});
	protected readonly prefix = Option.String('--prefix', {
		description: 'Key prefix of the fleet; overrides --settings.',
	});
	protected readonly adminOrigins = Option.Array('--admin', {
		description: `Origin of a router's admin port; may be repeated. The token is in ${TOKEN_VARIABLE}.`,
	});

	/** Calls `run` with the configuration store and closes the connection afterwards. */
	protected async runWithStore(run: (store: ConfigurationStore) => Promise<number>): Promise<number> {
		const settings = await this.readSettings();
		const origins = this.keyValueOrigins ?? settings?.platform.keyValueOrigins;
		const prefix = this.prefix ?? settings?.platform.keyPrefix;
		if (origins === undefined || prefix === undefined) {
			throw new UsageError(
				'No key-value service given: --settings, or --key-value and --prefix are required.',
			);
		}
		const keyValue = new EtcdKeyValueStore({ origins, callsPerSecond: KEY_VALUE_CALLS_PER_SECOND });
		try {
			return await run(new ConfigurationStore(keyValue, prefix));
		} finally {
			keyValue.dispose();
		}
	}

	/** Creates clients for the admin ports given by `--admin` or the settings file. */
	protected async listAdminClients(): Promise<readonly AdminClient[]> {
		const settings = await this.readSettings();
		const origins = this.adminOrigins ?? (settings === undefined ? [] : [`http://${settings.admin.address}`]);
		const token = process.env[TOKEN_VARIABLE] ?? '';
		return origins.map((origin) => new AdminClient(origin, token));
	}

	/** Queries the status of all given routers. */
	protected async readStatuses(): Promise<{
		readonly statuses: readonly FleetStatus[];
		readonly errors: readonly AdminError[];
	}> {
		const clients = await this.listAdminClients();
		const answers = await Promise.all(clients.map((client) => client.readStatus()));
		const statuses = answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
		const errors = answers.flatMap((answer) => (answer.err ? [answer.val] : []));
		return { statuses, errors };
	}

	protected print(text: string): void {
		this.context.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
	}

	/** Prints an error of the configuration store with its findings and returns the exit code. */
	protected reportError(error: ConfigurationStoreError): number {
		const findings = error.kind === 'findings' ? error.findings.map(formatFinding) : [];
		this.context.stderr.write(`${[...findings, describeConfigurationStoreError(error)].join('\n')}\n`);
		return error.kind === 'unsettled' ? EXIT_UNKNOWN : EXIT_REFUSED;
	}

	private async readSettings(): Promise<RouterSettings | undefined> {
		if (this.settingsFile === undefined) {
			return undefined;
		}
		const settings = parseSettings(await readFile(this.settingsFile, 'utf8'), this.settingsFile);
		if (settings.err) {
			throw new UsageError(settings.val.map(formatFinding).join('\n'));
		}
		return settings.val;
	}
}
