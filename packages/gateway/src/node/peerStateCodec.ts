/**
 * Encodes the state that instances gossip. Large states are compressed, with a dictionary of what each of them holds,
 * because in a large fleet gossip is most of the traffic between availability zones.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { isEvacuationReport } from '../common/evacuatedZones.js';
import { isAddress } from '../common/addresses.js';
import type { CrashReport, FleetInstance, PeerState, PromptUpdate } from '../common/peerState.js';
import { ColdnessSource } from '../common/peerState.js';
import { isPartAnswerReport, isPartDeathReport } from '../common/promptCrashTracker.js';
import { isCapacityReportMap } from '../common/capacityReport.js';

/** Smaller states are sent as they are: they are few, and compression would cost more than it saves. */
const MIN_COMPRESSED_BYTES = 1000;
/** First byte of a compressed datagram; JSON never begins with it. */
const COMPRESSED_MARK = 1;
/** Limit of the decoded size, so that a forged datagram cannot exhaust the memory. */
const MAX_DECODED_BYTES = 1_000_000;
/** Text that states share. Both sides must have the same, so a change of it needs another mark. */
const DICTIONARY = Buffer.from(
	'"crashes":[],"prompts":[{"target":"i-"},{"target":"i-","links":[],"promptTokens":,"promptKnowledge":"full",' +
		'"known":[],"leaving":[],"storeEra":1,"targetsAgeMs":,"targetsDigest":,"loads":[["i-",1,0],["i-",2,0],' +
		'{"isServing":true,"configurationVersion":,"targetsRevision":,"instance":{"fleet":"","name":"edge-",' +
		'"incarnation":"","zone":"","callersAddress":"10.","controlAddress":"10."',
);

export function encodePeerState(state: PeerState): Buffer {
	return Buffer.from(JSON.stringify(state));
}

/**
 * Compresses an encoded state if it is large.
 * @param minBytes size from which it is compressed
 */
export function encodeCompressed(encoded: Buffer, minBytes = MIN_COMPRESSED_BYTES): Buffer {
	return encoded.length >= minBytes
		? Buffer.concat([Buffer.of(COMPRESSED_MARK), deflateRawSync(encoded, { dictionary: DICTIONARY })])
		: encoded;
}

/** Decodes a state, compressed or not. Throws if the bytes hold none. */
export function decodePeerState(bytes: Buffer): PeerState {
	const text =
		bytes[0] === COMPRESSED_MARK
			? inflateRawSync(bytes.subarray(1), { dictionary: DICTIONARY, maxOutputLength: MAX_DECODED_BYTES })
			: bytes;
	const state: unknown = JSON.parse(text.toString('utf8'));
	if (!isPeerState(state)) {
		throw new TypeError('not a valid peer state');
	}
	return state;
}

function isPeerState(value: unknown): value is PeerState {
	const state = value as Partial<PeerState> | null;
	return (
		typeof state === 'object' &&
		state !== null &&
		isInstance(state.instance) &&
		Number.isFinite(state.configurationVersion) &&
		Number.isFinite(state.targetsRevision) &&
		Number.isFinite(state.targetsAgeMs) &&
		Number.isFinite(state.targetsDigest) &&
		(state.storeEra === undefined || Number.isSafeInteger(state.storeEra)) &&
		(state.sentAtMs === undefined || Number.isSafeInteger(state.sentAtMs)) &&
		(state.acceptsPlacements === undefined || typeof state.acceptsPlacements === 'boolean') &&
		(state.relaysStates === undefined || typeof state.relaysStates === 'boolean') &&
		(state.hasTargetPath === undefined || typeof state.hasTargetPath === 'boolean') &&
		(state.sendsHeartbeats === undefined || typeof state.sendsHeartbeats === 'boolean') &&
		isOptionalList(state.leaving, isTargetStart) &&
		isOptionalList(state.removed, isTargetStart) &&
		isOptionalList(state.promptDeaths, isPartDeathReport) &&
		isOptionalList(state.promptAnswers, isPartAnswerReport) &&
		isOptionalList(state.targetLimits, isTargetLimitReport) &&
		(state.evacuations === undefined || isEvacuationReport(state.evacuations)) &&
		isOptionalList(state.coldTargets, isColdTargetReport) &&
		(state.rosterSize === undefined || Number.isSafeInteger(state.rosterSize)) &&
		isOptionalList(state.targetReports, isCount) &&
		(state.capacityUse === undefined || isCapacityReportMap(state.capacityUse)) &&
		isList(state.loads, isTargetLoad) &&
		isList(state.crashes, isCrashReport) &&
		isList(state.prompts, isPromptUpdate) &&
		Number.isFinite(state.promptTokens) &&
		typeof state.promptKnowledge === 'string' &&
		isList(state.known, isAddress)
	);
}

function isInstance(value: unknown): value is FleetInstance {
	const instance = (value ?? {}) as Partial<FleetInstance>;
	const { fleet, name, incarnation, zone, callersAddress, controlAddress } = instance;
	return (
		[fleet, name, incarnation, zone, callersAddress].every((text) => typeof text === 'string') &&
		isAddress(controlAddress)
	);
}

function isTargetLoad(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		typeof value[0] === 'string' &&
		Number.isFinite(value[1]) &&
		Number.isFinite(value[2])
	);
}

function isCrashReport(value: unknown): boolean {
	const report = (value ?? {}) as Partial<CrashReport>;
	return (
		typeof report.fingerprint === 'string' &&
		typeof report.target === 'string' &&
		Number.isFinite(report.expiresInMs)
	);
}

function isPromptUpdate(value: unknown): boolean {
	const update = (value ?? {}) as Partial<PromptUpdate>;
	return typeof update.target === 'string' && isList(update.links, isCount);
}

function isOptionalList(value: unknown, isItem: (item: unknown) => boolean): boolean {
	return value === undefined || isList(value, isItem);
}

function isList(value: unknown, isItem: (item: unknown) => boolean): boolean {
	return Array.isArray(value) && value.every(isItem);
}

function isCount(value: unknown): boolean {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isTargetStart(value: unknown): boolean {
	return Array.isArray(value) && typeof value[0] === 'string' && Number.isSafeInteger(value[1]);
}

function isTargetLimitReport(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		isTargetStart(value) &&
		(value[2] === null || (typeof value[2] === 'number' && value[2] >= 0)) &&
		Number.isSafeInteger(value[3]) &&
		Number(value[3]) >= 0
	);
}

function isColdTargetReport(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		isTargetStart(value) &&
		Number.isSafeInteger(value[2]) &&
		Number(value[2]) >= 0 &&
		Object.values<unknown>(ColdnessSource).includes(value[3])
	);
}
