/** Workers as processes behind links that can be cut, a client, and a small deployment of them. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { request } from 'node:http';
import { connect, createServer } from 'node:net';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { Machine, Store, makeSettings, sleep } from './harness.mjs';

const WORKER = fileURLToPath(new URL('worker.mjs', import.meta.url));

/** A link to one worker. What a cut holds up is delivered when it heals, as TCP sends it again. */
export class Link {
	sockets = new Set();
	held = [];
	isCut = false;
	/** Returns for how long the end of the channel with this number is held up; 0 if it is not. */
	delayEnd = () => 0;
	channels = 0;

	/** Listens at the same port each time. A worker that does not run has no listener, unless a cut hides that. */
	async listen(targetPort) {
		this.targetPort = targetPort;
		if (this.server?.listening === true) {
			return;
		}
		this.server = createServer({ allowHalfOpen: true }, (near) => this.open(near));
		await new Promise((resolve) => this.server.listen(this.port ?? 0, '127.0.0.1', resolve));
		this.port = this.server.address().port;
		this.address = `127.0.0.1:${this.port}`;
	}

	refuse() {
		if (!this.isCut) {
			this.server.close();
		}
	}

	open(near) {
		const number = this.channels++;
		const far = connect({ port: this.targetPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true });
		for (const socket of [near, far]) {
			this.sockets.add(socket);
			socket.on('close', () => this.sockets.delete(socket));
		}
		near.on('data', (data) => this.deliver(() => far.write(data)));
		near.on('end', () => this.deliver(() => far.end()));
		near.on('error', () => this.deliver(() => far.resetAndDestroy()));
		near.on('close', () => this.deliver(() => far.destroy()));
		far.on('data', (data) => this.deliver(() => near.write(data)));
		far.on('end', () => this.deliver(() => near.end(), this.delayEnd(number)));
		far.on('error', () => this.deliver(() => near.resetAndDestroy()));
	}

	deliver(action, delayMs = 0) {
		if (this.isCut) {
			this.held.push(action);
		} else if (delayMs > 0) {
			setTimeout(action, delayMs);
		} else {
			action();
		}
	}

	cut() {
		this.isCut = true;
	}

	heal() {
		this.isCut = false;
		for (const action of this.held.splice(0)) {
			action();
		}
	}

	close() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}

/** A worker: its process, its link, and its entry in the store. */
export class Worker {
	starts = 0;

	constructor(name, service, zone, store, recorder, hasLink) {
		Object.assign(this, { name, service, zone, store, recorder });
		this.link = hasLink ? new Link() : undefined;
	}

	get id() {
		return `i-${this.name}-${this.starts}`;
	}

	/** Starts a new lifetime at the same address, under a new id. */
	async start() {
		this.starts += 1;
		const { id } = this;
		this.child = spawn(process.execPath, [WORKER, id, String(this.port ?? 0)], {
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		const { child } = this;
		child.on('exit', (code, signal) => this.recorder.note('workerEnded', { id, code, signal }));
		const listening = new Promise((resolve) => {
			createInterface({ input: child.stdout }).on('line', (text) => {
				const line = JSON.parse(text);
				if (line.kind === 'listening') {
					resolve(line.port);
				}
				this.recorder.note(`worker:${line.kind}`, line);
			});
		});
		this.port = await listening;
		if (this.link === undefined) {
			this.address = `127.0.0.1:${this.port}`;
		} else {
			await this.link.listen(this.port);
			this.address = this.link.address;
		}
		this.register('ready');
	}

	register(state) {
		const { service, zone } = this;
		const entry = { service, addr: this.address, zone, version: 'v1', slots: 64, state, seq: 1 };
		this.store.put(`servers/${this.id}`, { ...entry, 'cold-left-ms': 0, born: Date.now() });
	}

	/** Kills the process; its entry lapses after three ping intervals. */
	async crash(pingMs = 1200) {
		const key = `servers/${this.id}`;
		const { child } = this;
		const ended = once(child, 'exit');
		this.link?.refuse();
		child.kill('SIGKILL');
		await ended;
		setTimeout(() => this.store.remove(key), 3 * pingMs).unref();
	}

	/** Reports that it drains, serves for `drainMs` and a little longer, exits and removes its entry. */
	async leave(drainMs) {
		this.recorder.note('workerDrains', { id: this.id });
		this.register('draining');
		await sleep(drainMs + 50);
		this.link?.refuse();
		const ended = once(this.child, 'exit');
		this.child.kill('SIGTERM');
		await ended;
		this.store.remove(`servers/${this.id}`);
	}

	close() {
		this.child?.kill('SIGKILL');
		this.link?.close();
	}
}

/** Sends one request on a channel of its own and tells what the client sees of the answer. */
export function callOnce(address, { id, path, method = 'POST', deadlineMs, key = 'key-one', headers = {} }) {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const result = { id, status: undefined, isComplete: false, body: '', error: undefined };
		const call = request({
			host,
			port,
			path,
			method,
			agent: false,
			headers: {
				Host: 'ficu95.example',
				'Papayawell-Attempt-Id': id,
				'Papayawell-Deadline-Ms': String(deadlineMs),
				Authorization: `Bearer ${key}`,
				...headers,
			},
		});
		call.on('response', (response) => {
			result.status = response.statusCode;
			result.stamp = response.headers['papayawell-server-stamp'];
			response.on('data', (data) => {
				result.body += data.toString('latin1');
			});
			response.on('end', () => {
				result.isComplete = response.complete;
				resolve(result);
			});
			response.on('error', (error) => resolve({ ...result, error: error.code }));
		});
		call.on('error', (error) => resolve({ ...result, error: error.code }));
		call.end();
	});
}

/**
 * Starts a store, workers and machines.
 * @param zones the zone of each worker
 * @param hasLinks whether the workers are reached through links
 */
export async function startFleet(
	{ recorder, temporary, onEnd },
	{ routes, zones, bounds = {}, machines = 1, hasLinks = false },
) {
	const store = new Store();
	await store.listen();
	onEnd(() => store.close());
	const workers = [];
	for (const [index, zone] of zones.entries()) {
		const worker = new Worker(`w${index}`, 'huvo11a', zone, store, recorder, hasLinks);
		onEnd(() => worker.close());
		await worker.start();
		workers.push(worker);
	}
	store.put('op/config', {
		version: 7,
		routes: routes.map((route) => ({ host: 'ficu95.example', service: 'huvo11a', public: false, ...route })),
		services: [{ name: 'huvo11a', 'health-path': '/healthz', 'max-conns': 370, proto: 'h1', tls: false }],
		limits: {
			'max-header-bytes': 16384,
			'max-body-bytes': 4194304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15000,
		},
		tenants: [{ name: 'hule930', 'api-keys': ['key-one'], prio: 1 }],
	});
	const started = [];
	const seeds = [];
	for (let index = 0; index < machines; index++) {
		const settings = await makeSettings({
			name: `edge-${index}`,
			ip: `127.0.${40 + index}.${1 + (process.pid % 250)}`,
			storeAddress: store.address,
			seeds,
		});
		Object.assign(settings.bounds, bounds);
		seeds.push(settings.listen.control);
		started.push(new Machine(settings, temporary, recorder));
	}
	for (const machine of started) {
		onEnd(() => machine.kill());
		await machine.start();
	}
	for (const machine of started) {
		await machine.waitReady();
	}
	await sleep(1000);
	return { store, workers, machines: started };
}
