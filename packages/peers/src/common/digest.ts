/** Digests for anti-entropy: one hash per bucket of keys, combined from the versions of the keys. */
import { hashTextTo32 } from '@papayawell/core';

/** Number of buckets. Repairing one difference transfers one bucket, a sixteenth of the records. */
export const BUCKET_COUNT = 16;

/** Returns the bucket of a key. */
export function hashToBucket(key: string): number {
	return hashTextTo32(key) % BUCKET_COUNT;
}

/** Computes the digest of keys and their versions, independently of their order. */
export function computeDigest(
	versions: Iterable<readonly [key: string, version: string]>,
): readonly number[] {
	const buckets = new Array<number>(BUCKET_COUNT).fill(0);
	for (const [key, version] of versions) {
		const bucket = hashToBucket(key);
		buckets[bucket] = ((buckets[bucket] ?? 0) ^ hashTextTo32(`${key} ${version}`)) >>> 0;
	}
	return buckets;
}

/** Returns the buckets in which two digests differ. */
export function diffDigests(own: readonly number[], peer: readonly number[]): readonly number[] {
	return own.map((value, bucket) => (value === peer[bucket] ? -1 : bucket)).filter((bucket) => bucket >= 0);
}
