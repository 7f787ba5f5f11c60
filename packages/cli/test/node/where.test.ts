import { spawnSync } from 'node:child_process';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { Cli } from 'clipanion';
import { WhereCommand } from '../../src/node/commands/where.js';

const CANDIDATE = {
	zone: 'a',
	version: 'v1',
	slots: 64,
	load: 4.1,
	deviation: 1.3,
	slowdown: 1,
	cachedTokens: 0,
};
const ANSWER = {
	route: 'chat',
	customer: 'acme',
	service: 'engines',
	decision: { kind: 'sent', target: 'i-1', reason: 'leastLoaded', cachedTokens: 0 },
	capacity: {
		isShort: true,
		concurrency: 128,
		ownRequests: 80,
		otherRequests: 30,
		waiting: 3,
		limit: 90.5,
		customerRequests: 40,
		customerRequestsOfFleet: 55,
		isWithinShare: false,
		customerShare: 32.5,
	},
	candidates: [
		{ ...CANDIDATE, target: 'i-1', reportAgeMs: 120, verdict: 'chosen', detail: 'the best candidate now' },
		{ ...CANDIDATE, target: 'i-2', verdict: 'leaving', detail: 'it is leaving' },
	],
	omittedCandidates: 0,
	beliefs: {
		targetsAgeMs: 2500,
		peers: 3,
		peersAgeMs: 150,
		oldestPeerAgeMs: 1200,
		configurationVersion: 7,
		configurationAgeMs: 60_000,
	},
};

describe('where command', () => {
	let server: Server;
	let address: string;
	let answer: { readonly status: number; readonly body: unknown };
	let urls: (string | undefined)[];

	beforeEach(async () => {
		answer = { status: 200, body: ANSWER };
		urls = [];
		server = createServer((request, response) => {
			urls.push(request.url);
			response.writeHead(answer.status).end(JSON.stringify(answer.body));
		});
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(() => {
		server.close();
		server.closeAllConnections();
	});

	async function run(...words: string[]): Promise<{ readonly exitCode: number; readonly output: string }> {
		const stream = new PassThrough();
		const context = { stdout: stream, stderr: stream };
		const exitCode = await Cli.from([WhereCommand]).run(['where', ...words], context);
		return { exitCode, output: String(stream.read() ?? '') };
	}

	it('prints the decision, each candidate with its reason, the share, and the ages', async () => {
		const words = [
			'--metrics',
			address,
			'--route',
			'chat',
			'--customer',
			'acme',
			'--prompt',
			'a:5',
			'--bytes',
			'9',
		];
		const { exitCode, output } = await run(...words);
		expect(exitCode).to.equal(0);
		expect(urls).to.deep.equal(['/explain?route=chat&customer=acme&prompt=a%3A5&bytes=9']);
		for (const text of [
			'SENT to i-1',
			'passed over: it is leaving',
			'4.1 ± 1.3 of 64',
			'ABOVE its share of 32.5',
			'2.5 s ago',
		]) {
			expect(output).to.contain(text);
		}
		expect(JSON.parse((await run(...words, '--json')).output)).to.deep.equal(ANSWER);
	});

	// Guards against scripts that take a wrong question for an instance that is down, or the other way round.
	it('exits with 2 for bad input and with 1 if the instance does not answer, with a message', async () => {
		expect(await run('--route', 'chat')).to.include({ exitCode: 2 });
		expect(await run('--metrics', 'nowhere', '--route', 'chat')).to.include({ exitCode: 2 });
		answer = { status: 400, body: { error: 'no route chat' } };
		const unknown = await run('--metrics', address, '--route', 'chat');
		expect(unknown.exitCode).to.equal(2);
		expect(unknown.output).to.contain('no route chat');
		answer = { status: 200, body: { foo: 1 } };
		expect(await run('--metrics', address, '--route', 'chat')).to.include({ exitCode: 1 });
		const program = fileURLToPath(new URL('../../../bin/papayawell.js', import.meta.url));
		expect(spawnSync(process.execPath, [program, 'where', '--unknown']).status).to.equal(2);
		server.close();
		server.closeAllConnections();
		const lost = await run('--metrics', address, '--route', 'chat');
		expect(lost.exitCode).to.equal(1);
		expect(lost.output).to.contain('cannot be reached');
	});
});
