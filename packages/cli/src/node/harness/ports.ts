/** Finds free ports for processes whose settings must name a port before they start. */
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
/** The range lies below the ephemeral ports that the system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

let nextPort = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));

/**
 * Returns a port on which nothing was listening when it was checked. The ports are handed out in sequence, so that
 * this process does not return one again before it has gone through the whole range.
 */
export async function findFreePort(): Promise<number> {
	for (let candidate = FIRST_PORT; candidate < LAST_PORT; candidate += 1) {
		nextPort = nextPort + 1 < LAST_PORT ? nextPort + 1 : FIRST_PORT;
		const port = nextPort;
		if (await isPortFree(port)) {
			return port;
		}
	}
	throw new Error(`no free port between ${FIRST_PORT} and ${LAST_PORT}`);
}

async function isPortFree(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, LOOPBACK, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
