/**
 * The state that the instances of a fleet gossip to one another. Its property names and their order go over
 * the wire.
 */

import type { EvacuationReport } from './evacuatedZones.js';
import type { PartAnswerReport, PartDeathReport } from './promptCrashTracker.js';
import type { CapacityReport } from './capacityReport.js';
import type { TargetStart } from './targetStarts.js';

export const PromptKnowledge = {
	/** The instance knows only the prompts placed since its start. */
	Own: 'own',
	/** The instance is querying the engines for the contents of their caches. */
	Querying: 'asking',
	/** The instance has received the cache contents from the engines or from a peer. */
	Full: 'full',
} as const;
export type PromptKnowledge = (typeof PromptKnowledge)[keyof typeof PromptKnowledge];

/** One instance of the fleet. */
export interface FleetInstance {
	/** Name of the fleet; messages from other fleets are ignored. Empty if there is only one fleet. */
	readonly fleet: string;
	readonly name: string;
	/** Differs for each start of the process. */
	readonly incarnation: string;
	readonly zone: string;
	/** Address to which callers connect. */
	readonly callersAddress: string;
	/** Address to which other instances connect. */
	readonly controlAddress: string;
}

export interface PeerState {
	readonly instance: FleetInstance;
	/** Whether this instance reads compressed states; undefined from instances of an older version. */
	readonly acceptsCompressed?: boolean;
	/** Whether this instance sends heartbeats between its states, and reads them; undefined in small fleets. */
	readonly sendsHeartbeats?: boolean;
	/** Whether this instance relays the states of other zones to the peers of its own, and reads relayed ones. */
	readonly relaysStates?: boolean;
	/** When the state was sent, on the sender's clock in ms; each state has a later time than the one before. */
	readonly sentAtMs?: number;
	/** Whether this instance reads messages of placements; undefined from instances of an older version. */
	readonly acceptsPlacements?: boolean;
	/** Whether callers may be directed to this instance. */
	readonly isServing: boolean;
	/** Whether this instance reaches targets itself; undefined from instances of an older version, which do not tell. */
	readonly hasTargetPath?: boolean;
	readonly configurationVersion: number;
	readonly targetsRevision: number;
	/** Era of the store to which the revision belongs; undefined from instances of an older version. */
	readonly storeEra?: number;
	/** Time since the list of targets was last confirmed by the store, in ms. */
	readonly targetsAgeMs: number;
	/** Digest of the list of targets, so that equal lists need no transfer. */
	readonly targetsDigest: number;
	/**
	 * Targets that announced that they leave, but that the list of this instance shows as ready; undefined from
	 * instances of an older version.
	 */
	readonly leaving?: readonly TargetStart[];
	/** Starts of targets whose entries were removed; only sent to an instance that starts. */
	readonly removed?: readonly TargetStart[];
	/** Requests in flight on each target; targets without any are omitted. */
	readonly loads: readonly TargetLoad[];
	/** Request contents that were running when a target crashed. */
	readonly crashes: readonly CrashReport[];
	/** Deaths of targets while they began to answer prompts; undefined from instances of an older version. */
	readonly promptDeaths?: readonly PartDeathReport[];
	/** Answers that disprove a suspicion of prompt parts; undefined from instances of an older version. */
	readonly promptAnswers?: readonly PartAnswerReport[];
	/** What targets said of their limits; undefined from instances of an older version. */
	readonly targetLimits?: readonly TargetLimitReport[];
	/** Zones that the operator has evacuated; undefined if they are not known, or evacuations are not in use. */
	readonly evacuations?: EvacuationReport;
	/**
	 * Targets that this instance treats as cold; undefined if it does not know that of all targets, or treats none as cold.
	 */
	readonly coldTargets?: readonly ColdTargetReport[] | undefined;
	/** Number of instances, including this one, that it knows by name; undefined from instances of an older version. */
	readonly rosterSize?: number | undefined;
	/**
	 * What targets reported of their load, in the numbers of `loadReportCodec.ts`; undefined from instances of an older
	 * version and if there is nothing new.
	 */
	readonly targetReports?: readonly number[];
	/**
	 * Use of the services whose capacity is short, by service; undefined if there is none, if this instance does not share
	 * capacity, or from instances of an older version.
	 */
	readonly capacityUse?: Readonly<Record<string, CapacityReport>>;
	/** Prompts recently sent to engines that did not have all their shared parts cached. */
	readonly prompts: readonly PromptUpdate[];
	/** Total tokens of the shared prompt parts that this instance knows to be cached by engines. */
	readonly promptTokens: number;
	/** How much this instance knows of what engines had cached before its start. */
	readonly promptKnowledge: PromptKnowledge;
	/** Control addresses of other instances, through which receivers discover the whole fleet. */
	readonly known: readonly string[];
}

/** The part of the state that a gateway describes; its membership of the fleet adds the rest. */
export type GatewayState = Omit<
	PeerState,
	| 'acceptsCompressed'
	| 'acceptsPlacements'
	| 'sendsHeartbeats'
	| 'relaysStates'
	| 'sentAtMs'
	| 'known'
	| 'instance'
>;

/** Target, requests in flight on it, and prompt tokens that it still has to prefill for them. */
export type TargetLoad = readonly [id: string, requests: number, prefillTokens: number];

/**
 * Requests a second that one start of a target takes from the whole fleet, null if it names no limit, and the time since
 * it said so in ms.
 */
export type TargetLimitReport = readonly [
	id: string,
	startedAtMs: number,
	requestsPerSecond: number | null,
	ageMs: number,
];

/** How the sender of a report knows that a target is cold. */
export const ColdnessSource = {
	/** The sender assumes it, or heard it from another instance. */
	Assumed: 0,
	/** The target or its entry stated it to the sender. */
	Stated: 1,
	/** The sender has reached the target again after it was unreachable. */
	Regained: 2,
} as const;
export type ColdnessSource = (typeof ColdnessSource)[keyof typeof ColdnessSource];

/** One start of a target, and the time in ms for which it stays cold. */
export type ColdTargetReport = readonly [
	id: string,
	startedAtMs: number,
	leftMs: number,
	source: ColdnessSource,
];

export interface PromptUpdate {
	readonly target: string;
	/** Alternating hash and token count of each shared part. */
	readonly links: readonly number[];
}

export interface CrashReport {
	readonly fingerprint: string;
	readonly target: string;
	/** In ms from the time at which the report is sent. */
	readonly expiresInMs: number;
}
