/** Order of the ids of a stream's events. */

/** Digits up to which every decimal number is exact as a floating-point number. */
const MAX_EXACT_DIGITS = 15;
const DECIMAL_PATTERN = /^\d{1,64}$/;

/** Whether an event comes no later than another in its stream; false for ids without a known order. */
export function isNoLaterEvent(id: string, other: string): boolean {
	if (id === '' || other === '') {
		return false;
	}
	if (Math.max(id.length, other.length) > MAX_EXACT_DIGITS && isDecimal(id) && isDecimal(other)) {
		return BigInt(id) <= BigInt(other);
	}
	return Number(id) <= Number(other);
}

function isDecimal(text: string): boolean {
	return DECIMAL_PATTERN.test(text);
}
