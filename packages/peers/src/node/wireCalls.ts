/** Converts probes, calls, answers and configuration chunks between domain types and protobuf messages. */
import type { papayawell } from '#generated/peers.js';
import type { PeerRequest } from '@papayawell/core';
import type { Transfer } from '../common/configurationMessages.js';
import type { AnswerBody, OutgoingAnswer, OutgoingCall } from '../common/outbox.js';
import { MAX_NAME_LENGTH } from '../common/nameTable.js';
import type { Probe } from '../common/probes.js';
import { ProbeKind } from '../common/probes.js';

type WireCall = papayawell.peers.Call.$Properties;
type WireAnswer = papayawell.peers.Answer.$Properties;
type WireTransfer = papayawell.peers.Transfer.$Properties;
type WireProbe = papayawell.peers.Probe.$Properties;

/** The number on the wire is the index in this array plus 1. */
const PROBE_KINDS: readonly ProbeKind[] = Object.values(ProbeKind);

export function encodeProbe(probe: Probe): WireProbe {
	return { ...probe, kind: PROBE_KINDS.indexOf(probe.kind) + 1 };
}

export function decodeProbe(wire: WireProbe): Probe | undefined {
	const kind = PROBE_KINDS[(wire.kind ?? 0) - 1];
	const target = wire.target ?? '';
	return kind === undefined || target.length > MAX_NAME_LENGTH
		? undefined
		: { kind, nonce: wire.nonce ?? 0, target };
}

export function encodeCall(call: OutgoingCall): WireCall {
	const { id, request } = call;
	switch (request.kind) {
		case 'reserve':
			return { id, reserve: request };
		case 'release':
			return { id, release: request };
		case 'fetchConfiguration':
			return { id, fetchAboveVersion: request.aboveVersion };
		case 'status':
			return { id, status: true };
	}
}

/** Returns undefined for a request that this version does not support. */
export function decodeCall(wire: WireCall): PeerRequest | undefined {
	if (wire.reserve) {
		return { kind: 'reserve', instance: wire.reserve.instance ?? '', count: wire.reserve.count ?? 0 };
	}
	if (wire.release) {
		return { kind: 'release', instance: wire.release.instance ?? '', count: wire.release.count ?? 0 };
	}
	if (typeof wire.fetchAboveVersion === 'number') {
		return { kind: 'fetchConfiguration', aboveVersion: wire.fetchAboveVersion };
	}
	return wire.status === true ? { kind: 'status' } : undefined;
}

export function encodeAnswer(answer: OutgoingAnswer): WireAnswer {
	const { id, body } = answer;
	switch (body.kind) {
		case 'reserved':
			return { id, reserved: body };
		case 'released':
			return { id, released: true };
		case 'notOwner':
			return { id, notOwner: true };
		case 'status':
			return { id, status: body };
		case 'transfer':
			return { id, configuration: body.transfer };
		case 'configuration':
			return { id, configuration: { version: body.version, isLast: true } };
		case 'failed':
			return { id, failed: true };
	}
}

/** An answer that this version does not support is decoded as failed. */
export function decodeAnswer(wire: WireAnswer): AnswerBody {
	if (wire.reserved) {
		const { granted, expiresInMs } = wire.reserved;
		return { kind: 'reserved', granted: granted ?? 0, expiresInMs: expiresInMs ?? 0 };
	}
	if (wire.released === true) {
		return { kind: 'released' };
	}
	if (wire.notOwner === true) {
		return { kind: 'notOwner' };
	}
	if (wire.status) {
		const { instance, configurationVersion, isDraining } = wire.status;
		return {
			kind: 'status',
			instance: instance ?? '',
			configurationVersion: configurationVersion ?? 0,
			isDraining: isDraining ?? false,
		};
	}
	if (wire.configuration) {
		return { kind: 'transfer', transfer: decodeTransfer(wire.configuration) };
	}
	return { kind: 'failed' };
}

export function decodeTransfer(wire: WireTransfer): Transfer {
	return {
		version: wire.version ?? 0,
		hash: wire.hash ?? '',
		baseVersion: wire.baseVersion ?? 0,
		index: wire.index ?? 0,
		isLast: wire.isLast ?? false,
		data: wire.data ?? new Uint8Array(),
	};
}
