/** Describes the state of this instance for its peers, and passes on theirs to the parts that adopt it. */
import type { AdmissionControl } from './admissionControl.js';
import type { ActiveConfiguration } from '../common/activeConfiguration.js';
import type { MetadataStore } from '../common/metadataStore.js';
import type { InstanceRoster } from '../common/instanceRoster.js';
import type { GatewayState, PeerState, TargetLoad } from '../common/peerState.js';
import type { StartupCatchUp } from '../common/startupCatchUp.js';
import { encodeTargetList } from '../common/targetListDocument.js';
import type { TargetTable } from '../common/targetTable.js';
import type { TargetView } from '../common/targetView.js';
import type { ColdTargetSync } from './coldTargetSync.js';
import type { ConfigurationSync } from './configurationSync.js';
import type { CrashTracker } from './crashTracker.js';
import type { EvacuationSync } from './evacuationSync.js';
import type { LoadReportSync } from './loadReportSync.js';
import type { PromptCacheSync } from './promptCacheSync.js';
import type { RequestLimitSync } from './requestLimitSync.js';
import type { TargetListSync } from './targetListSync.js';

export interface PeerExchangeParts {
	readonly store: MetadataStore;
	readonly activeConfiguration: ActiveConfiguration;
	readonly view: TargetView;
	readonly targets: TargetTable;
	readonly catchUp: StartupCatchUp;
	readonly configurationSync: ConfigurationSync;
	readonly targetListSync: TargetListSync;
	readonly promptCacheSync: PromptCacheSync;
	readonly crashTracker: CrashTracker;
	readonly requestLimitSync: RequestLimitSync;
	readonly evacuationSync: EvacuationSync;
	readonly coldTargetSync: ColdTargetSync;
	readonly loadReportSync: LoadReportSync;
	readonly roster: InstanceRoster;
	/** Undefined if this instance does not share capacity. */
	readonly admission: AdmissionControl | undefined;
	readonly isServing: () => boolean;
	/** Whether this instance reaches targets itself. */
	readonly hasTargetPath: () => boolean;
}

export class PeerExchange {
	constructor(private readonly parts: PeerExchangeParts) {}

	public describeSelf(): GatewayState {
		const { activeConfiguration, crashTracker, promptCacheSync, requestLimitSync, view } = this.parts;
		const nowMs = performance.now();
		const { list } = view;
		const evacuations = this.parts.evacuationSync.describe(nowMs);
		return {
			isServing: this.parts.isServing(),
			hasTargetPath: this.parts.hasTargetPath(),
			configurationVersion: activeConfiguration.version,
			targetsRevision: list?.revision ?? 0,
			storeEra: list?.era ?? 0,
			targetsAgeMs: list === undefined ? 0 : Math.round(view.computeAge(nowMs)),
			targetsDigest: view.digest,
			leaving: view.listUnlistedLeaving(),
			loads: this.listLoads(),
			prompts: promptCacheSync.listRecentPrompts(nowMs),
			promptTokens: promptCacheSync.countCachedTokens(),
			promptKnowledge: promptCacheSync.knowledge,
			crashes: crashTracker.listCrashes(nowMs),
			...crashTracker.describePromptParts(nowMs),
			targetLimits: requestLimitSync.listReports(nowMs),
			...(evacuations === undefined ? {} : { evacuations }),
			coldTargets: this.parts.coldTargetSync.listReports(nowMs),
			rosterSize: this.parts.roster.size,
			targetReports: this.parts.loadReportSync.listReports(nowMs),
			capacityUse: this.parts.admission?.describeUse(nowMs),
		};
	}

	/** Describes what this instance knows of targets that left, for an instance that starts. */
	public describeDepartedTargets(): Pick<PeerState, 'leaving' | 'removed'> {
		const { view } = this.parts;
		return { leaving: view.listRecentlyLeaving(), removed: view.listRecentlyRemoved() };
	}

	/** Encodes the list of targets for a peer; undefined before the first list. */
	public encodeTargets(): string | undefined {
		const { targetListSync, view } = this.parts;
		const { list } = view;
		const nowMs = performance.now();
		const coldness = targetListSync.describeColdness(nowMs);
		return list === undefined
			? undefined
			: encodeTargetList({ list, ageMs: Math.round(view.computeAge(nowMs)), coldness });
	}

	/** @param stateAgeMs time for which the state was under way beyond what is usual */
	public handlePeerState(state: PeerState, stateAgeMs: number): void {
		const { catchUp, configurationSync, crashTracker, promptCacheSync, store, targetListSync } = this.parts;
		const nowMs = performance.now();
		const { configurationVersion, targetsRevision, targetsAgeMs, targetsDigest } = state;
		const { controlAddress } = state.instance;
		const era = state.storeEra ?? 0;
		// Before the configuration or the targets of this peer make this instance serve.
		this.parts.evacuationSync.adopt(state.evacuations, nowMs);
		catchUp.recordPeer(state);
		if (targetsRevision > 0) {
			store.observePeerEra(era);
		}
		configurationSync.handlePeerVersion(controlAddress, configurationVersion);
		const list = { era, revision: targetsRevision, digest: targetsDigest, ageMs: targetsAgeMs };
		targetListSync.handlePeerList(controlAddress, list, nowMs);
		targetListSync.adoptLeaving(state.leaving ?? [], nowMs);
		targetListSync.adoptRemoved(state.removed ?? [], nowMs);
		promptCacheSync.adoptPrompts(state.prompts);
		promptCacheSync.handlePeerState(state, nowMs);
		crashTracker.adoptPeerState(state, nowMs);
		this.parts.requestLimitSync.adopt(state.targetLimits ?? [], nowMs);
		this.parts.coldTargetSync.adoptPeerState(state, nowMs);
		this.parts.loadReportSync.adopt(state, nowMs - stateAgeMs);
	}

	private listLoads(): readonly TargetLoad[] {
		const loads: TargetLoad[] = [];
		for (const { record, ownRequests, ownPrefillTokens } of this.parts.targets.all) {
			if (ownRequests > 0) {
				loads.push([record.id, ownRequests, ownPrefillTokens]);
			}
		}
		return loads;
	}
}
