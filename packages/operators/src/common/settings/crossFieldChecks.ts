/** Checks across settings. They tolerate invalid values, so that all findings are reported at once. */
import { splitAddress } from './settingsSchema.js';

/** A finding with the path of the key that it is about. */
export interface PathFinding {
	readonly path: readonly PropertyKey[];
	readonly message: string;
}

const ADDRESS_TABLES = ['callers', 'admin', 'peers'] as const;

/** Checks that the addresses are distinct and that traffic between routers uses TLS or stays on loopback. */
export function checkCrossFieldRules(document: Readonly<Record<string, unknown>>): readonly PathFinding[] {
	return [...checkDistinctAddresses(document), ...checkPeerTransport(document)];
}

function checkDistinctAddresses(document: Readonly<Record<string, unknown>>): readonly PathFinding[] {
	const owners = new Map<string, string>();
	const findings: PathFinding[] = [];
	for (const table of ADDRESS_TABLES) {
		const address = readTable(document, table).address;
		if (typeof address !== 'string') {
			continue;
		}
		const owner = owners.get(address);
		if (owner !== undefined) {
			findings.push({ path: [table, 'address'], message: `the same address as ${owner}.address` });
		}
		owners.set(address, owner ?? table);
	}
	return findings;
}

function checkPeerTransport(document: Readonly<Record<string, unknown>>): readonly PathFinding[] {
	const peers = readTable(document, 'peers');
	const isPlaintext = peers.allowPlainLoopback === true;
	const hasTls = peers.tls !== undefined;
	if (isPlaintext && hasTls) {
		return [
			{ path: ['peers', 'allowPlainLoopback'], message: 'give either tls or allowPlainLoopback, not both' },
		];
	}
	if (!isPlaintext && !hasTls) {
		return [{ path: ['peers'], message: 'missing [peers.tls], or allowPlainLoopback = true on loopback' }];
	}
	const address = typeof peers.address === 'string' ? splitAddress(peers.address) : undefined;
	if (isPlaintext && address !== undefined && !isLoopback(address.ip)) {
		const message = `allowPlainLoopback needs a loopback address, not ${address.ip}`;
		return [{ path: ['peers', 'allowPlainLoopback'], message }];
	}
	return [];
}

function isLoopback(ip: string): boolean {
	return ip.startsWith('127.') || ip === '::1';
}

function readTable(document: Readonly<Record<string, unknown>>, key: string): Record<string, unknown> {
	const table = document[key];
	return typeof table === 'object' && table !== null ? { ...table } : {};
}
