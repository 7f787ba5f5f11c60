/** The platform's store: the project's stand-in, on a loopback address. Built by review/build.sh. */
import { StoreStandIn } from '../../platform/dist/soak/storeStandIn.js';

export const HOST = 'review.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
const ROUTE = { host: HOST, public: false, 'max-attempts': 2 };

export async function startStore() {
	const store = new StoreStandIn(Math.random);
	const port = await store.listen();
	return { store, address: `127.0.0.1:${port}` };
}

/** The manifest of a small deployment: one service of language workers, one application. */
export function buildManifest(version, changes = {}) {
	return {
		version,
		routes: [
			{
				...ROUTE,
				name: 'r-stream',
				prefix: '/stream/',
				type: 'stream',
				'timeout-ms': 15000,
				'goal-ms': 2000,
				'gap-target-ms': 600,
				prio: 2,
				service: 'drafting',
				sticky: false,
				resumable: false,
				'max-attempts': 1,
			},
			{
				...ROUTE,
				name: 'r-book',
				prefix: '/book/',
				type: 'non_idempotent',
				'timeout-ms': 1000,
				'goal-ms': 121,
				prio: 0,
				service: 'app',
				sticky: false,
				resumable: false,
			},
			{
				...ROUTE,
				name: 'r-read',
				prefix: '/read/',
				type: 'idempotent',
				'timeout-ms': 1000,
				'goal-ms': 121,
				prio: 0,
				service: 'app',
				sticky: false,
				resumable: false,
			},
		],
		services: [
			{ name: 'drafting', 'health-path': '/healthz', 'max-conns': 360, proto: 'h1', tls: false },
			{ name: 'app', 'health-path': '/healthz', 'max-conns': 100, proto: 'h1', tls: false },
		],
		limits: {
			'max-header-bytes': 16384,
			'max-body-bytes': 4194304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15000,
		},
		tenants: [{ name: 'tenant-1', 'api-keys': [KEY], prio: 1 }],
		...changes,
	};
}

export function putManifest(store, manifest) {
	store.put('op/config', manifest);
}
