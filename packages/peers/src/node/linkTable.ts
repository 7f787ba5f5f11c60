/** Opens streams to other routers, verifies the peer in a handshake and keeps one stream for each pair. */
import type { RouterInstance } from '@papayawell/core';
import { decodeFrame, encodeFrame } from './frameCodec.js';
import type { Frame } from './frameCodec.js';
import type { FrameStream } from './frameStream.js';
import type { Logger } from './logger.js';
import { PeerLink } from './peerLink.js';
import { decodeRecord, encodeRecord } from './wireRecords.js';
import type { MemberRecord } from '../common/memberRecord.js';

/** Version of the frame protocol. Routers with another version are refused. */
export const PROTOCOL_VERSION = 1;
/** Time-out for the first frame of a new stream. */
const HELLO_TIMEOUT_MS = 3_000;
/** Minimum time between two attempts to connect to one address. */
const MIN_REDIAL_INTERVAL_MS = 700;

export interface LinkTableOptions {
	readonly self: string;
	readonly fleet: string;
	readonly readSelf: () => MemberRecord;
	/** Returns the known record of a router, if any. */
	readonly readRecord: (instance: string) => MemberRecord | undefined;
	readonly open: (address: string) => FrameStream;
	readonly readNowMs: () => number;
	readonly onDidOpen: (link: PeerLink, record: MemberRecord) => void;
	readonly onDidClose: (link: PeerLink) => void;
	readonly onDidSend: (bytes: Uint8Array) => void;
	readonly onDidReceive: (link: PeerLink, frame: Frame, bytes: Uint8Array) => void;
	readonly logger: Logger;
}

type HandshakeCallback = (link: PeerLink | undefined) => void;

export class LinkTable {
	private readonly links = new Map<string, PeerLink>();
	private readonly dialing = new Map<string, Promise<PeerLink | undefined>>();
	private readonly dialedAtMs = new Map<string, number>();

	constructor(private readonly options: LinkTableOptions) {}

	public get(instance: string): PeerLink | undefined {
		return this.links.get(instance);
	}

	public list(): IterableIterator<PeerLink> {
		return this.links.values();
	}

	/** Starts the handshake on a stream that another router opened. */
	public accept(stream: FrameStream): void {
		this.startHandshake(stream, undefined, () => undefined);
	}

	/** Returns the stream to `router`, opening one if needed, or undefined if the router cannot be reached. */
	public connect(router: RouterInstance): Promise<PeerLink | undefined> {
		const link = this.links.get(router.instance);
		if (link !== undefined) {
			return Promise.resolve(link);
		}
		let dialing = this.dialing.get(router.instance);
		if (dialing === undefined) {
			dialing = this.openLink(router).finally(() => this.dialing.delete(router.instance));
			this.dialing.set(router.instance, dialing);
		}
		return dialing;
	}

	/** Ends a stream after pending writes. */
	public close(link: PeerLink): void {
		link.stream.end();
		this.remove(link);
	}

	private openLink(router: RouterInstance): Promise<PeerLink | undefined> {
		const nowMs = this.options.readNowMs();
		if (nowMs - (this.dialedAtMs.get(router.peersAddress) ?? -Infinity) < MIN_REDIAL_INTERVAL_MS) {
			return Promise.resolve(undefined);
		}
		this.dialedAtMs.set(router.peersAddress, nowMs);
		const stream = this.options.open(router.peersAddress);
		return new Promise((resolve) => {
			this.startHandshake(stream, router.instance, resolve);
			this.sendHello(stream);
		});
	}

	/** Verifies the first frame of the peer, then delivers the frames that follow. */
	private startHandshake(
		stream: FrameStream,
		expected: string | undefined,
		onOpened: HandshakeCallback,
	): void {
		let link: PeerLink | undefined;
		const timer = setTimeout(() => {
			stream.end();
			onOpened(undefined);
		}, HELLO_TIMEOUT_MS);
		stream.start({
			onFrame: (bytes) => {
				if (link !== undefined) {
					this.receive(link, bytes);
					return;
				}
				clearTimeout(timer);
				link = this.receiveHello(stream, bytes, expected);
				onOpened(link && this.links.get(link.instance));
			},
			onEnd: () => {
				clearTimeout(timer);
				onOpened(undefined);
				if (link !== undefined) {
					this.remove(link);
				}
			},
		});
	}

	private receive(link: PeerLink, bytes: Uint8Array): void {
		const frame = decodeFrame(bytes);
		if (frame.err) {
			this.options.logger('warn', `closed stream to ${link.instance}: ${frame.val.message}`);
			this.close(link);
			return;
		}
		this.options.onDidReceive(link, frame.val, bytes);
	}

	private receiveHello(
		stream: FrameStream,
		bytes: Uint8Array,
		expected: string | undefined,
	): PeerLink | undefined {
		const frame = decodeFrame(bytes);
		const record = frame.ok ? this.checkHello(frame.val, expected) : frame.val.message;
		if (typeof record === 'string') {
			this.options.logger('warn', `refused a peer: ${record}`);
			stream.end();
			return undefined;
		}
		const link = new PeerLink(record.router, stream, this.options.readNowMs());
		if (!stream.isOutbound) {
			this.sendHello(stream);
		}
		this.addLink(link, record);
		if (frame.ok) {
			this.options.onDidReceive(link, frame.val, bytes);
		}
		return link;
	}

	/** Returns the record of the peer, or the reason for refusing it. */
	private checkHello(frame: Frame, expected: string | undefined): MemberRecord | string {
		const { hello } = frame;
		const record = hello?.self ? decodeRecord(hello.self) : undefined;
		if (!hello || record === undefined) {
			return 'its first frame has no valid member record';
		}
		const { instance, incarnation } = record.router;
		if (hello.fleet !== this.options.fleet) {
			return `${instance} does not belong to fleet ${this.options.fleet}`;
		}
		if (hello.protocol !== PROTOCOL_VERSION) {
			return `${instance} uses protocol version ${hello.protocol ?? 0}, expected ${PROTOCOL_VERSION}`;
		}
		if (instance === this.options.self || (expected !== undefined && instance !== expected)) {
			return `peer identified itself as ${instance}, expected ${expected ?? 'another router'}`;
		}
		const known = this.options.readRecord(instance);
		if (known !== undefined && known.router.incarnation > incarnation) {
			return `${instance} has incarnation ${incarnation}, but ${known.router.incarnation} is already known`;
		}
		return record;
	}

	/**
	 * If both routers of a pair opened a stream, keeps the one opened by the router with the lesser name. Both sides
	 * decide alike, so the same stream remains.
	 */
	private addLink(link: PeerLink, record: MemberRecord): void {
		const current = this.links.get(link.instance);
		if (current !== undefined && this.isPreferred(current, link)) {
			link.stream.end();
			return;
		}
		if (current !== undefined) {
			this.close(current);
		}
		this.links.set(link.instance, link);
		this.options.onDidOpen(link, record);
	}

	private isPreferred(current: PeerLink, next: PeerLink): boolean {
		const isSameIncarnation = current.router.incarnation === next.router.incarnation;
		const isOwnNameLesser = this.options.self < current.instance;
		return (
			isSameIncarnation &&
			current.stream.isOutbound !== next.stream.isOutbound &&
			current.stream.isOutbound === isOwnNameLesser
		);
	}

	private sendHello(stream: FrameStream): void {
		const bytes = encodeFrame({
			hello: {
				fleet: this.options.fleet,
				protocol: PROTOCOL_VERSION,
				self: encodeRecord(this.options.readSelf()),
			},
		});
		stream.send(bytes);
		this.options.onDidSend(bytes);
	}

	private remove(link: PeerLink): void {
		if (this.links.get(link.instance) === link) {
			this.links.delete(link.instance);
			this.options.onDidClose(link);
		}
	}
}
