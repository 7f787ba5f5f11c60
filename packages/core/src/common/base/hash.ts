/** xxHash of text in 64 and 32 bits, and uniformly distributed numbers derived from it. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A double represents integers below this bound exactly. */
const TWO_POW_53 = 2 ** 53;

/** Hashes `text` to an unsigned 64-bit integer. */
export function hashText(text: string, seed = 0n): bigint {
	return hasher.h64(text, seed);
}

/** Hashes `text` to 16 hexadecimal digits. */
export function hashTextToHex(text: string, seed = 0n): string {
	return hashText(text, seed).toString(16).padStart(16, '0');
}

/** Hashes `text` to an unsigned 32-bit integer; several times faster than the 64-bit hash. */
export function hashTextTo32(text: string, seed = 0): number {
	return hasher.h32(text, seed);
}

/** Hashes `text` to a number that is uniformly distributed in the open interval (0, 1). */
export function hashToUnit(text: string, seed = 0n): number {
	const bits = hashText(text, seed) >> 11n;
	return (Number(bits) + 0.5) / TWO_POW_53;
}
