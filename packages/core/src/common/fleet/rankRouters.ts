/** Selects a few routers for a task by rendezvous hashing, so that a change of the view moves few tasks. */
import { hashText } from '../base/hash.js';
import type { RouterView } from './peerMessages.js';
import { RouterState } from './peerMessages.js';

/** Whether `instance` ranks among the first `count` of the live routers, including itself. */
export function isRankedFirst(view: RouterView, instance: string, task: string, count: number): boolean {
	const score = computeRouterScore(task, instance);
	const higherRanked = view.filter(
		({ router, state }) =>
			state === RouterState.Alive &&
			router.instance !== instance &&
			computeRouterScore(task, router.instance) > score,
	);
	return higherRanked.length < count;
}

function computeRouterScore(task: string, instance: string): bigint {
	return hashText(`${task}/${instance}`);
}
