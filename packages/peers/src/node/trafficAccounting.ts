/**
 * Accounting of control traffic on the wire. Frames are attributed to kinds of traffic as they are sent and
 * received; the totals are reconciled with the socket counters periodically. Packet headers are estimated,
 * because sockets do not count them.
 */
import { ControlBudget } from '../common/controlBudget.js';
import type { TrafficDirection, TrafficTotals } from '../common/trafficKind.js';
import { TrafficCounter, TrafficKind } from '../common/trafficKind.js';
import { measureFrame } from './frameCodec.js';
import type { SocketMeter } from './socketMeter.js';

/** IPv4 header, TCP header and the TCP timestamp option. */
export const PACKET_HEADER_BYTES = 52;
/** Payload of a full TCP segment with an MTU of 1,500 bytes. */
const SEGMENT_BYTES = 1_448;
/** Length prefix of a gRPC message and header of an HTTP/2 data frame. */
const MESSAGE_HEADER_BYTES = 14;
/** Header, content type and authentication tag of a TLS 1.3 record. */
const TLS_RECORD_OVERHEAD_BYTES = 22;

export class TrafficAccounting {
	private readonly counter = new TrafficCounter();
	private readonly budget: ControlBudget;
	private readonly frameOverheadBytes: number;
	/** Socket bytes accounted for so far, by frames or by reconciliation. */
	private readonly attributedBytes = { sent: 0, received: 0 };

	constructor(
		bytesPerSecond: number,
		private readonly meter: SocketMeter,
		isEncrypted: boolean,
		nowMs: number,
	) {
		this.budget = new ControlBudget(bytesPerSecond, nowMs);
		this.frameOverheadBytes = MESSAGE_HEADER_BYTES + (isEncrypted ? TLS_RECORD_OVERHEAD_BYTES : 0);
	}

	/** Records a well-formed frame. For each of its packets an acknowledgement in the other direction is counted. */
	public recordFrame(direction: TrafficDirection, bytes: Uint8Array, nowMs: number): void {
		measureFrame(bytes, (kind, count) => {
			this.counter.add(direction, kind, count);
		});
		const socketBytes = bytes.length + this.frameOverheadBytes;
		const headerBytes = Math.ceil(socketBytes / SEGMENT_BYTES) * PACKET_HEADER_BYTES;
		this.attributedBytes[direction] += socketBytes;
		this.counter.add(direction, TrafficKind.Framing, this.frameOverheadBytes + headerBytes);
		this.counter.add(direction === 'sent' ? 'received' : 'sent', TrafficKind.Framing, headerBytes);
		this.budget.consume(socketBytes + 2 * headerBytes, nowMs);
	}

	public isAllowed(kind: TrafficKind, nowMs: number): boolean {
		return this.budget.isAllowed(kind, nowMs);
	}

	/** Adds the bytes that the sockets counted beyond the frames: handshakes, HTTP/2 settings, window updates. */
	public reconcile(nowMs: number): void {
		const measured = this.meter.read();
		for (const direction of ['sent', 'received'] as const) {
			const unattributed = measured[direction] - this.attributedBytes[direction];
			if (unattributed > 0) {
				this.attributedBytes[direction] += unattributed;
				this.counter.add(direction, TrafficKind.Framing, unattributed);
				this.budget.consume(unattributed, nowMs);
			}
		}
	}

	/** Returns the bytes on the wire by kind of traffic, including packet headers. */
	public read(): TrafficTotals {
		return this.counter.read();
	}
}
