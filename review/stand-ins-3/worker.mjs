/**
 * A worker of the platform in a process of its own. Arguments: its id and its port. A path ends with a plan:
 * `work-MS` answers after that time; `unframed-PARTS-MS` sends a body without a length in so many parts, one each MS,
 * and ends it by closing the channel; `events-PARTS-MS` does the same with the events of a stream.
 * It writes one JSON line for each run, and for each answer that it has sent whole.
 */
import { createServer } from 'node:http';

const [, , id, port] = process.argv;

const server = createServer((request, response) => {
	request.on('error', () => undefined);
	response.on('error', () => undefined);
	request.resume();
	request.on('end', () => {
		handle(request, response);
	});
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), '127.0.0.1', () => {
	report({ kind: 'listening', port: server.address().port });
});

function report(line) {
	process.stdout.write(`${JSON.stringify({ worker: id, ...line })}\n`);
}

function handle(request, response) {
	const attempt = request.headers['papayawell-attempt-id'];
	if (attempt === undefined) {
		response.writeHead(request.url === '/healthz' ? 200 : 400, { 'Papayawell-Instance-Id': id }).end();
		return;
	}
	if (request.headers['papayawell-expect-instance'] !== id) {
		response.writeHead(421, { 'Papayawell-Attempt-Id': attempt, 'Papayawell-Instance-Id': id }).end();
		return;
	}
	report({ kind: 'run', attempt, path: request.url });
	const headers = { 'Papayawell-Attempt-Id': attempt, 'Papayawell-Server-Stamp': `${id}.${attempt}` };
	const [plan, ...numbers] = request.url.split('/').pop().split('-');
	const [first = 0, second = 0] = numbers.map(Number);
	if (plan === 'work') {
		setTimeout(() => {
			response.writeHead(200, { ...headers, 'Content-Length': 4 });
			response.end('done', () => report({ kind: 'sent', attempt }));
		}, first);
		return;
	}
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	const isStream = plan === 'events';
	response.writeHead(200, {
		...headers,
		'Content-Type': isStream ? 'text/event-stream' : 'application/octet-stream',
	});
	let part = 0;
	const timer = setInterval(() => {
		part += 1;
		response.write(isStream ? `id: ${part}\ndata: piece ${part}\n\n` : `part ${part}\n`);
		if (part === first) {
			clearInterval(timer);
			response.end(() => report({ kind: 'sent', attempt }));
		}
	}, second);
	response.on('close', () => {
		clearInterval(timer);
	});
}
