/**
 * A gateway is stopped as planned. Its clients go on with their open channels. A request that one of them sends later than
 * 3 s after the SIGTERM is passed on to a worker, and its stream is cut when the process exits.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from '../stand-ins-2/client.mjs';
import { API_KEY, HOST } from '../stand-ins-2/deployment.mjs';
import { runCase } from '../stand-ins-2/runCase.mjs';

const ROUTE = {
	name: 'recado',
	prefix: '/lohu930/',
	type: 'stream',
	'timeout-ms': 15_000,
	'goal-ms': 2000,
	'gap-target-ms': 600,
	service: 'app',
	resumable: false,
	sticky: true,
};
const CLIENTS = 8;
const ROUNDS = 10;
const SHORT_PLAN = { events: 20, intervalMs: 40 };
/** 7 s of the 15 s that the client waits; the sheet's answers have 92 pieces on average and up to 216. */
const LONG_PLAN = { events: 70, intervalMs: 100 };
/** Requests that are sent no later than 3 s after the SIGTERM may be excused. */
const EXCUSED_MS = 3000;
const SENT_AFTER_MS = 3060;

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
	await deployment.start({ gateways: 2, workers: 3, routes: [ROUTE] });
	const [gateway] = deployment.gateways;
	const clients = Array.from(
		{ length: CLIENTS },
		() => new Client(deployment, gateway.addresses.front, HOST, API_KEY),
	);
	for (let round = 0; round < ROUNDS; round++) {
		await Promise.all(clients.map((client) => client.send('/lohu930/2f', { plan: SHORT_PLAN })));
	}
	const stopAtMs = deployment.nowMs;
	if (hasTrouble) {
		gateway.signal('SIGTERM');
	}
	await sleep(SENT_AFTER_MS - (deployment.nowMs - stopAtMs));
	const { id, status, isComplete, sentAtMs } = await clients[0].send('/lohu930/2f', { plan: LONG_PLAN });
	for (const client of clients) {
		client.close();
	}
	const isPassedOn = deployment.workers.some(({ runs }) => runs.some(({ attemptId }) => attemptId === id));
	const sentAfterMs = Math.round(sentAtMs - stopAtMs);
	deployment.note(
		`sent ${sentAfterMs} ms after the stop, passed on to a worker: ${isPassedOn}, status ${status}`,
	);
	const isLost = isPassedOn && !isComplete && sentAfterMs > EXCUSED_MS;
	return isLost ? [`LOST: a stream that was sent ${sentAfterMs} ms after the SIGTERM was cut`] : [];
});
