/** Workers as processes, a client, and a small deployment of them. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { request } from 'node:http';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { Machine, Store, makeSettings, sleep } from './harness.mjs';

const WORKER = fileURLToPath(new URL('worker.mjs', import.meta.url));

/** A worker: its process and its entry in the store. */
export class Worker {
	starts = 0;

	constructor(name, service, zone, store, recorder) {
		Object.assign(this, { name, service, zone, store, recorder });
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
		this.address = `127.0.0.1:${this.port}`;
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
		child.kill('SIGKILL');
		await ended;
		setTimeout(() => this.store.remove(key), 3 * pingMs).unref();
	}

	/** Reports that it drains, serves for `drainMs` and a little longer, exits and removes its entry. */
	async leave(drainMs) {
		this.recorder.note('workerDrains', { id: this.id });
		this.register('draining');
		await sleep(drainMs + 50);
		const ended = once(this.child, 'exit');
		this.child.kill('SIGTERM');
		await ended;
		this.store.remove(`servers/${this.id}`);
	}

	close() {
		this.child?.kill('SIGKILL');
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
 */
export async function startFleet(
	{ recorder, temporary, onEnd },
	{ routes, zones, bounds = {}, machines = 1 },
) {
	const store = new Store();
	await store.listen();
	onEnd(() => store.close());
	const workers = [];
	for (const [index, zone] of zones.entries()) {
		const worker = new Worker(`w${index}`, 'huvo11a', zone, store, recorder);
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
