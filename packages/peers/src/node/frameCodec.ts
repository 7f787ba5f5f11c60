/** Encodes frames, decodes them with a size limit, and attributes their bytes to kinds of traffic. */
import { papayawell } from '#generated/peers.js';
import type { Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import protobuf from 'protobufjs/minimal.js';
import type { Batch, EntriesByOrigin } from '../common/outbox.js';
import type { NameWriter } from '../common/nameTable.js';
import { TrafficKind } from '../common/trafficKind.js';
import { encodeAnswer, encodeCall, encodeProbe } from './wireCalls.js';
import { encodeLoads, encodeRecord, encodeUses, encodeWarning } from './wireRecords.js';

export type Frame = papayawell.peers.Frame;

/** The largest frame that is accepted. */
export const MAX_FRAME_BYTES = 524_288;

export interface FrameError {
	readonly kind: 'tooLarge' | 'malformed';
	readonly message: string;
}

/** Kinds of traffic by field number of the `Frame` message. */
const TRAFFIC_KIND_BY_FIELD: Readonly<Record<number, TrafficKind>> = {
	1: TrafficKind.Membership,
	2: TrafficKind.Load,
	3: TrafficKind.Membership,
	4: TrafficKind.Warning,
	5: TrafficKind.Load,
	6: TrafficKind.Load,
	7: TrafficKind.Load,
	8: TrafficKind.Reservation,
	9: TrafficKind.Reservation,
	10: TrafficKind.Membership,
	11: TrafficKind.Membership,
	12: TrafficKind.Membership,
	13: TrafficKind.Configuration,
	14: TrafficKind.Configuration,
	15: TrafficKind.Configuration,
	16: TrafficKind.Use,
};

/** Encodes a batch, with the names that were added to the name table since the last frame. */
export function encodeBatch(batch: Batch, names: NameWriter): Uint8Array {
	const pruned = batch.pruned.map((origin) => names.toNumber(origin) ?? 0);
	const grafted = batch.grafted.map((origin) => names.toNumber(origin) ?? 0);
	const reports = encodeReports(batch.loads, names, encodeLoads);
	const uses = encodeReports(batch.uses, names, encodeUses);
	return encodeFrame({
		names: names.takeUnsent(),
		members: batch.records.map(encodeRecord),
		facts: batch.warnings.map(encodeWarning),
		reports,
		pruned,
		grafted,
		calls: batch.calls.map(encodeCall),
		answers: batch.answers.map(encodeAnswer),
		probes: batch.probes.map(encodeProbe),
		digest: [...batch.digest],
		wanted: [...batch.wanted],
		configuration: batch.configuration,
		fetch: batch.fetch && {
			version: batch.fetch.version,
			baseVersion: batch.fetch.base.version,
			baseHash: batch.fetch.base.hash,
		},
		transfers: [...batch.transfers],
		uses,
	});
}

export function encodeFrame(frame: papayawell.peers.Frame.$Properties): Uint8Array {
	return papayawell.peers.Frame.encode(frame).finish();
}

/** Decodes bytes received from a peer. Never throws. */
export function decodeFrame(bytes: Uint8Array): Result<Frame, FrameError> {
	if (bytes.length > MAX_FRAME_BYTES) {
		return Err({
			kind: 'tooLarge',
			message: `frame of ${bytes.length} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes`,
		});
	}
	try {
		return Ok(papayawell.peers.Frame.decode(bytes));
	} catch (error) {
		return Err({ kind: 'malformed', message: String(error) });
	}
}

/** Calls `onBytes` with the kind of traffic and the encoded size of each field of a well-formed frame. */
export function measureFrame(bytes: Uint8Array, onBytes: (kind: TrafficKind, count: number) => void): void {
	const reader = protobuf.Reader.create(bytes);
	while (reader.pos < reader.len) {
		const start = reader.pos;
		const tag = reader.uint32();
		// A protobuf tag holds the wire type in its low three bits and the field number above them.
		reader.skipType(tag & 7);
		onBytes(TRAFFIC_KIND_BY_FIELD[tag >>> 3] ?? TrafficKind.Framing, reader.pos - start);
	}
}

function encodeReports(
	byOrigin: EntriesByOrigin,
	names: NameWriter,
	encode: typeof encodeLoads,
): papayawell.peers.Report.$Properties[] {
	return [...byOrigin].map(([origin, entries]) => encode(origin, entries.values(), names));
}
