/**
 * Encodes the state that instances gossip. Large states are compressed, with a dictionary of what each of them holds,
 * because in a large fleet gossip is most of the traffic between availability zones.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { PeerState } from '../common/peerState.js';

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

export function encodePeerState(state: PeerState, isCompressionAllowed: boolean): Buffer {
	const bytes = Buffer.from(JSON.stringify(state));
	return isCompressionAllowed && bytes.length >= MIN_COMPRESSED_BYTES
		? Buffer.concat([Buffer.of(COMPRESSED_MARK), deflateRawSync(bytes, { dictionary: DICTIONARY })])
		: bytes;
}

/** Throws if the bytes are not an encoded state; what the state holds is not checked. */
export function decodePeerState(bytes: Buffer): unknown {
	const text =
		bytes[0] === COMPRESSED_MARK
			? inflateRawSync(bytes.subarray(1), { dictionary: DICTIONARY, maxOutputLength: MAX_DECODED_BYTES })
			: bytes;
	return JSON.parse(text.toString('utf8'));
}
