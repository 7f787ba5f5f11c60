/**
 * The platform's metadata store, as PROTOCOL.md describes it. It answers at once and loses nothing, but in a drill: then it
 * is away for a moment and comes back from a copy, as the users' fourth letter tells.
 */
import { createServer } from 'node:http';

export class StoreStandIn {
	items = new Map();
	history = [];
	leases = new Map();
	revision = 100;
	nextLease = 1000;
	waiters = new Set();
	era = 1;
	/** No change before this revision is known. */
	firstRevision = 0;
	isAway = false;
	port = 0;
	server = createServer((request, response) => {
		const chunks = [];
		request.on('error', () => undefined);
		request.on('data', (chunk) => chunks.push(chunk));
		request.on('end', () => {
			void this.handle(request, response, Buffer.concat(chunks).toString());
		});
	});
	timer = setInterval(() => this.expireLeases(), 100);

	async listen() {
		await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
		this.port = this.server.address().port;
	}

	close() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Takes a copy of what the store holds. */
	copy() {
		return { items: new Map(this.items), revision: this.revision };
	}

	/** Answers nothing until `restore`. */
	leave() {
		this.isAway = true;
		this.server.closeAllConnections();
	}

	/** Comes back from a copy. What was written since then is gone, leases too, and revisions go back. */
	restore({ items, revision }) {
		this.items = new Map(items);
		this.revision = revision;
		this.firstRevision = revision;
		this.history = [];
		for (const id of [...this.leases.keys()]) {
			this.endLease(id);
		}
		this.era += 1;
		this.isAway = false;
		this.wake();
	}

	/** Writes as the operator or a worker. */
	put(key, document) {
		this.write(key, Buffer.from(JSON.stringify(document)).toString('base64'), 0);
	}

	remove(key) {
		if (this.items.delete(key)) {
			this.revision += 1;
			this.history.push({ key, revision: this.revision, deleted: true });
			this.wake();
		}
	}

	write(key, value, leaseId) {
		this.revision += 1;
		const created = this.items.get(key)?.created ?? this.revision;
		const item = { key, value, revision: this.revision, created, 'lease-id': leaseId };
		this.items.set(key, item);
		this.history.push(item);
		this.wake();
	}

	wake() {
		for (const waiter of this.waiters) {
			waiter();
		}
		this.waiters.clear();
	}

	expireLeases() {
		for (const [id, { endsAtMs }] of this.leases) {
			if (performance.now() >= endsAtMs) {
				this.endLease(id);
			}
		}
	}

	endLease(id) {
		this.leases.delete(id);
		for (const item of [...this.items.values()]) {
			if (item['lease-id'] === id) {
				this.remove(item.key);
			}
		}
	}

	async handle(request, response, text) {
		if (this.isAway) {
			request.socket.destroy();
			return;
		}
		const url = new URL(request.url, 'http://store');
		const [status, body] = await this.answer(request.method, url, text === '' ? {} : JSON.parse(text));
		response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(this.era) });
		response.end(JSON.stringify(body));
	}

	async answer(method, { pathname, searchParams }, payload) {
		const [, , call, id] = pathname.split('/');
		switch (`${method} ${call}`) {
			case 'GET kv-key': {
				const item = this.items.get(searchParams.get('key'));
				return item === undefined ? [404, { at: this.revision }] : [200, { ...item, at: this.revision }];
			}
			case 'GET kv-range': {
				const prefix = searchParams.get('prefix') ?? '';
				const entries = [...this.items.values()]
					.filter(({ key }) => key.startsWith(prefix) && key > (searchParams.get('after') ?? ''))
					.sort((a, b) => (a.key < b.key ? -1 : 1));
				return [200, { entries, 'has-more': false, at: this.revision }];
			}
			case 'GET kv-watch':
				return this.watch(searchParams);
			case 'POST kv-lease': {
				const leaseId = this.nextLease++;
				this.leases.set(leaseId, {
					ttlMs: payload['ttl-ms'],
					endsAtMs: performance.now() + payload['ttl-ms'],
				});
				return [200, { 'lease-id': leaseId, 'ttl-ms': payload['ttl-ms'] }];
			}
			case 'POST kv-keep': {
				const lease = this.leases.get(Number(id));
				if (lease === undefined) {
					return [404, {}];
				}
				lease.endsAtMs = performance.now() + lease.ttlMs;
				return [200, { 'ttl-ms': lease.ttlMs }];
			}
			case 'DELETE kv-lease-end':
				this.endLease(Number(id));
				return [200, {}];
			case 'POST kv-txn':
				return this.commit(payload);
			default:
				return [404, {}];
		}
	}

	commit(payload) {
		const checked = payload['expect-rev'] ?? [];
		if (checked.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			return [412, { entries: checked.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }) }];
		}
		const writes = payload.write ?? [];
		if (writes.some((entry) => entry['lease-id'] > 0 && !this.leases.has(entry['lease-id']))) {
			return [404, {}];
		}
		for (const { key, value, 'lease-id': leaseId = 0 } of writes) {
			this.write(key, value, leaseId);
		}
		for (const key of payload.remove ?? []) {
			this.remove(key);
		}
		return [200, { revision: this.revision }];
	}

	async watch(query) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const endsAtMs = performance.now() + Number(query.get('wait-ms'));
		for (;;) {
			if (after > this.revision || after < this.firstRevision) {
				return [410, {}];
			}
			const events = this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
			const remainingMs = endsAtMs - performance.now();
			if (events.length > 0 || remainingMs <= 0) {
				return [200, { events, at: this.revision }];
			}
			await new Promise((resolve) => {
				const timer = setTimeout(resolve, remainingMs);
				this.waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}
	}
}
