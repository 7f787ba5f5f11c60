/** Reads for how long a target that rejected a request wants no further one. */

/** Longest time that is accepted; a longer one is taken for a mistake of the target. */
const MAX_BACK_OFF_MS = 600_000;

export type BackOffRequest =
	| { readonly kind: 'none' }
	/** `isCapped` tells that the target stated a longer time. */
	| { readonly kind: 'wait'; readonly waitMs: number; readonly isCapped: boolean }
	| { readonly kind: 'invalid'; readonly text: string };

/** @param text value of the `Retry-After` header in seconds, possibly with a fraction; undefined if there is none */
export function parseBackOff(text: string | undefined): BackOffRequest {
	if (text === undefined) {
		return { kind: 'none' };
	}
	const trimmed = text.trim();
	if (!/^\d+(?:\.\d+)?$/.test(trimmed)) {
		return { kind: 'invalid', text };
	}
	const statedMs = Number(trimmed) * 1000;
	return { kind: 'wait', waitMs: Math.min(MAX_BACK_OFF_MS, statedMs), isCapped: statedMs > MAX_BACK_OFF_MS };
}
