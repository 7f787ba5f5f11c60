/** Updates the target directory from the instance list, from leaving notices of other routers and from probes. */
import type { InstanceList, TargetInstance } from '@papayawell/core';
import { DisposableStore, ListedState, toDisposable } from '@papayawell/core';
import type { GrpcPeerNetwork } from '@papayawell/peers';
import type { InstanceListSource } from '@papayawell/keyvalue';
import type { TargetDirectory } from '../common/targetDirectory.js';

/** Interval for probing suspect targets and for re-checking a list with unconfirmed removals, in ms. */
const CHECK_INTERVAL_MS = 1000;

export interface TargetWatcherParts {
	readonly list: InstanceListSource;
	readonly peers: GrpcPeerNetwork;
	readonly directory: TargetDirectory;
	/** Probes whether a target is alive. */
	readonly probe: (target: TargetInstance) => Promise<boolean>;
}

export class TargetWatcher extends DisposableStore {
	private readonly probing = new Set<string>();

	constructor(private readonly parts: TargetWatcherParts) {
		super();
		const { list, peers, directory } = parts;
		this.add(
			list.onDidChange((answer) => {
				this.applyList(answer);
			}),
		);
		this.add(
			peers.onDidReceiveFact((fact) => {
				if (fact.kind === 'leaving') {
					directory.markLeaving(fact.instance, fact.incarnation);
				}
			}),
		);
		const timer = setInterval(() => {
			this.checkTargets();
		}, CHECK_INTERVAL_MS);
		this.add(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Applies a list and publishes newly leaving targets at once, since the lists of other routers may lag behind. */
	private applyList(list: InstanceList): void {
		const { peers, directory } = this.parts;
		peers.setSeeds(list.routers);
		directory.applyList(list, performance.now());
		for (const { target, state } of list.targets) {
			const { instance, incarnation } = target;
			if (state === ListedState.Leaving && directory.markLeaving(instance, incarnation)) {
				peers.publish({ kind: 'leaving', instance, incarnation, version: Date.now() });
			}
		}
	}

	/** Applies the current list again, which confirms removals that persist, and probes suspect targets. */
	private checkTargets(): void {
		const { list, directory } = this.parts;
		const known = list.readList();
		if (known !== undefined) {
			directory.applyList(known, performance.now());
		}
		for (const target of directory.listSuspects()) {
			if (!this.probing.has(target.instance)) {
				void this.probe(target);
			}
		}
	}

	private async probe(target: TargetInstance): Promise<void> {
		this.probing.add(target.instance);
		const isAlive = await this.parts.probe(target);
		this.probing.delete(target.instance);
		this.parts.directory.recordHealth(target.instance, isAlive ? 'succeed' : 'fail', performance.now());
	}
}
