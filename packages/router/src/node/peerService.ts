/** Serves the requests of other routers. */
import type { ConfigurationAdopter, PeerResponse, PeerRequest } from '@papayawell/core';
import type { ConfigurationWatcher } from '@papayawell/operators';
import type { DrainController } from './drainController.js';
import type { OwnerService } from './ownerService.js';

export interface PeerServiceParts {
	readonly instance: string;
	readonly owner: OwnerService;
	readonly watcher: ConfigurationWatcher;
	readonly adopter: ConfigurationAdopter;
	readonly drain: DrainController;
}

/** Answers one request that the router `from` sent. */
export function answerPeerRequest(parts: PeerServiceParts, from: string, request: PeerRequest): PeerResponse {
	switch (request.kind) {
		case 'reserve':
			return parts.owner.reserve(from, request.instance, request.count);
		case 'release':
			return parts.owner.release(from, request.instance, request.count);
		case 'fetchConfiguration':
			return parts.watcher.answerFetch(request.aboveVersion);
		case 'status':
			return {
				kind: 'status',
				instance: parts.instance,
				configurationVersion: parts.adopter.version,
				isDraining: parts.drain.isDraining,
			};
	}
}
