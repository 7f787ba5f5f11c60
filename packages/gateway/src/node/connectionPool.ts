/** The connections of this instance to one target. */
import type { Disposable } from '@papayawell/core';
import { TargetConnection } from './targetConnection.js';

/** Connections within a region are up in a few ms; a longer wait means that the target or the way to it is gone. */
const CONNECT_TIMEOUT_MS = 300;
/** How long an idle connection is used if the target does not tell. Below common server defaults of 5 s. */
const DEFAULT_IDLE_LIMIT_MS = 4000;

export class ConnectionPool implements Disposable {
	private readonly connections = new Set<TargetConnection>();
	private readonly host: string;
	private readonly port: number;

	/**
	 * @param address IP address and port
	 * @param onOpened hears of each new connection
	 */
	constructor(
		address: string,
		private readonly onOpened: () => void,
	) {
		const colon = address.lastIndexOf(':');
		this.host = address.slice(0, colon);
		this.port = Number(address.slice(colon + 1));
	}

	/**
	 * Takes an idle connection or opens a new one; undefined if there are `limit` connections in use.
	 * @param idleLimitMs a connection that was idle for longer is not taken
	 */
	public acquire(nowMs: number, limit: number, idleLimitMs?: number): TargetConnection | undefined {
		let newest: TargetConnection | undefined;
		for (const connection of this.connections) {
			if (connection.isIdle(nowMs, idleLimitMs)) {
				newest = connection;
			}
		}
		if (newest !== undefined) {
			return newest;
		}
		this.closeStale(nowMs);
		return this.connections.size >= limit ? undefined : this.open();
	}

	/** Opens a connection that stays idle until it is acquired. */
	public open(): TargetConnection {
		const connection: TargetConnection = new TargetConnection(
			{
				host: this.host,
				port: this.port,
				connectTimeoutMs: CONNECT_TIMEOUT_MS,
				onClosed: () => this.connections.delete(connection),
			},
			DEFAULT_IDLE_LIMIT_MS,
		);
		this.connections.add(connection);
		this.onOpened();
		return connection;
	}

	/** Closes the idle connections; those in use end with their requests. */
	public dispose(): void {
		const nowMs = performance.now();
		for (const connection of this.connections) {
			if (connection.isIdle(nowMs, Infinity)) {
				connection.close();
			}
		}
	}

	private closeStale(nowMs: number): void {
		for (const connection of this.connections) {
			if (connection.isStale(nowMs)) {
				connection.close();
			}
		}
	}
}
