/** A TCP proxy on a loopback address whose open channels can go silent for good, while new ones work. */
import { connect, createServer } from 'node:net';

export class Proxy {
	pairs = new Set();

	constructor(host, upstream) {
		const [upstreamHost, upstreamPort] = upstream.split(':');
		this.host = host;
		this.server = createServer((client) => {
			const server = connect({ host: upstreamHost, port: Number(upstreamPort) });
			const pair = { client, server, isSilent: false };
			this.pairs.add(pair);
			for (const [from, to] of [
				[client, server],
				[server, client],
			]) {
				from.setNoDelay(true);
				from.on('error', () => undefined);
				from.on('data', (chunk) => pair.isSilent || to.write(chunk));
				// The end of a silent channel does not reach the other side either.
				from.on('close', () => {
					if (!pair.isSilent) {
						to.destroy();
						this.pairs.delete(pair);
					}
				});
			}
		});
	}

	async listen() {
		await new Promise((resolve) => this.server.listen(0, this.host, resolve));
		this.address = `${this.host}:${this.server.address().port}`;
	}

	/** Lets all open channels go silent; returns how many there are. */
	silence() {
		let count = 0;
		for (const pair of this.pairs) {
			count += pair.isSilent ? 0 : 1;
			pair.isSilent = true;
		}
		return count;
	}

	close() {
		this.server.close();
		for (const { client, server } of this.pairs) {
			client.destroy();
			server.destroy();
		}
	}
}
