/** Runs one case: writes the record, ends all that was started, and turns the outcome into the exit code. */
import { openSync, writeSync } from 'node:fs';

export const EXIT = { held: 0, broken: 1, notRun: 2 };
const LIMIT_MS = 110_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Record {
	constructor(folderUrl) {
		this.file = openSync(new URL('record.txt', folderUrl), 'w');
		this.startedAtMs = Date.now();
	}

	write(text) {
		writeSync(this.file, `${((Date.now() - this.startedAtMs) / 1000).toFixed(3)} s  ${text}\n`);
	}
}

/**
 * @param hasTrouble whether the case runs with its disruption
 * @param run gets the record and a list of functions that end what it started; returns whether the rule held
 */
export async function runCase(folderUrl, hasTrouble, run) {
	const record = new Record(folderUrl);
	const closers = [];
	const close = () => closers.splice(0).forEach((closer) => closer());
	process.on('exit', close);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => process.exit(EXIT.notRun));
	}
	setTimeout(() => {
		record.write('the case did not end in time');
		process.exit(EXIT.notRun);
	}, LIMIT_MS).unref();
	let code = EXIT.notRun;
	try {
		record.write(hasTrouble ? 'with the disruption' : 'without the disruption');
		const { held, summary } = await run(record, closers);
		code = held ? EXIT.held : EXIT.broken;
		record.write(summary);
		console.log(`${held ? 'held' : 'BROKEN'}: ${summary}`);
	} catch (error) {
		record.write(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
	}
	close();
	process.exit(code);
}

/** Waits until all machines count as ready. */
export async function waitUntil(check, timeoutMs, what) {
	const deadline = Date.now() + timeoutMs;
	while (Date.now() < deadline) {
		if (await check()) {
			return;
		}
		await sleep(100);
	}
	throw new Error(`${what} within ${timeoutMs} ms`);
}
