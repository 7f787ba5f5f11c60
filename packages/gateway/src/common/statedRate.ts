/** Reads rates, in requests a second, and remaining times that a target states in a header. */

export type StatedRate =
	| { readonly kind: 'none' }
	| { readonly kind: 'rate'; readonly requestsPerSecond: number }
	| { readonly kind: 'invalid'; readonly text: string };

/** @param text decimal number of requests a second; undefined if the target states none */
export function parseStatedRate(text: string | undefined): StatedRate {
	if (text === undefined) {
		return { kind: 'none' };
	}
	const trimmed = text.trim();
	return /^\d{1,9}(?:\.\d{1,9})?$/.test(trimmed)
		? { kind: 'rate', requestsPerSecond: Number(trimmed) }
		: { kind: 'invalid', text };
}

export type StatedColdTime =
	| { readonly kind: 'none' }
	| { readonly kind: 'time'; readonly leftMs: number }
	| { readonly kind: 'invalid'; readonly text: string };

/** @param text for how long the target stays cold, in ms; undefined if it does not state that */
export function parseColdTime(text: string | undefined): StatedColdTime {
	if (text === undefined) {
		return { kind: 'none' };
	}
	const trimmed = text.trim();
	return /^\d{1,9}(?:\.\d{1,9})?$/.test(trimmed)
		? { kind: 'time', leftMs: Number(trimmed) }
		: { kind: 'invalid', text };
}
