/** Selects the routers of each availability zone that watch the configuration in the key-value service. */
import type { RouterView } from '../fleet/peerMessages.js';
import { isRankedFirst } from '../fleet/rankRouters.js';

const TASK = 'configuration-watcher';

/**
 * Whether `instance` is one of the `count` watchers of `zone`, ranked among the routers of the zone that
 * are alive.
 */
export function isConfigurationWatcher(
	view: RouterView,
	instance: string,
	zone: string,
	count: number,
): boolean {
	const members = view.filter((member) => member.router.zone === zone);
	return isRankedFirst(members, instance, TASK, count);
}
