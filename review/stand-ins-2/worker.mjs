/**
 * A worker, as PROTOCOL.md describes it. Arguments: its id, its port and its slots. The body of a request tells how the
 * request is to be run, in place of a model: `{"workMs", "events", "intervalMs", "unframed", "crash"}`.
 */
import { createServer } from 'node:http';

const [, , id, port, slots] = process.argv;
let active = 0;
let runs = 0;
/** Whether the worker leaves, which it says in all its answers. */
let isLeaving = false;

function tell(kind, attemptId, detail) {
	process.send?.({ kind, attemptId, detail, isLeaving });
}

function readPlan(text) {
	try {
		return JSON.parse(text);
	} catch {
		return {};
	}
}

function handle(request, response, text) {
	const attemptId = request.headers['papayawell-attempt-id'];
	if (request.url === '/healthz') {
		response.writeHead(200, { 'Papayawell-Instance-Id': id, 'Content-Length': 0 }).end();
		return;
	}
	if (request.url.startsWith('/v1/kv-list')) {
		const body = JSON.stringify({ epoch: 1, next: 1, held: [] });
		response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length }).end(body);
		return;
	}
	if (attemptId === undefined) {
		response.writeHead(400, { 'Papayawell-Not-Executed': '1', 'Content-Length': 0 }).end();
		return;
	}
	const echo = { 'Papayawell-Attempt-Id': attemptId, ...(isLeaving ? { 'Server-Leaving': '1' } : {}) };
	const expected = request.headers['papayawell-expect-instance'];
	if (expected !== undefined && expected !== id) {
		response.writeHead(421, { ...echo, 'Papayawell-Instance-Id': id, 'Content-Length': 0 }).end();
		return;
	}
	if (active >= Number(slots)) {
		response.writeHead(503, { ...echo, 'Papayawell-Not-Executed': '1', 'Content-Length': 0 }).end();
		return;
	}
	run(request, response, attemptId, { ...echo, 'Papayawell-Server-Stamp': `${id}.${++runs}` }, text);
}

function run(request, response, attemptId, headers, text) {
	const plan = readPlan(text);
	active += 1;
	tell('runs', attemptId, ` ${request.method} ${request.url}`);
	response.on('close', () => {
		active -= 1;
		tell(response.writableFinished ? 'has answered' : 'was left before the end of', attemptId);
	});
	if (plan.crash === true) {
		// The request crashes each worker that begins to run it.
		setTimeout(() => process.kill(process.pid, 'SIGKILL'), 5);
		return;
	}
	if (plan.unframed === true) {
		// Without a length the answer ends with its channel.
		response.removeHeader('Transfer-Encoding');
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	}
	if (plan.events === undefined) {
		setTimeout(() => {
			const body = `answer to ${attemptId} ${'.'.repeat(780)}`;
			response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body);
		}, plan.workMs ?? 15);
		return;
	}
	sendEvents(response, attemptId, headers, plan, Number(request.headers['last-event-id'] ?? 0));
}

/** The last piece says that it is the last one, so that the caller's stand-in can tell a whole stream. */
function sendEvents(response, attemptId, headers, { events, intervalMs = 20 }, after) {
	let next = after + 1;
	response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
	if (next > events) {
		response.end();
		return;
	}
	const timer = setInterval(() => {
		const end = next === events ? ' last' : '';
		response.write(`id: ${next}\ndata: piece ${next} of ${events} for ${attemptId}${end}\n\n`);
		if (next >= events) {
			clearInterval(timer);
			response.end();
		}
		next += 1;
	}, intervalMs);
	response.on('close', () => clearInterval(timer));
}

const server = createServer((request, response) => {
	let text = '';
	request.on('error', () => undefined);
	request.on('data', (part) => (text += part));
	request.on('end', () => handle(request, response, text));
});
server.keepAliveTimeout = 30_000;
server.listen(Number(port), '127.0.0.1', () => process.send?.({ kind: 'listening' }));
process.on('message', (order) => {
	switch (order) {
		case 'leave':
			isLeaving = true;
			break;
		case 'finish':
			// Takes no new channel, and exits when the last answer is sent.
			server.close(() => process.exit());
			break;
	}
});
process.on('disconnect', () => process.exit());
