/** Writes lines to a stream without blocking the process; lines that a slow reader cannot take are dropped. */
import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';
import { Writable } from 'node:stream';

/** Maximum number of bytes that are queued for the reader; further lines are dropped. */
const MAX_PENDING_BYTES = 262_144;
const STANDARD_OUTPUT_FD = 1;

/**
 * Opens standard output for writes that neither block on a reader nor fail. The runtime's own stream blocks on pipes and
 * sockets, so that a reader that has stopped would also delay the exit of the process, and it gives up on a file after
 * one error. Libraries also listen to its errors, and throw them.
 */
export function openStandardOutput(): Writable {
	const status = fstatSync(STANDARD_OUTPUT_FD);
	if (status.isFIFO() || status.isSocket()) {
		return new Socket({ fd: STANDARD_OUTPUT_FD, readable: false, writable: true });
	}
	return new Writable({
		write: (chunk: Buffer, _encoding, onWritten) => {
			try {
				writeSync(STANDARD_OUTPUT_FD, chunk);
			} catch {
				// The disk is full: these lines are lost, later ones may find room.
			}
			onWritten();
		},
	});
}

export class BoundedWriter {
	private batch: string[] = [];
	private batchBytes = 0;

	constructor(private readonly stream: Writable) {
		stream.on('error', () => {
			// The reader is gone, so the error cannot be reported either.
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

	/** Writes the queued lines to the stream now. */
	public flush(): void {
		if (this.batch.length > 0 && !this.stream.destroyed) {
			this.stream.write(this.batch.join(''));
		}
		this.batch = [];
		this.batchBytes = 0;
	}
}
