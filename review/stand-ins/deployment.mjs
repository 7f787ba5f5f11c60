/** A whole small deployment: the store, the workers, and the machines, each with its own path to the store. */
import { isReady } from './client.mjs';
import { findNetwork, makeFolder, makeMachines } from './fleet.mjs';
import { Proxy } from './proxy.mjs';
import { buildManifest, putManifest, startStore } from './store.mjs';
import { sleep, waitUntil } from './test.mjs';
import { Worker } from './worker.mjs';

const READY_TIMEOUT_MS = 15_000;
/** Longer than `stable-ms`, so that all machines are in touch when a case begins. */
const SETTLING_MS = 3500;
const SLOTS = { app: 6, drafting: 64 };

export class Deployment {
	workers = [];

	constructor(record, closers) {
		Object.assign(this, { record, closers });
	}

	/** Starts all parts, with three workers of each of the given services. */
	async start({ machines: count, handlers, manifest = buildManifest(1), workersPerService = 3 }) {
		const { closers, record } = this;
		this.prefix = await findNetwork(count);
		const folder = makeFolder();
		const { store, address } = await startStore();
		this.store = store;
		closers.push(() => store.close());
		for (const [service, handle] of Object.entries(handlers)) {
			for (let index = 0; index < workersPerService; index++) {
				await this.addWorker(service, index, handle);
			}
		}
		putManifest(store, manifest);
		this.storePaths = Array.from(
			{ length: count },
			(_, index) => new Proxy(`${this.prefix}.${210 + index}`, address),
		);
		for (const path of this.storePaths) {
			await path.listen();
			closers.push(() => path.close());
		}
		this.machines = makeMachines({
			prefix: this.prefix,
			count,
			storeAddresses: this.storePaths.map((path) => path.address),
			folder,
			onExit: ({ name, ownExits }, code) =>
				record.write(`process ${name} ended with code ${code}: ${ownExits.at(-1)?.error ?? ''}`),
		});
		const { machines } = this;
		closers.push(() => machines.forEach((machine) => machine.stop()));
		machines.forEach((machine) => machine.start());
		await waitUntil(
			async () => (await Promise.all(machines.map(({ ready }) => isReady(ready)))).every(Boolean),
			READY_TIMEOUT_MS,
			'not all machines were ready',
		);
		await sleep(SETTLING_MS);
	}

	async addWorker(service, index, handle) {
		const host = `${this.prefix}.${100 + this.workers.length}`;
		const worker = new Worker({ id: `i-${service}-${index}`, host, service, slots: SLOTS[service], handle });
		await worker.listen();
		this.closers.push(() => worker.close());
		this.workers.push(worker);
		this.store.put(`servers/${worker.id}`, worker.describeEntry());
		return worker;
	}
}
