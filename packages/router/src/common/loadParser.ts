/** Parses the load of a target from its metrics in the Prometheus text format. */

const RUNNING_PATTERN = /^\w+_requests_running(?:\{[^}]*\})? +(\S+)/m;
const WAITING_PATTERN = /^\w+_requests_waiting(?:\{[^}]*\})? +(\S+)/m;

/** Returns the number of requests running and waiting, or undefined if either metric is missing or invalid. */
export function parseLoad(text: string): number | undefined {
	const running = readNumber(RUNNING_PATTERN, text);
	const waiting = readNumber(WAITING_PATTERN, text);
	return running === undefined || waiting === undefined ? undefined : running + waiting;
}

function readNumber(pattern: RegExp, text: string): number | undefined {
	const value = Number(pattern.exec(text)?.[1] ?? NaN);
	return Number.isFinite(value) && value >= 0 ? value : undefined;
}
