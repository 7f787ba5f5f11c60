import { spawn } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const MODULE = new URL('../../src/node/boundedWriter.js', import.meta.url).href;

/** Writes 4 MB to standard output while a timer runs, and reports dropped lines and timer delays on standard error. */
const PROGRAM = `
	import { BoundedWriter, openStandardOutput } from ${JSON.stringify(MODULE)};
	const writer = new BoundedWriter(openStandardOutput());
	const line = 'x'.repeat(999) + '\\n';
	let refused = 0;
	let longestMs = 0;
	let lastMs = performance.now();
	let rounds = 0;
	const timer = setInterval(() => {
		const nowMs = performance.now();
		longestMs = Math.max(longestMs, nowMs - lastMs);
		lastMs = nowMs;
		for (let index = 0; index < 100; index++) {
			refused += writer.append(line) ? 0 : 1;
		}
		rounds += 1;
		if (rounds === 40) {
			clearInterval(timer);
			process.stderr.write(JSON.stringify({ refused, longestMs }), () => process.exit(0));
		}
	}, 5);
`;

describe('BoundedWriter', () => {
	it('drops lines and does not block the event loop when its reader does not read', async () => {
		const command = [process.execPath, '--input-type=module', '-e', PROGRAM];
		const child = spawn(command[0] ?? '', command.slice(1), { stdio: ['ignore', 'pipe', 'pipe'] });
		let report = '';
		child.stderr.on('data', (part: Buffer) => {
			report += part.toString();
		});
		await new Promise((resolve) => child.on('exit', resolve));
		child.stdout.destroy();
		const { refused, longestMs } = JSON.parse(report) as { refused: number; longestMs: number };
		expect(refused).to.be.greaterThan(1000);
		expect(longestMs).to.be.below(250);
	});
});

describe('docs/OPERATIONS.md', () => {
	it('lists exactly the log events that the sources write', () => {
		const root = fileURLToPath(new URL('../../../../../', import.meta.url));
		const sources = ['packages/gateway/src/common', 'packages/gateway/src/node', 'platform/src']
			.flatMap((folder) => readdirSync(`${root}${folder}`).map((file) => `${root}${folder}/${file}`))
			.filter((file) => file.endsWith('.ts'))
			.map((file) => readFileSync(file, 'utf8'))
			.join('\n');
		const calls =
			sources.match(
				/(?:\bwrite|logError|report)\(\s*(?:'[a-z]+',\s*)?[^;{]*?(?=,\s*(?:\{|'|item|detail|String|describe))/g,
			) ?? [];
		const written = new Set(
			calls.flatMap((call) =>
				[...call.matchAll(/'([a-z]+[A-Z][A-Za-z]+|started|starting|stopped|serving)'/g)].map(
					(match) => match[1],
				),
			),
		);
		const table =
			readFileSync(`${root}docs/OPERATIONS.md`, 'utf8').split('## Events')[1]?.split('\n\n')[1] ?? '';
		const listed = new Set(
			table
				.split('\n')
				.slice(2)
				.flatMap((row) => [...(row.split('|')[1] ?? '').matchAll(/`(\w+)`/g)].map((match) => match[1])),
		);
		expect([...listed].sort()).to.deep.equal([...written].sort());
	});
});
