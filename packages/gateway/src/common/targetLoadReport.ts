/** Parses the load that a target states with an answer. */

/** Largest figure that is taken as a number of requests or a percentage; a larger one is a fault of the target. */
const MAX_FIGURE = 10_000;
const MIN_FIELDS = 3;
const MAX_FIELDS = 4;
/** Value of the fourth figure of a target that works as fast as usual. */
const USUAL_WORK_TIME_PERCENT = 100;

export type StatedLoad =
	| { readonly kind: 'none' }
	| {
			readonly kind: 'load';
			/** Requests that run or wait on the target, of all senders. */
			readonly requests: number;
			/** Factor by which work takes longer than usual; undefined if the target does not tell. */
			readonly slowdown: number | undefined;
	  }
	| { readonly kind: 'invalid'; readonly text: string };

/**
 * @param text running requests, waiting requests, slots, and optionally the time that work takes in percent of the usual
 * time, separated by commas; undefined if the target states no load
 * @param slots slots of the target by its record; a load with others is that of another process
 */
export function parseStatedLoad(text: string | undefined, slots: number): StatedLoad {
	if (text === undefined) {
		return { kind: 'none' };
	}
	const fields = text.split(',').map((field) => field.trim());
	const figures = fields.map((field) => (/^\d{1,5}(?:\.\d{1,9})?$/.test(field) ? Number(field) : NaN));
	const [running = NaN, waiting = NaN, statedSlots, percent] = figures;
	const isValid =
		figures.length >= MIN_FIELDS &&
		figures.length <= MAX_FIELDS &&
		figures.every((figure) => figure <= MAX_FIGURE) &&
		[running, waiting].every(Number.isInteger) &&
		statedSlots === slots &&
		percent !== 0;
	return isValid
		? {
				kind: 'load',
				requests: running + waiting,
				slowdown: percent === undefined ? undefined : percent / USUAL_WORK_TIME_PERCENT,
			}
		: { kind: 'invalid', text };
}
