/** Executes the actions that the membership state machine requests, and fires an event when the view changes. */
import type { RouterView } from '@papayawell/core';
import type { MembershipAction } from '../common/membership.js';
import type { Probe } from '../common/probes.js';
import type { NetworkParts } from './networkParts.js';
import type { PeerLink } from './peerLink.js';

export class MembershipDriver {
	private lastView: RouterView | undefined;

	constructor(
		private readonly parts: NetworkParts,
		private readonly onDidChangeView: (view: RouterView) => void,
	) {}

	/** Executes the pending actions. `source` is the stream that caused them; records are not sent back on it. */
	public runActions(source: PeerLink | undefined): void {
		for (const action of this.parts.membership.takeActions()) {
			this.runAction(action, source);
		}
		const view = this.parts.membership.readView();
		if (view !== this.lastView) {
			this.lastView = view;
			this.onDidChangeView(view);
		}
	}

	private runAction(action: MembershipAction, source: PeerLink | undefined): void {
		switch (action.kind) {
			case 'disseminate':
				this.parts.gossip.forwardRecord(action.record, source);
				return;
			case 'dial':
				void this.parts.links.connect(action.router);
				return;
			case 'heartbeat':
				this.sendHeartbeat(action.to);
				return;
			case 'probe':
				void this.sendProbe(action.to, action.probe);
				return;
		}
	}

	private sendHeartbeat(to: string): void {
		const link = this.parts.links.get(to);
		if (link !== undefined) {
			this.parts.scheduler.flush(link, true, true);
		}
	}

	private async sendProbe(to: string, probe: Probe): Promise<void> {
		const router = this.parts.membership.readRecord(to)?.router;
		const link = router && (await this.parts.links.connect(router));
		if (link !== undefined) {
			link.outbox.addProbe(probe);
			this.parts.scheduler.scheduleNow(link);
		}
	}
}
