/** The document of the store that lists which prompt parts are blocked, for a fleet of which all instances restart. */
import type { PartDeathReport } from './promptCrashTracker.js';
import { isPartDeathReport } from './promptCrashTracker.js';

/** @param epochMs time at which the ages of the deaths were computed */
export function encodeBlockedPrompts(deaths: readonly PartDeathReport[], epochMs: number): string {
	return JSON.stringify({ writtenAtMs: epochMs, deaths });
}

/** Returns the deaths with their ages now; undefined if the text is malformed. */
export function decodeBlockedPrompts(text: string, epochMs: number): readonly PartDeathReport[] | undefined {
	let document: unknown;
	try {
		document = JSON.parse(text);
	} catch {
		return undefined;
	}
	const { writtenAtMs, deaths } = (document ?? {}) as {
		readonly writtenAtMs?: unknown;
		readonly deaths?: unknown;
	};
	if (!Number.isSafeInteger(writtenAtMs) || !Array.isArray(deaths) || !deaths.every(isPartDeathReport)) {
		return undefined;
	}
	// The clocks of two instances may differ.
	const elapsedMs = Math.max(0, epochMs - Number(writtenAtMs));
	return deaths.map(([part, target, sentAgeMs, diedAgeMs]) => [
		part,
		target,
		sentAgeMs + elapsedMs,
		diedAgeMs + elapsedMs,
	]);
}
