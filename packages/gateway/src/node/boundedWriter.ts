/** Writes lines to a stream without ever blocking the process: what the reader does not take is dropped. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';

/** Bytes that wait for the reader; further lines are dropped. */
const MAX_PENDING_BYTES = 262_144;
const STANDARD_OUTPUT = 1;

/**
 * Opens standard output for writes that do not wait. The runtime's own stream waits on pipes and sockets, and then a
 * reader that has stopped also holds up the end of the process.
 */
export function openStandardOutput(): Writable {
	const status = fstatSync(STANDARD_OUTPUT);
	return status.isFIFO() || status.isSocket()
		? new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true })
		: process.stdout;
}

export class BoundedWriter {
	private batch: string[] = [];
	private batchBytes = 0;

	constructor(private readonly stream: Writable) {
		stream.on('error', () => {
			// The reader is gone; there is nowhere left to say so.
			this.batch = [];
		});
	}

	/** Queues a line; false if it was dropped. */
	public append(line: string): boolean {
		if (this.stream.writableLength + this.batchBytes + line.length > MAX_PENDING_BYTES) {
			return false;
		}
		if (this.batch.length === 0) {
			setImmediate(() => {
				this.flush();
			});
		}
		this.batch.push(line);
		this.batchBytes += line.length;
		return true;
	}

	/** Hands what is queued to the stream now. */
	public flush(): void {
		if (this.batch.length > 0 && !this.stream.destroyed) {
			this.stream.write(this.batch.join(''));
		}
		this.batch = [];
		this.batchBytes = 0;
	}
}
