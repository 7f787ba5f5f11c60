/** Checks whether a target whose connection broke has terminated. */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** A target that neither accepts nor refuses the connection within this time counts as alive: it may just be slow. */
const PROBE_TIMEOUT_MS = 300;
/**
 * Delays before the successive probes. The connections of a terminating process may break before its listening port
 * is closed, so one accepted probe is not conclusive.
 */
const PROBE_DELAYS_MS = [0, 50, 100];

/** Resolves with true as soon as a connection to `origin` is refused. */
export async function isRefusingConnections(origin: string): Promise<boolean> {
	for (const delayMs of PROBE_DELAYS_MS) {
		await sleep(delayMs);
		if (await probeOnce(origin)) {
			return true;
		}
	}
	return false;
}

function probeOnce(origin: string): Promise<boolean> {
	const { hostname, port } = new URL(origin);
	return new Promise((resolve) => {
		const socket = connect({ host: hostname, port: Number(port) });
		const finish = (isRefused: boolean): void => {
			socket.destroy();
			resolve(isRefused);
		};
		socket.setTimeout(PROBE_TIMEOUT_MS, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
