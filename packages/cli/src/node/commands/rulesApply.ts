/** `papayawell rules apply|rollback`: changes the configuration of the fleet. */
import { randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { userInfo } from 'node:os';
import type { ConfigurationDocument } from '@papayawell/core';
import type { ConfigurationStore, ConfigurationStoreError } from '@papayawell/operators';
import { describeAdminError, mergeStatuses, renderDiff, splitVersionLine } from '@papayawell/operators';
import { Command, Option, UsageError } from 'clipanion';
import { EXIT_REFUSED, FleetCommand } from './fleetCommand.js';
import { waitForVersion } from './waitForVersion.js';

const CHANGE_ID_BYTES = 8;
const MS_PER_SECOND = 1000;

/** Options and behaviour that both commands share. */
abstract class ConfigurationChangeCommand extends FleetCommand {
	protected readonly who = Option.String('--who', {
		description: 'Author of the change; the login name if absent.',
	});
	protected readonly why = Option.String('--why', {
		required: true,
		description: 'Reason of the change, for the history.',
	});
	protected readonly changeId = Option.String('--change', {
		description:
			'ID of an earlier change with an unknown result, to find out whether it was accepted or else apply it.',
	});
	protected readonly shouldWait = Option.Boolean('--wait', false, {
		description: 'Wait until the change is in force on every router, and list the routers.',
	});
	protected readonly waitSeconds = Option.String('--wait-seconds', '15');
	protected readonly allowsNoRouters = Option.Boolean('--without-routers', false, {
		description: 'Apply even if no router can be queried for its version, as for the first configuration.',
	});
	protected readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	/** Applies `text` on top of `baseVersion`, waits if `--wait` is set, and prints the outcome. */
	protected async applyText(store: ConfigurationStore, text: string, baseVersion: number): Promise<number> {
		const fleetVersion = await this.readFleetVersion();
		const change = {
			changeId: this.changeId ?? randomBytes(CHANGE_ID_BYTES).toString('hex'),
			who: this.who ?? userInfo().username,
			why: this.why,
			at: new Date().toISOString(),
			text,
		};
		const answer = await store.apply({ change, baseVersion, fleetVersion });
		if (answer.err) {
			this.printConflict(answer.val, text);
			return this.reportError(answer.val);
		}
		const { version, changeId } = answer.val;
		return this.shouldWait ? this.waitAndPrint(answer.val) : this.printAccepted(version, changeId);
	}

	private async readFleetVersion(): Promise<number> {
		const { statuses, errors } = await this.readStatuses();
		if (statuses.length > 0) {
			return Math.max(...mergeStatuses(statuses).map((status) => status.configurationVersion));
		}
		if (this.allowsNoRouters) {
			return 0;
		}
		throw new UsageError(
			['No router could be asked for its version:', ...errors.map(describeAdminError)].join('\n') +
				'\nGive --admin with a running router, or --without-routers if there is none.',
		);
	}

	private printConflict(error: ConfigurationStoreError, text: string): void {
		if (error.kind === 'raced' && error.current !== undefined) {
			const { version, who } = error.current;
			this.print(renderDiff(`version ${version} of ${who}`, error.current.text, 'this change', text));
		}
	}

	private printAccepted(version: number, changeId: string): number {
		const text = `Accepted as version ${version}, change ${changeId}.`;
		this.print(this.isJson ? JSON.stringify({ accepted: true, version, changeId }) : text);
		return 0;
	}

	private async waitAndPrint({ version, changeId }: ConfigurationDocument): Promise<number> {
		const timeoutMs = Number(this.waitSeconds) * MS_PER_SECOND;
		const outcome = await waitForVersion(
			async () => (await this.readStatuses()).statuses,
			version,
			timeoutMs,
		);
		if (this.isJson) {
			this.print(JSON.stringify({ accepted: true, version, changeId, ...outcome }));
		} else {
			this.printAccepted(version, changeId);
			const routers = outcome.routers.map(
				(router) => `${router.instance}: version ${router.configurationVersion}`,
			);
			const unknown = outcome.unknown.map((instance) => `${instance}: not known`);
			const summary = outcome.isInForce
				? `In force on ${outcome.routers.length} routers after ${outcome.elapsedMs} ms.`
				: `Not in force everywhere after ${outcome.elapsedMs} ms.`;
			this.print([...routers, ...unknown, summary].join('\n'));
		}
		return outcome.isInForce ? 0 : EXIT_REFUSED;
	}
}

export class RulesApplyCommand extends ConfigurationChangeCommand {
	public static override readonly paths = [['rules', 'apply']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'Make a rules file the configuration of the fleet.',
		details: `
			The file must be based on the current version, which is given by its first line, as \`rules show\`
			prints it, or by --base. Exit 0: accepted; 1: refused; 2: unknown, run again with --change.
		`,
	});

	private readonly file = Option.String({ name: 'file' });
	private readonly base = Option.String('--base', { description: 'Version that the file is based on.' });

	public override async execute(): Promise<number> {
		const file = splitVersionLine(await readFile(this.file, 'utf8'));
		const baseVersion = this.base === undefined ? file.baseVersion : Number(this.base);
		if (baseVersion === undefined || !Number.isSafeInteger(baseVersion) || baseVersion < 0) {
			throw new UsageError(
				'No valid base version: give --base VERSION, or keep the first line that rules show prints.',
			);
		}
		return this.runWithStore((store) => this.applyText(store, file.text, baseVersion));
	}
}

export class RulesRollbackCommand extends ConfigurationChangeCommand {
	public static override readonly paths = [['rules', 'rollback']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'Apply the text of an older version as a new version.',
	});

	private readonly version = Option.String({ name: 'version' });

	public override async execute(): Promise<number> {
		return this.runWithStore(async (store) => {
			const stored = await store.read();
			if (stored.err) {
				return this.reportError(stored.val);
			}
			const older = await store.readVersion(Number(this.version));
			if (older.err) {
				return this.reportError(older.val);
			}
			return this.applyText(store, older.val.text, stored.val?.document.version ?? 0);
		});
	}
}
