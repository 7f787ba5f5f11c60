/** Runs one case: writes its record, ends all of its processes, and exits with 1, 0 or 2 as the review asks. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Deployment } from './deployment.mjs';

/** Longest time of a case. */
const LIMIT_MS = 115_000;

/**
 * @param folder folder of the case
 * @param scenes functions that play one after the other, each with a deployment of its own; each returns the sentences that
 * tell how the rule was broken, none if it held
 */
export async function runCase(folder, ...scenes) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const lines = [];
	const startedAtMs = performance.now();
	let deployment = new Deployment(lines, startedAtMs);
	let code = 2;
	let isFinished = false;
	const finish = () => {
		if (!isFinished) {
			isFinished = true;
			clearTimeout(limit);
			void deployment.close().then(() => {
				writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
				process.exit(code);
			});
		}
	};
	const limit = setTimeout(() => {
		deployment.note('the case takes too long');
		finish();
	}, LIMIT_MS);
	process.once('SIGTERM', finish);
	process.once('SIGINT', finish);
	try {
		deployment.note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
		const breaks = [];
		for (const [index, play] of scenes.entries()) {
			if (index > 0) {
				await deployment.close();
				deployment = new Deployment(lines, startedAtMs);
			}
			for (const text of await play(deployment, hasTrouble)) {
				breaks.push(text);
				deployment.note(`BROKEN: ${text}`);
			}
		}
		code = breaks.length > 0 ? 1 : 0;
		deployment.note(code === 1 ? 'the rule was broken' : 'the rule held');
		const texts = breaks.map((text) => `BROKEN: ${text}\n`).join('');
		process.stdout.write(`${texts}${code === 1 ? 'broken' : 'held'}\n`);
	} catch (error) {
		deployment.note(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
		process.stdout.write(`could not run: ${String(error)}\n`);
	}
	finish();
}
