/** Records the results of calls to targets in the target directory. */
import type { ReachabilityObserver } from '@papayawell/targets';
import type { TargetDirectory } from '../common/targetDirectory.js';

/**
 * A refused connection shows that the process has died; a broken connection counts as a failure. A time-out does
 * not count, since the caller chooses its length: short deadlines would take healthy targets out of service.
 */
export function makeReachabilityObserver(directory: TargetDirectory): ReachabilityObserver {
	return {
		onResponse: (origin) => {
			directory.recordHealthByOrigin(origin, 'succeed', performance.now());
		},
		onFailure: (origin, { kind }) => {
			switch (kind) {
				case 'unreachable':
					directory.recordHealthByOrigin(origin, 'die', performance.now());
					return;
				case 'broken':
					directory.recordHealthByOrigin(origin, 'fail', performance.now());
					return;
				case 'timeout':
				case 'cancelled':
				case 'crossed':
				case 'incomplete':
					return;
			}
		},
	};
}
