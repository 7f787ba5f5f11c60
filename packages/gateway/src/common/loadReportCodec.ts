/**
 * Encodes load reports for gossip. Each is four numbers: the index of the target in the sorted ids of the list of targets,
 * its requests, the time that work takes in percent of the usual time, and the age of the report in ms. The index is only
 * valid between instances with equal lists; it takes a fifth of the bytes of an id.
 */

export const NUMBERS_PER_REPORT = 4;
/** Both figures are at most this when they are read from a target; a peer has no larger ones either. */
const MAX_FIGURE = 10_000;

export interface GossipedLoad {
	readonly id: string;
	readonly requests: number;
	readonly slowdown: number;
	readonly ageMs: number;
}

/** @param sortedIds ids of all listed targets */
export function encodeLoadReports(loads: readonly GossipedLoad[], sortedIds: readonly string[]): number[] {
	const indexes = new Map(sortedIds.map((id, index) => [id, index]));
	return loads.flatMap(({ id, requests, slowdown, ageMs }) => {
		const index = indexes.get(id);
		return index === undefined ? [] : [index, requests, Math.round(100 * slowdown), Math.round(ageMs)];
	});
}

/** Decodes the reports of a peer with an equal list; those with invalid figures are omitted. */
export function decodeLoadReports(numbers: readonly number[], sortedIds: readonly string[]): GossipedLoad[] {
	const loads: GossipedLoad[] = [];
	for (let start = 0; start + NUMBERS_PER_REPORT <= numbers.length; start += NUMBERS_PER_REPORT) {
		const [index = -1, requests = -1, percent = 0, ageMs = -1] = numbers.slice(
			start,
			start + NUMBERS_PER_REPORT,
		);
		const id = sortedIds[index];
		const isValid = requests >= 0 && requests <= 2 * MAX_FIGURE && percent > 0 && percent <= MAX_FIGURE;
		if (id !== undefined && isValid && ageMs >= 0) {
			loads.push({ id, requests, slowdown: percent / 100, ageMs });
		}
	}
	return loads;
}
