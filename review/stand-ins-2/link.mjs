/**
 * The link between the gateways and one worker, as a proxy. It forwards each channel's bytes and ends in order. A packet that
 * is lost is sent once more by its sender's kernel, and comes late: the end of a chosen channel is held back for that time.
 */
import { connect, createServer } from 'node:net';

export class Link {
	/** Parts that were forwarded to the gateways. */
	forwarded = 0;
	/** Time for which the end of the channel that was opened last is held back; 0 if nothing is lost. */
	lostEndDelayMs = 0;
	channels = [];
	server = createServer({ allowHalfOpen: true }, (near) => this.open(near));

	constructor(workerPort, note) {
		this.workerPort = workerPort;
		this.note = note;
	}

	async listen() {
		await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
		this.port = this.server.address().port;
	}

	/** The worker is gone: its port takes no channels. */
	refuse() {
		this.server.close();
	}

	close() {
		this.server.close();
		for (const { near, far } of this.channels) {
			near.destroy();
			far.destroy();
		}
	}

	open(near) {
		const far = connect({ host: '127.0.0.1', port: this.workerPort, allowHalfOpen: true });
		const channel = { near, far };
		this.channels.push(channel);
		near.setNoDelay(true);
		far.setNoDelay(true);
		near.on('data', (part) => far.write(part));
		near.on('end', () => far.end());
		far.on('data', (part) => {
			this.forwarded += 1;
			near.write(part);
		});
		far.on('end', () => this.forwardEnd(channel));
		near.on('error', () => far.resetAndDestroy());
		far.on('error', () => near.resetAndDestroy());
		near.on('close', () => {
			this.channels = this.channels.filter((each) => each !== channel);
			far.destroy();
		});
	}

	forwardEnd(channel) {
		const isLost = this.lostEndDelayMs > 0 && channel === this.channels.at(-1);
		if (!isLost) {
			channel.near.end();
			return;
		}
		this.note(`the packet with the end of a channel is lost and comes ${this.lostEndDelayMs} ms late`);
		setTimeout(() => channel.near.end(), this.lostEndDelayMs);
	}
}
