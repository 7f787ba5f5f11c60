/** A bidirectional gRPC stream of frames, opened by either side. */
import type { ClientDuplexStream, ServerDuplexStream } from '@grpc/grpc-js';

export const EXCHANGE_PATH = '/papayawell.peers.Peers/Exchange';

/**
 * Time after its end within which an outbound stream must close. gRPC queues a stream, and its end, while the connection
 * is not established, and keeps the process alive until it is.
 */
const CLOSE_TIMEOUT_MS = 2000;

export type GrpcStream = ClientDuplexStream<Uint8Array, Buffer> | ServerDuplexStream<Buffer, Uint8Array>;

/**
 * Views bytes as a Buffer, without copying. As the serializer of the gRPC method it leaves frames encoded:
 * `LinkTable` decodes them and refuses malformed ones.
 */
export function toBuffer(bytes: Uint8Array): Buffer {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

export interface FrameStreamHandlers {
	readonly onFrame: (bytes: Buffer) => void;
	/** Called once, when the stream ends, fails or closes. */
	readonly onEnd: () => void;
}

export class FrameStream {
	private isEnded = false;
	private closeTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly stream: GrpcStream,
		/** Whether this router opened the stream, rather than the peer. */
		public readonly isOutbound: boolean,
		private readonly releaseResources: () => void,
	) {}

	/** Starts delivering received frames. */
	public start(handlers: FrameStreamHandlers): void {
		const handleEnd = (): void => {
			if (!this.isEnded) {
				this.isEnded = true;
				clearTimeout(this.closeTimer);
				this.releaseResources();
				handlers.onEnd();
			}
		};
		this.stream.on('data', handlers.onFrame);
		this.stream.on('error', handleEnd);
		this.stream.on('end', () => {
			this.stream.end();
			handleEnd();
		});
		this.stream.on('close', handleEnd);
		if (!this.isOutbound) {
			this.stream.on('cancelled', handleEnd);
		}
	}

	/** Whether the write buffer is full and has to drain before more is sent. */
	public isBackpressured(): boolean {
		return this.stream.writableNeedDrain;
	}

	public send(bytes: Uint8Array): void {
		if (!this.isEnded) {
			this.stream.write(toBuffer(bytes));
		}
	}

	/** Ends the stream after pending writes; cancels it if that takes too long. */
	public end(): void {
		if (this.isEnded) {
			return;
		}
		const { stream } = this;
		stream.end();
		if ('cancel' in stream) {
			this.closeTimer ??= setTimeout(() => {
				stream.cancel();
			}, CLOSE_TIMEOUT_MS);
		}
	}
}
