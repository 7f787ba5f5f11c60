/** Connection pool of this instance for one target. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Disposable } from '@papayawell/core';
import type { EndEvidence, ProbeResult } from './targetConnection.js';
import { TargetConnection } from './targetConnection.js';

/** Within a region a connection takes a few ms; a longer wait means that the target or the network is down. */
const CONNECT_TIMEOUT_MS = 300;
/** How long an idle connection is reused if the target states no time-out. Below the common server default of 5 s. */
const DEFAULT_IDLE_LIMIT_MS = 4000;
/** Within this time the kernel closes all connections of a process that dies, and its port. */
const DEATH_NOTICE_MS = 20;

export class ConnectionPool implements Disposable {
	private readonly connections = new Set<TargetConnection>();
	private readonly endListeners = new Set<() => void>();
	private readonly host: string;
	private readonly port: number;

	/**
	 * @param address IP address and port
	 * @param onOpened called for each new connection
	 * @param mayOpen whether a connection may be opened to see whether the target lives
	 */
	constructor(
		address: string,
		private readonly onOpened: () => void,
		private readonly mayOpen: () => boolean,
	) {
		const colon = address.lastIndexOf(':');
		this.host = address.slice(0, colon);
		this.port = Number(address.slice(colon + 1));
	}

	/**
	 * Returns an idle connection or opens a new one; undefined if `limit` connections are in use.
	 * @param idleLimitMs connections that were idle for longer are not reused
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
				findEndEvidence: () => this.findEndEvidence(),
				onClosed: () => {
					this.connections.delete(connection);
					this.signalEnd();
				},
			},
			DEFAULT_IDLE_LIMIT_MS,
		);
		this.connections.add(connection);
		this.onOpened();
		return connection;
	}

	/** Closes the idle connections; those in use complete their requests. */
	public dispose(): void {
		const nowMs = performance.now();
		for (const connection of this.connections) {
			if (connection.isIdle(nowMs, Infinity)) {
				connection.close();
			}
		}
	}

	/** Finds out whether the target lives on after it has ended one of its connections; undefined if it does not. */
	private async findEndEvidence(): Promise<EndEvidence | undefined> {
		this.signalEnd();
		// Of answers that end at the same time, one opens a connection, and the others wait for it.
		for (let wait = 0; wait < 2 && this.hasConnections; wait++) {
			await this.waitForEnds(DEATH_NOTICE_MS);
			if ([...this.connections].some(({ isOpen }) => isOpen)) {
				return 'openConnection';
			}
		}
		if (!this.mayOpen()) {
			return 'notProbed';
		}
		switch (await this.probe(DEATH_NOTICE_MS)) {
			case 'open':
				return 'newConnection';
			case 'unreachable':
				return undefined;
			case 'reset':
				// The port of a process that dies may accept a last connection; a target at its limit of connections resets each.
				await sleep(DEATH_NOTICE_MS);
				return (await this.probe(0)) === 'unreachable' ? undefined : 'newConnection';
		}
	}

	private get hasConnections(): boolean {
		return [...this.connections].some(({ isOpen, isConnecting }) => isOpen || isConnecting);
	}

	/**
	 * Waits until the target has ended all connections, but no longer than `timeMs`. A target that has died is probed at
	 * once then, since its successor may soon listen at the address.
	 */
	private waitForEnds(timeMs: number): Promise<void> {
		return new Promise((resolve) => {
			const finish = (): void => {
				clearTimeout(timer);
				this.endListeners.delete(check);
				resolve();
			};
			const check = (): void => {
				if (!this.hasConnections) {
					finish();
				}
			};
			// The ends that came in this time may still have to be read.
			const timer = setTimeout(() => setImmediate(finish), timeMs);
			this.endListeners.add(check);
		});
	}

	private signalEnd(): void {
		for (const check of this.endListeners) {
			check();
		}
	}

	private probe(holdMs: number): Promise<ProbeResult> {
		return new Promise((resolve) => {
			this.open().probe(holdMs, resolve);
		});
	}

	private closeStale(nowMs: number): void {
		for (const connection of this.connections) {
			if (connection.isStale(nowMs)) {
				connection.close();
			}
		}
	}
}
