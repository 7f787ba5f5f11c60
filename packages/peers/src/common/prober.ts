/** Sends probes for this router and on behalf of others, and handles their acknowledgements. */
import type { Probe } from './probes.js';
import { ProbeKind, ProbeRelay } from './probes.js';
import type { RandomChoice } from './randomChoice.js';

export interface ProberOptions {
	/** Number of routers asked for an indirect probe. */
	readonly indirectProbeCount: number;
	readonly random: RandomChoice;
	readonly send: (to: string, probe: Probe) => void;
	/** Called when `instance` acknowledged a probe, directly or through another router. */
	readonly onDidReceiveAck: (instance: string, nowMs: number) => void;
}

export class Prober {
	private readonly relay = new ProbeRelay();

	constructor(private readonly options: ProberOptions) {}

	public probe(target: string): void {
		this.options.send(target, { kind: ProbeKind.Ping, nonce: this.relay.nextNonce(), target: '' });
	}

	/** Requests some of `others` to ping the target. */
	public probeIndirectly(target: string, others: readonly string[]): void {
		const helpers = others.filter((instance) => instance !== target);
		for (const helper of this.options.random.pickSome(helpers, this.options.indirectProbeCount)) {
			const nonce = this.relay.nextNonce();
			this.options.send(helper, { kind: ProbeKind.PingRequest, nonce, target });
		}
	}

	public receive(from: string, probe: Probe, nowMs: number): void {
		switch (probe.kind) {
			case ProbeKind.Ping:
				this.options.send(from, { kind: ProbeKind.Ack, nonce: probe.nonce, target: '' });
				return;
			case ProbeKind.Ack:
				this.receiveAck(from, probe, nowMs);
				return;
			case ProbeKind.PingRequest:
				this.options.send(probe.target, this.relay.createRelayedPing(from, probe, nowMs));
				return;
			case ProbeKind.TargetAck:
				this.options.onDidReceiveAck(probe.target, nowMs);
				return;
		}
	}

	/** Removes relayed probes that timed out. */
	public prune(nowMs: number): void {
		this.relay.prune(nowMs);
	}

	private receiveAck(from: string, probe: Probe, nowMs: number): void {
		this.options.onDidReceiveAck(from, nowMs);
		const requester = this.relay.takeRequester(probe.nonce);
		if (requester !== undefined) {
			this.options.send(requester.from, { kind: ProbeKind.TargetAck, nonce: requester.nonce, target: from });
		}
	}
}
