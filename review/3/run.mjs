/** The open channels of all machines to the store go silent; then a worker leaves without reporting it first. */
import { Client } from '../stand-ins/client.mjs';
import { Deployment } from '../stand-ins/deployment.mjs';
import { BOUNDS } from '../stand-ins/fleet.mjs';
import { HOST, KEY } from '../stand-ins/store.mjs';
import { runCase, sleep } from '../stand-ins/test.mjs';
import { buildHead } from '../stand-ins/worker.mjs';

/** With `TROUBLE=0` the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

const MACHINES = 4;
const WORK_MS = 20;
const BODY = 'x'.repeat(800);
const LEAVE_AFTER_MS = 300;
/** Time for which the worker serves after the store has accepted that it leaves: `drain-ms` and a little longer. */
const SERVES_AFTER_LEAVING_MS = 3800;
const OBSERVED_MS = 8000;
/** A request counts only if it was sent, and arrived, this much after both bounds. */
const MARGIN_MS = 50;

await runCase(new URL('./', import.meta.url), hasTrouble, async (record, closers) => {
	const arrivals = new Map();
	const deployment = new Deployment(record, closers);
	await deployment.start({
		machines: MACHINES,
		handlers: {
			app: ({ id, socket, worker }) => {
				arrivals.set(id, { worker: worker.id, atMs: Date.now() });
				const fields = { 'Keep-Alive': 'timeout=10', 'Content-Length': BODY.length };
				setTimeout(() => socket.write(buildHead('200 OK', id, worker, fields) + BODY), WORK_MS);
			},
		},
	});
	const { machines, store, storePaths, workers } = deployment;
	let isOver = false;
	const results = [];
	const runClient = async (machine) => {
		const client = new Client({ host: HOST, key: KEY });
		while (!isOver) {
			const result = await client.send(machine.front, { path: '/book/x', deadlineMs: 1000, body: 'booking' });
			results.push({ ...result, machine: machine.name });
			await sleep(20);
		}
		client.close();
	};
	const clients = machines.flatMap((machine) => [runClient(machine), runClient(machine), runClient(machine)]);
	await sleep(2000);
	const silentAtMs = Date.now();
	if (hasTrouble) {
		const counts = storePaths.map((path) => path.silence());
		record.write(`${counts.join(', ')} open channels of the machines to the store go silent; new ones work`);
	}
	await sleep(LEAVE_AFTER_MS);
	const [leaving] = workers;
	const ackAtMs = Date.now();
	store.remove(`servers/${leaving.id}`);
	record.write(`the store accepts that worker ${leaving.id} leaves: its entry is removed`);
	setTimeout(() => {
		record.write(`worker ${leaving.id} ends`);
		leaving.close();
	}, SERVES_AFTER_LEAVING_MS);
	await sleep(OBSERVED_MS);
	isOver = true;
	await Promise.all(clients);
	const fromMs = Math.max(ackAtMs + BOUNDS['drain-ms'], silentAtMs + BOUNDS['stable-ms']) + MARGIN_MS;
	for (const { id, machine, sentAtMs, status } of results) {
		const arrival = arrivals.get(id);
		record.write(
			`sent ${sentAtMs - ackAtMs} ms after the ack to ${machine}: ${status ?? 'no answer'}, ` +
				(arrival === undefined
					? 'reached no worker'
					: `reached ${arrival.worker} at ${arrival.atMs - ackAtMs} ms`),
		);
	}
	const late = results.filter(
		({ id, sentAtMs }) => arrivals.get(id)?.worker === leaving.id && sentAtMs > fromMs,
	);
	const last = Math.max(0, ...late.map(({ id }) => arrivals.get(id).atMs - ackAtMs));
	const failed = results.filter(({ sentAtMs, status }) => sentAtMs > fromMs && status === 502);
	const summary =
		`${results.length} bookings; of those that were sent later than ${fromMs - ackAtMs} ms after the ack, when all machines ` +
		`were in touch again, ${late.length} reached the worker that had left, the last ${last} ms after the ack, from ` +
		`${[...new Set(late.map(({ machine }) => machine))].join(', ') || 'no machine'}; ${failed.length} were answered 502`;
	return { held: late.length === 0, summary };
});
