/** Writes lines to a file descriptor without ever blocking the process: what the reader does not take is dropped. */
import { write } from 'node:fs';

/** Bytes that wait for the reader; further lines are dropped. */
const MAX_PENDING_BYTES = 262_144;
/** Bytes of one write. */
const MAX_BATCH_BYTES = 65_536;
/** Time after which a descriptor that took nothing is tried again. */
const RETRY_MS = 50;

export class BoundedWriter {
	private pending: string[] = [];
	private pendingBytes = 0;
	private isWriting = false;

	constructor(private readonly descriptor: number) {}

	/** Queues a line; false if it was dropped. */
	public append(line: string): boolean {
		if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
			return false;
		}
		this.pending.push(line);
		this.pendingBytes += line.length;
		this.flush();
		return true;
	}

	private flush(): void {
		if (this.isWriting || this.pending.length === 0) {
			return;
		}
		let batch = '';
		let taken = 0;
		while (taken < this.pending.length && batch.length < MAX_BATCH_BYTES) {
			batch += this.pending[taken] ?? '';
			taken += 1;
		}
		this.pending = this.pending.slice(taken);
		this.isWriting = true;
		this.writeBatch(Buffer.from(batch), batch.length);
	}

	private writeBatch(bytes: Buffer, pendingBytes: number): void {
		write(this.descriptor, bytes, (error, written) => {
			const left = error === null ? bytes.subarray(written) : bytes;
			if (left.length === 0 || (error !== null && error.code !== 'EAGAIN')) {
				this.pendingBytes -= pendingBytes;
				this.isWriting = false;
				this.flush();
				return;
			}
			setTimeout(() => {
				this.writeBatch(left, pendingBytes);
			}, RETRY_MS).unref();
		});
	}
}
