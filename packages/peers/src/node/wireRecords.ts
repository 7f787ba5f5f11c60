/** Converts member records, warnings and reports between domain types and protobuf messages. */
import type { papayawell } from '#generated/peers.js';
import type { RouterInstance } from '@papayawell/core';
import type { EngineLoad, LimitUsage, Warning } from '../common/facts.js';
import { MemberStatus } from '../common/memberStatus.js';
import type { MemberRecord } from '../common/memberRecord.js';
import type { NameReader, NameWriter } from '../common/nameTable.js';
import { MAX_NAME_LENGTH } from '../common/nameTable.js';
import type { ReportEntry } from '../common/reports.js';

type WireMember = papayawell.peers.Member.$Properties;
type WireFact = papayawell.peers.Fact.$Properties;
type WireReport = papayawell.peers.Report.$Properties;

/** Maximum length of the reason of a quarantine, in UTF-16 code units. */
const MAX_REASON_LENGTH = 1_024;
/** The number on the wire is the index in this array. */
const STATUSES: readonly MemberStatus[] = Object.values(MemberStatus);

export function encodeRecord(record: MemberRecord): WireMember {
	return { ...record.router, refutation: record.refutation, state: STATUSES.indexOf(record.status) };
}

/** Returns undefined for an invalid record. */
export function decodeRecord(wire: WireMember): MemberRecord | undefined {
	const status = STATUSES[wire.state ?? 0];
	const router = decodeRouter(wire);
	if (status === undefined || router === undefined) {
		return undefined;
	}
	return { router, refutation: wire.refutation ?? 0, status };
}

function decodeRouter(wire: WireMember): RouterInstance | undefined {
	const router: RouterInstance = {
		instance: wire.instance ?? '',
		incarnation: wire.incarnation ?? 0,
		region: wire.region ?? '',
		zone: wire.zone ?? '',
		callersAddress: wire.callersAddress ?? '',
		peersAddress: wire.peersAddress ?? '',
	};
	const strings = [router.instance, router.region, router.zone, router.callersAddress, router.peersAddress];
	const isValid =
		router.instance !== '' && strings.every(isWithinNameLimit) && Number.isFinite(router.incarnation);
	return isValid ? router : undefined;
}

export function encodeWarning(warning: Warning): WireFact {
	switch (warning.kind) {
		case 'leaving':
			return { leaving: warning };
		case 'quarantine':
			return { quarantine: { ...warning, reason: warning.reason.slice(0, MAX_REASON_LENGTH) } };
		case 'suspicion':
			return { suspicion: warning };
	}
}

/** Returns undefined for an invalid warning. */
export function decodeWarning(wire: WireFact): Warning | undefined {
	const warning = readWarning(wire);
	if (warning === undefined || !Number.isFinite(warning.version)) {
		return undefined;
	}
	if (warning.kind !== 'leaving' && !Number.isFinite(warning.expiresAtMs)) {
		return undefined;
	}
	const fields = Object.entries(warning).filter(([name]) => name !== 'reason');
	return fields.every(([, value]) => typeof value !== 'string' || isWithinNameLimit(value))
		? warning
		: undefined;
}

function readWarning(wire: WireFact): Warning | undefined {
	if (wire.leaving) {
		const { instance = '', incarnation = '', version = NaN } = wire.leaving;
		return {
			kind: 'leaving',
			instance: instance ?? '',
			incarnation: incarnation ?? '',
			version: version ?? NaN,
		};
	}
	if (wire.quarantine) {
		const { fingerprint, reason, expiresAtMs, version } = wire.quarantine;
		return {
			kind: 'quarantine',
			fingerprint: fingerprint ?? '',
			reason: (reason ?? '').slice(0, MAX_REASON_LENGTH),
			expiresAtMs: expiresAtMs ?? 0,
			version: version ?? NaN,
		};
	}
	if (wire.suspicion) {
		const { fingerprint, target, expiresAtMs, version } = wire.suspicion;
		return {
			kind: 'suspicion',
			fingerprint: fingerprint ?? '',
			target: target ?? '',
			expiresAtMs: expiresAtMs ?? 0,
			version: version ?? NaN,
		};
	}
	return undefined;
}

/** Encodes the loads of one origin. Omits entries whose name does not fit in the name table. */
export function encodeLoads(origin: string, entries: Iterable<ReportEntry>, names: NameWriter): WireReport {
	const loads = [...entries].filter((entry): entry is EngineLoad => entry.kind === 'load');
	const version = Math.max(0, ...loads.map((load) => load.version));
	const wire = { instances: [] as number[], requests: [] as number[], ages: [] as number[] };
	for (const load of loads) {
		const number = names.toNumber(load.instance);
		if (number !== undefined) {
			wire.instances.push(number);
			wire.requests.push(load.requests);
			wire.ages.push(version - load.version);
		}
	}
	return { origin: names.toNumber(origin) ?? 0, version, ...wire };
}

/** Encodes the uses that one origin measured; their `router` is the origin. Omits names that do not fit. */
export function encodeUses(origin: string, entries: Iterable<ReportEntry>, names: NameWriter): WireReport {
	const uses = [...entries].filter((entry): entry is LimitUsage => entry.kind === 'use');
	const version = Math.max(0, ...uses.map((use) => use.version));
	const wire = { limits: [] as number[], rates: [] as number[], useAges: [] as number[] };
	for (const use of uses) {
		const number = names.toNumber(use.limit);
		if (number !== undefined) {
			wire.limits.push(number);
			wire.rates.push(use.rate);
			wire.useAges.push(version - use.version);
		}
	}
	return { origin: names.toNumber(origin) ?? 0, version, ...wire };
}

/** Decodes a report. Omits invalid entries. */
export function decodeReport(
	wire: WireReport,
	names: NameReader,
): { readonly origin: string; readonly entries: readonly ReportEntry[] } | undefined {
	const origin = names.toName(wire.origin ?? 0);
	const version = wire.version ?? NaN;
	if (origin === undefined || !Number.isFinite(version)) {
		return undefined;
	}
	return {
		origin,
		entries: [...decodeLoads(wire, version, names), ...decodeUses(wire, version, origin, names)],
	};
}

function* decodeLoads(wire: WireReport, version: number, names: NameReader): Generator<EngineLoad> {
	for (const [index, number] of (wire.instances ?? []).entries()) {
		const instance = names.toName(number);
		const requests = wire.requests?.[index];
		const age = wire.ages?.[index];
		if (instance !== undefined && requests !== undefined && age !== undefined) {
			yield { kind: 'load', instance, requests, version: version - age };
		}
	}
}

function* decodeUses(
	wire: WireReport,
	version: number,
	router: string,
	names: NameReader,
): Generator<LimitUsage> {
	for (const [index, number] of (wire.limits ?? []).entries()) {
		const limit = names.toName(number);
		const rate = wire.rates?.[index] ?? NaN;
		const age = wire.useAges?.[index];
		if (limit !== undefined && Number.isFinite(rate) && age !== undefined) {
			yield { kind: 'use', limit, router, rate, version: version - age };
		}
	}
}

function isWithinNameLimit(text: string): boolean {
	return text.length <= MAX_NAME_LENGTH;
}
