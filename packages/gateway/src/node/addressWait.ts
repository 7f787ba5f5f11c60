/** Waits for an address that another socket still holds, or that the interface does not have yet. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '../common/eventLog.js';

const RETRY_INTERVAL_MS = 50;
const BUSY_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

interface BindError extends NodeJS.ErrnoException {
	readonly address?: string;
	readonly port?: number;
}

export class AddressWait {
	private readonly startedAtMs = performance.now();

	/** @param limitMs time from now after which an address that is still taken is an error */
	constructor(
		private readonly log: EventLog,
		private readonly limitMs: number,
	) {}

	/** Calls `open`, again for as long as it rejects because an address is taken. Returns its result. */
	public async retry<T>(open: () => Promise<T>): Promise<T> {
		const waits = new Map<string, number>();
		for (;;) {
			try {
				const opened = await open();
				const nowMs = performance.now();
				for (const [address, sinceMs] of waits) {
					this.log.write('state', 'addressAcquired', { address, waitedMs: Math.round(nowMs - sinceMs) });
				}
				return opened;
			} catch (error) {
				const nowMs = performance.now();
				if (!isBusy(error) || nowMs - this.startedAtMs >= this.limitMs) {
					throw error;
				}
				const address = `${error.address ?? ''}:${error.port ?? ''}`;
				if (!waits.has(address)) {
					waits.set(address, nowMs);
					this.log.write('state', 'addressInUse', { address, detail: error.message });
				}
			}
			await sleep(RETRY_INTERVAL_MS);
		}
	}
}

function isBusy(error: unknown): error is BindError {
	return error instanceof Error && BUSY_CODES.has((error as BindError).code);
}
