/**
 * Copies the state of decision code, so that a decision can be tried without a change to the original. Functions are kept
 * by reference: what they reach is not copied.
 * @param copies what stands in for objects and functions that were copied already, or that the caller replaces
 */
export function copyState<T>(value: T, copies = new Map<unknown, unknown>()): T {
	const known = copies.get(value);
	if (known !== undefined) {
		return known as T;
	}
	if (typeof value !== 'object' || value === null) {
		return value;
	}
	const copy = makeEmptyCopy(value);
	copies.set(value, copy);
	if (value instanceof Map && copy instanceof Map) {
		for (const [key, entry] of value) {
			copy.set(copyState(key, copies), copyState(entry, copies));
		}
	} else if (value instanceof Set && copy instanceof Set) {
		for (const entry of value) {
			copy.add(copyState(entry, copies));
		}
	} else {
		for (const [key, entry] of Object.entries(value)) {
			(copy as Record<string, unknown>)[key] = copyState(entry, copies);
		}
	}
	return copy as T;
}

function makeEmptyCopy(value: object): object {
	if (value instanceof Map) {
		return new Map();
	}
	if (value instanceof Set) {
		return new Set();
	}
	return Array.isArray(value) ? [] : (Object.create(Object.getPrototypeOf(value) as object) as object);
}
