/** `papayawell rules show|diff|history`: prints the configuration of the fleet and its history. */
import { readFile } from 'node:fs/promises';
import type { ConfigurationStore } from '@papayawell/operators';
import { addVersionLine, renderDiff, splitVersionLine } from '@papayawell/operators';
import { Command, Option } from 'clipanion';
import { FleetCommand } from './fleetCommand.js';

export class RulesShowCommand extends FleetCommand {
	public static override readonly paths = [['rules', 'show']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'Print the rules; the first line states the version, which rules apply uses as the base.',
	});

	private readonly version = Option.String('--version', {
		description: 'Older version to print, if it is still stored.',
	});

	public override async execute(): Promise<number> {
		return this.runWithStore(async (store) => {
			const document = await this.readDocument(store);
			if (document.err) {
				return this.reportError(document.val);
			}
			const { text = '', version = 0 } = document.val ?? {};
			this.print(addVersionLine(text, version));
			return 0;
		});
	}

	private async readDocument(store: ConfigurationStore) {
		if (this.version !== undefined) {
			return store.readVersion(Number(this.version));
		}
		return (await store.read()).map((stored) => stored?.document);
	}
}

export class RulesDiffCommand extends FleetCommand {
	public static override readonly paths = [['rules', 'diff']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'Print the difference between the current rules and a file.',
	});

	private readonly file = Option.String({ name: 'file' });

	public override async execute(): Promise<number> {
		const { text } = splitVersionLine(await readFile(this.file, 'utf8'));
		return this.runWithStore(async (store) => {
			const stored = await store.read();
			if (stored.err) {
				return this.reportError(stored.val);
			}
			const current = stored.val?.document;
			const diff = renderDiff(`version ${current?.version ?? 0}`, current?.text ?? '', this.file, text);
			this.print(diff === '' ? 'No difference.' : diff);
			return 0;
		});
	}
}

export class RulesHistoryCommand extends FleetCommand {
	public static override readonly paths = [['rules', 'history']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'List the stored changes with author and reason, newest first.',
	});

	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		return this.runWithStore(async (store) => {
			const history = await store.listHistory();
			if (history.err) {
				return this.reportError(history.val);
			}
			const changes = history.val.map(({ version, at, who, why, changeId }) => ({
				version,
				at,
				who,
				why,
				changeId,
			}));
			const lines = changes.map(({ version, at, who, why, changeId }) =>
				[version, at, who, changeId, why].join('  '),
			);
			this.print(this.isJson ? JSON.stringify(changes) : lines.join('\n'));
			return 0;
		});
	}
}
