/**
 * Chooses a target for a request that runs equally well on each. Many instances choose at once on figures that are
 * slightly old. Each takes two targets at random by their speed, so that no target is the best one to all instances, and
 * draws the load of both from what it knows of it: the older the figures, the less they decide.
 */
import type { LoadEstimate } from './targetLoadEstimate.js';

/** Targets among which one is chosen. With three, old figures of targets of different speeds overload the fastest. */
const DRAWN_TARGETS = 2;
/**
 * Cost of a full target without a queue, in times of a request. It keeps loads even below the slots, where a request takes
 * equally long on all targets, and is too small to prefer a target that is a quarter slower.
 */
const UTILIZATION_COST = 0.2;
/** Random part of the cost, so that targets of equal cost are chosen equally often. */
const RANDOM_COST = 0.02;
/**
 * A target with more requests than this multiple of the mean of its service, plus the slack, is chosen only if both are.
 * It stays below the load bound of 2 x mean + 3, since figures are old.
 */
const LOAD_LIMIT_FACTOR = 1.5;
const LOAD_LIMIT_SLACK = 2;
/** Cost of a target beyond the load limit: more than any time that is worth waiting for. */
const OVER_LIMIT_COST = 1000;

export interface ChoiceCandidate<T> {
	readonly target: T;
	readonly estimate: LoadEstimate;
	readonly slots: number;
	/** Factor by which the target is slower at usual speed than the fastest. */
	readonly relativeTime: number;
	/** Cost of sending the request there at all, in times of a request. */
	readonly extraCost: number;
}

/** Returns the time of a request on a target with the given load, in times of a request without a queue. */
export function computeExpectedTime(requests: number, slots: number): number {
	const waiting = Math.max(0, requests + 1 - slots);
	return 1 + waiting / slots + UTILIZATION_COST * Math.min(1, requests / slots);
}

/**
 * @param meanLoad mean requests of all targets of the service
 * @param random returns random numbers in [0, 1)
 * @param recordStep told which targets were drawn, and which of these are within the load limit
 */
export function chooseByDrawnLoad<T>(
	candidates: readonly ChoiceCandidate<T>[],
	meanLoad: number,
	random: () => number,
	recordStep?: (step: 'drawn' | 'drawnWithinLimit', left: readonly T[]) => void,
): T | undefined {
	const weights = candidates.map(({ estimate, slots, relativeTime, extraCost }) =>
		Math.sqrt(slots / (relativeTime * estimate.slowdown * (1 + extraCost))),
	);
	const loadLimit = LOAD_LIMIT_FACTOR * meanLoad + LOAD_LIMIT_SLACK;
	const drawnTargets: T[] = [];
	const withinLimit: T[] = [];
	let best: T | undefined;
	let lowest = Infinity;
	for (let drawn = 0; drawn < Math.min(DRAWN_TARGETS, candidates.length); drawn++) {
		const index = pickByWeight(weights, random);
		const candidate = candidates[index];
		// No target is drawn twice: of few targets a slow one would often be the only choice.
		weights[index] = 0;
		const cost = candidate === undefined ? Infinity : computeCost(candidate, loadLimit, random);
		if (recordStep !== undefined && candidate !== undefined) {
			drawnTargets.push(candidate.target);
			if (cost < OVER_LIMIT_COST) {
				withinLimit.push(candidate.target);
			}
		}
		if (cost < lowest) {
			best = candidate?.target;
			lowest = cost;
		}
	}
	recordStep?.('drawn', drawnTargets);
	recordStep?.('drawnWithinLimit', withinLimit);
	return best;
}

function computeCost<T>(
	{ estimate, slots, relativeTime, extraCost }: ChoiceCandidate<T>,
	loadLimit: number,
	random: () => number,
): number {
	const { requests, deviation, slowdown } = estimate;
	const load = Math.max(0, requests + (deviation === 0 ? 0 : deviation * sampleNormal(random)));
	const time = (computeExpectedTime(load, slots) + extraCost) * slowdown * relativeTime;
	return time + RANDOM_COST * random() + (load + 1 > loadLimit ? OVER_LIMIT_COST + load : 0);
}

/** Returns a random index, each with a probability proportional to its weight. */
function pickByWeight(weights: readonly number[], random: () => number): number {
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	let remaining = total * random();
	const index = weights.findIndex((weight) => {
		remaining -= weight;
		return remaining < 0;
	});
	return index === -1 ? weights.findLastIndex((weight) => weight > 0) : index;
}

/** Draws from the standard normal distribution, by the Box-Muller transform. */
function sampleNormal(random: () => number): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
