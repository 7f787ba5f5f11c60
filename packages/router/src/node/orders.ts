/** Creates the service that orders engines to load models, as the configuration in force places them. */
import type {
	ConfigurationAdopter,
	Disposable,
	KeyValueStore,
	PeerNetwork,
	RouterSettings,
} from '@papayawell/core';
import { TargetKind } from '@papayawell/core';
import type { OrderHolderStatus } from '@papayawell/targets';
import { OrderService } from '@papayawell/targets';
import type { TargetDirectory } from '../common/targetDirectory.js';

export interface OrderParts {
	readonly settings: RouterSettings;
	readonly keyValue: KeyValueStore;
	readonly peers: PeerNetwork;
	readonly adopter: ConfigurationAdopter;
	readonly directory: TargetDirectory;
	readonly log: (message: string) => void;
}

export interface Orders extends Disposable {
	readStatus(): readonly OrderHolderStatus[];
}

export function createOrders({ settings, keyValue, peers, adopter, directory, log }: OrderParts): Orders {
	const service = new OrderService({
		keyValue,
		prefix: settings.platform.keyPrefix,
		instance: settings.instance,
		readView: () => peers.readView(),
		readPlacements: () => adopter.inForce?.ruleSet.models ?? [],
		listTargets: (pool) =>
			directory
				.listPool(pool)
				.filter(({ target, acceptsNew }) => acceptsNew && target.kind === TargetKind.Engine)
				.map(({ target }) => target),
		log,
	});
	const subscription = adopter.onDidAdopt(() => {
		service.update();
	});
	return {
		readStatus: () => service.readStatus(),
		dispose: () => {
			subscription.dispose();
			service.dispose();
		},
	};
}
