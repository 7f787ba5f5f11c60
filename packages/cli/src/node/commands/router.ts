/** `papayawell router --settings FILE`: runs one router until it receives a stop signal. */
import { readFile } from 'node:fs/promises';
import { formatFinding } from '@papayawell/core';
import { parseSettings } from '@papayawell/operators';
import { ExitCode, runDaemon } from '@papayawell/router';
import { Command, Option } from 'clipanion';

export class RouterCommand extends Command {
	public static override paths = [['router']];
	public static override usage = Command.Usage({
		description: 'Run one router.',
		examples: [['Run with a settings file', 'papayawell router --settings router.toml']],
	});

	public readonly settings = Option.String('--settings', {
		required: true,
		description: 'Settings file of the router, in TOML.',
	});

	public override async execute(): Promise<number> {
		const text = await readFile(this.settings, 'utf8').catch(() => undefined);
		if (text === undefined) {
			this.context.stderr.write(`${this.settings}: cannot read the settings file\n`);
			return ExitCode.Failed;
		}
		const settings = parseSettings(text, this.settings);
		if (settings.err) {
			this.context.stderr.write(`${settings.val.map(formatFinding).join('\n')}\n`);
			return ExitCode.Failed;
		}
		return runDaemon(settings.val);
	}
}
