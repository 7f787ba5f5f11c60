/**
 * Transport between the instances of the fleet. Each instance gossips its state in a small datagram several times a
 * second, and documents that differ are fetched over HTTP. A lost datagram is made up for by the next one.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { createServer, get } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Disposable } from '@papayawell/core';
import { splitAddress } from '../common/addresses.js';
import { GOSSIP_FAN_OUT, selectRecipients } from '../common/gossipInterval.js';
import type { PeerState } from '../common/peerState.js';
import type { RelayedRequest } from '../common/relayHeaders.js';
import { readRelayHeaders } from '../common/relayHeaders.js';
import { decodePeerState, encodeCompressed, encodePeerState } from './peerStateCodec.js';
import { bindAt, listenAt } from './listenAt.js';

/** Time-out of a fetch from a peer in the same region. */
const FETCH_TIMEOUT_MS = 800;
/** Limit of a document, above that of all prompt caches; a longer one would take the memory of the process. */
const MAX_DOCUMENT_BYTES = 16_777_216;
/** Larger datagrams are not sent: they would be fragmented in transit. */
const MAX_DATAGRAM_BYTES = 60_000;
/** Limit of the header of a relayed request: that of callers, and what the instance that relays it adds. */
const MAX_HEADER_BYTES = 65_536;
const HTTP_MISDIRECTED_REQUEST = 421;
/** First byte of a datagram that holds a message rather than a state; neither JSON nor a compressed state begins with it. */
const MESSAGE_MARK = 2;
/** First byte of a datagram with a state that the recipient is to relay within its zone; the encoded state follows. */
const RELAY_MARK = 3;
/** First byte of a datagram with a state that was relayed. */
const RELAYED_MARK = 4;
/** Size from which states to relay are compressed: smaller than of others, since bytes between zones are expensive. */
const MIN_COMPRESSED_RELAY_BYTES = 300;

export interface PeerTransportOptions {
	/** IP address and port, for datagrams and HTTP. */
	readonly address: string;
	/** Returns whether the state is of this fleet and newer than the last one of its sender. */
	readonly onState: (state: PeerState) => boolean;
	/** Lists the control addresses of the instances to which a state of another zone is relayed. */
	readonly listRelayRecipients: (state: PeerState) => readonly string[];
	/** Called with the size of each datagram that is sent. */
	readonly onDidSend: (address: string, bytes: number) => void;
	/** @param controlAddress address of the instance that sent the message */
	readonly onMessage: (message: Buffer, controlAddress: string) => void;
	/** Documents that peers may fetch, by path. */
	readonly documents: Readonly<Record<string, () => string | undefined>>;
	/** Handles a request that another instance relays; returns false if it does not come from a known one. */
	readonly onRelayedRequest: (
		message: IncomingMessage,
		response: ServerResponse,
		relayed: RelayedRequest,
	) => boolean;
	readonly onError: (detail: string) => void;
}

export class PeerTransport implements Disposable {
	private readonly socket: Socket;
	private readonly server: Server;
	private nextRecipient = 0;

	constructor(private readonly options: PeerTransportOptions) {
		this.socket = createSocket('udp4');
		this.socket.on('message', (bytes, { address, port }) => {
			const mark = bytes[0];
			if (mark === MESSAGE_MARK) {
				options.onMessage(bytes.subarray(1), `${address}:${port}`);
			} else if (mark === RELAY_MARK) {
				this.forwardState(bytes.subarray(1));
			} else {
				this.handleDatagram(mark === RELAYED_MARK ? bytes.subarray(1) : bytes);
			}
		});
		this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
			const relayed = readRelayHeaders(request.headers);
			if (relayed !== undefined) {
				if (!options.onRelayedRequest(request, response, relayed)) {
					response.writeHead(HTTP_MISDIRECTED_REQUEST).end();
				}
				return;
			}
			const document = options.documents[request.url ?? '']?.();
			response.writeHead(document === undefined ? 404 : 200, { 'Content-Type': 'application/json' });
			response.end(document);
		});
	}

	public async listen(): Promise<void> {
		const options = {
			address: this.options.address,
			onError: (error: Error) => {
				this.options.onError(error.message);
			},
		};
		await bindAt(this.socket, options);
		await listenAt(this.server, options);
	}

	/**
	 * Sends a state to the given control addresses; in a large fleet, to as many of them as the fan-out allows.
	 * @param compressedAddresses addresses of the instances that read compressed states
	 * @returns addresses that are due for a heartbeat in place of the state
	 */
	public send(
		state: PeerState,
		addresses: readonly string[],
		compressedAddresses: ReadonlySet<string> = new Set(),
	): readonly string[] {
		const plain = encodePeerState(state);
		const compressed = compressedAddresses.size > 0 ? encodeCompressed(plain) : plain;
		if (plain.length > MAX_DATAGRAM_BYTES) {
			this.options.onError(`state not sent: ${plain.length} bytes exceed the limit of ${MAX_DATAGRAM_BYTES}`);
			return [];
		}
		const start = addresses.length <= GOSSIP_FAN_OUT ? 0 : this.nextRecipient % addresses.length;
		const { states, heartbeats } = selectRecipients(addresses, start);
		if (addresses.length > GOSSIP_FAN_OUT) {
			// In a large fleet each round continues with the addresses after those of the last one.
			this.nextRecipient = start + GOSSIP_FAN_OUT;
		}
		for (const address of states) {
			this.sendDatagram(compressedAddresses.has(address) ? compressed : plain, address);
		}
		return heartbeats;
	}

	/** Sends a state to all given control addresses, which read compressed states, and to relays for their zones. */
	public sendWithRelays(state: PeerState, direct: readonly string[], relays: readonly string[]): void {
		const encoded = encodeCompressed(encodePeerState(state), MIN_COMPRESSED_RELAY_BYTES);
		if (encoded.length > MAX_DATAGRAM_BYTES) {
			this.options.onError(
				`state not sent: ${encoded.length} bytes exceed the limit of ${MAX_DATAGRAM_BYTES}`,
			);
			return;
		}
		for (const address of direct) {
			this.sendDatagram(encoded, address);
		}
		const toRelay = Buffer.concat([Buffer.of(RELAY_MARK), encoded]);
		for (const address of relays) {
			this.sendDatagram(toRelay, address);
		}
	}

	/** Sends a message to one instance, once; it may get lost. */
	public sendMessage(message: Buffer, address: string): void {
		this.sendDatagram(Buffer.concat([Buffer.of(MESSAGE_MARK), message]), address);
	}

	/** Fetches a document from a peer; undefined if the peer has none or does not answer. */
	public fetch(address: string, path: string): Promise<string | undefined> {
		const { host, port } = splitAddress(address);
		return new Promise((resolve) => {
			const request = get({ host, port, path, agent: false, timeout: FETCH_TIMEOUT_MS }, (response) => {
				const parts: Buffer[] = [];
				let bytes = 0;
				response.on('data', (part: Buffer) => {
					parts.push(part);
					bytes += part.length;
					if (bytes > MAX_DOCUMENT_BYTES) {
						parts.length = 0;
						request.destroy(new Error(`document ${path} of ${address} is too long`));
					}
				});
				response.on('end', () => {
					resolve(response.statusCode === 200 ? Buffer.concat(parts).toString('utf8') : undefined);
				});
				response.on('error', (error) => {
					this.options.onError(error.message);
					resolve(undefined);
				});
			});
			request.on('timeout', () =>
				request.destroy(new Error(`no response from ${address} within ${FETCH_TIMEOUT_MS} ms`)),
			);
			request.on('error', (error) => {
				this.options.onError(error.message);
				resolve(undefined);
			});
		});
	}

	public dispose(): void {
		this.socket.close();
		this.server.close();
		this.server.closeAllConnections();
	}

	private sendDatagram(bytes: Buffer, address: string): void {
		const { host, port } = splitAddress(address);
		this.options.onDidSend(address, bytes.length);
		this.socket.send(bytes, port, host, (error) => {
			if (error !== null) {
				this.options.onError(error.message);
			}
		});
	}

	private forwardState(bytes: Buffer): void {
		const state = this.handleDatagram(bytes);
		if (state === undefined) {
			return;
		}
		const relayed = Buffer.concat([Buffer.of(RELAYED_MARK), bytes]);
		for (const address of this.options.listRelayRecipients(state)) {
			this.sendDatagram(relayed, address);
		}
	}

	/** Returns the state if it is valid and new. */
	private handleDatagram(bytes: Buffer): PeerState | undefined {
		let state: PeerState;
		try {
			state = decodePeerState(bytes);
		} catch (error) {
			this.options.onError(`datagram cannot be decoded: ${String(error)}`);
			return undefined;
		}
		return this.options.onState(state) ? state : undefined;
	}
}
