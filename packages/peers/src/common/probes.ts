/** Failure-detection probes between routers, and relaying of indirect probes. */

export const ProbeKind = {
	Ping: 'ping',
	Ack: 'ack',
	PingRequest: 'pingRequest',
	TargetAck: 'targetAck',
} as const;
export type ProbeKind = (typeof ProbeKind)[keyof typeof ProbeKind];

export interface Probe {
	readonly kind: ProbeKind;
	readonly nonce: number;
	/** Router to ping (`pingRequest`) or that acknowledged (`targetAck`); otherwise empty. */
	readonly target: string;
}

interface RelayRequester {
	readonly from: string;
	readonly nonce: number;
	readonly requestedAtMs: number;
}

const RELAY_TIMEOUT_MS = 5_000;
const MAX_PENDING_RELAYS = 256;

/** Tracks the requesters of the pings that this router relays. */
export class ProbeRelay {
	private readonly requesters = new Map<number, RelayRequester>();
	private lastNonce = 0;

	public nextNonce(): number {
		this.lastNonce = (this.lastNonce + 1) >>> 0;
		return this.lastNonce;
	}

	/** Creates the ping for a request of `from`. Beyond the limit its acknowledgement is not relayed. */
	public createRelayedPing(from: string, request: Probe, nowMs: number): Probe {
		const nonce = this.nextNonce();
		if (this.requesters.size < MAX_PENDING_RELAYS) {
			this.requesters.set(nonce, { from, nonce: request.nonce, requestedAtMs: nowMs });
		}
		return { kind: ProbeKind.Ping, nonce, target: '' };
	}

	/** Removes and returns the requester of the ping with this nonce. */
	public takeRequester(nonce: number): RelayRequester | undefined {
		const requester = this.requesters.get(nonce);
		this.requesters.delete(nonce);
		return requester;
	}

	public prune(nowMs: number): void {
		for (const [nonce, requester] of this.requesters) {
			if (nowMs - requester.requestedAtMs > RELAY_TIMEOUT_MS) {
				this.requesters.delete(nonce);
			}
		}
	}
}
