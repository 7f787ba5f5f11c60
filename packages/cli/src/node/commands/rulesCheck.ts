/** `papayawell rules check`: checks a rules file and prints every finding. */
import { readFile } from 'node:fs/promises';
import type { Finding } from '@papayawell/core';
import { formatFinding, parseRules } from '@papayawell/core';
import { Command, Option } from 'clipanion';

const EXIT_FINDINGS = 1;

export class RulesCheckCommand extends Command {
	public static override readonly paths = [['rules', 'check']];
	public static override readonly usage = Command.Usage({
		category: 'Rules',
		description: 'Check a rules file; prints all findings and exits with 1 if there are any.',
		examples: [['Check a file', 'papayawell rules check examples/rules/mandacaru.rules']],
	});

	private readonly file = Option.String({ name: 'file' });
	private readonly isJson = Option.Boolean('--json', false, { description: 'Print one JSON document.' });

	public override async execute(): Promise<number> {
		const parsed = parseRules(await readFile(this.file, 'utf8'), this.file);
		const findings = parsed.err ? parsed.val : [];
		this.printFindings(findings, parsed.ok ? parsed.val.rules.length : 0);
		return findings.length > 0 ? EXIT_FINDINGS : 0;
	}

	private printFindings(findings: readonly Finding[], ruleCount: number): void {
		if (this.isJson) {
			this.context.stdout.write(`${JSON.stringify({ ok: findings.length === 0, findings })}\n`);
			return;
		}
		const summary = findings.length === 0 ? `${ruleCount} rules, no findings` : `${findings.length} findings`;
		const lines = [...findings.map(formatFinding), summary];
		this.context.stdout.write(`${lines.join('\n')}\n`);
	}
}
