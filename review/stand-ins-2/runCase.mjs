/** Runs one case: writes its record, ends all of its processes, and exits with 1, 0 or 2 as the review asks. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Deployment } from './deployment.mjs';

/** Longest time of a case. */
const LIMIT_MS = 115_000;

/**
 * @param folder folder of the case
 * @param run plays the case; returns the sentences that tell how the rule was broken, none if it held
 */
export async function runCase(folder, run) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const deployment = new Deployment();
	let code = 2;
	const limit = setTimeout(() => {
		deployment.note('the case takes too long');
		finish();
	}, LIMIT_MS);
	let isFinished = false;
	const finish = () => {
		if (!isFinished) {
			isFinished = true;
			clearTimeout(limit);
			void deployment.close().then(() => {
				writeFileSync(join(folder, 'record.txt'), `${deployment.lines.join('\n')}\n`);
				process.exit(code);
			});
		}
	};
	process.once('SIGTERM', finish);
	process.once('SIGINT', finish);
	try {
		deployment.note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
		const breaks = await run(deployment, hasTrouble);
		code = breaks.length > 0 ? 1 : 0;
		for (const text of breaks) {
			deployment.note(`BROKEN: ${text}`);
		}
		deployment.note(code === 1 ? 'the rule was broken' : 'the rule held');
		process.stdout.write(
			`${breaks.map((text) => `BROKEN: ${text}\n`).join('')}${code === 1 ? 'broken' : 'held'}\n`,
		);
	} catch (error) {
		deployment.note(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
		process.stdout.write(`could not run: ${String(error)}\n`);
	}
	finish();
}
