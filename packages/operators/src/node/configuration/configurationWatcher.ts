/**
 * Keeps the operators' configuration of this router up to date. A few routers of each zone watch the key-value
 * service and publish changes to their peers, so the number of calls doesn't depend on the number of routers.
 */
import type {
	ConfigurationAdopter,
	ConfigurationSource,
	Disposable,
	Fact,
	KeyValueStore,
	PeerResponse,
	PeerNetwork,
} from '@papayawell/core';
import { DisposableStore, isConfigurationWatcher } from '@papayawell/core';
import { ConfigurationRepairer } from './configurationRepairer.js';
import { fetchConfigurationFromPeers } from './fetchConfigurationFromPeers.js';
import { ConfigurationKeyWatcher } from './configurationKeyWatcher.js';
import { TimerSet } from './timerSet.js';

/** Time for the membership view to fill after the start, before this router decides whether it is a watcher. */
const VIEW_SETTLE_DELAY_MS = 500;
const FETCH_INTERVAL_MS = 1000;
/** Fetch intervals are uniform between this multiple of the mean and one more than it. */
const MIN_INTERVAL_FACTOR = 0.5;

export interface ConfigurationWatcherOptions {
	readonly keyValue: KeyValueStore;
	readonly network: PeerNetwork;
	readonly adopter: ConfigurationAdopter;
	/** Prefix of all keys of this fleet. */
	readonly prefix: string;
	readonly instance: string;
	readonly zone: string;
	readonly watchersPerZone: number;
	/** Logs informational messages. */
	readonly log?: (message: string) => void;
	/** Logs warnings for operators; `log` is used if it is absent. */
	readonly warn?: (message: string) => void;
}

export class ConfigurationWatcher implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly timers = this.disposables.add(new TimerSet());
	private keyWatcher: ConfigurationKeyWatcher | undefined;
	private isViewSettled = false;
	private isDisposed = false;

	constructor(private readonly options: ConfigurationWatcherOptions) {}

	/** Whether this router watches the key-value service. */
	public get isWatching(): boolean {
		return this.keyWatcher !== undefined;
	}

	/** Starts to receive the configuration from peers, and to watch if selected once the view has filled. */
	public start(): void {
		const { network } = this.options;
		const facts = network.onDidReceiveFact((fact) => {
			this.handleFact(fact);
		});
		const views = network.onDidChangeView(() => {
			this.updateWatchRole();
		});
		this.disposables.add(facts);
		this.disposables.add(views);
		this.timers.schedule(VIEW_SETTLE_DELAY_MS, () => {
			this.isViewSettled = true;
			this.updateWatchRole();
		});
		this.fetchUntilConfigured();
	}

	/** Responds to a peer that fetches the configuration; the document is omitted unless it is newer. */
	public answerFetch(aboveVersion: number): PeerResponse {
		const { adopter } = this.options;
		const isNewer = adopter.version > aboveVersion;
		const document = isNewer ? adopter.inForce?.encoded : undefined;
		return { kind: 'configuration', version: adopter.version, document };
	}

	public dispose(): void {
		this.isDisposed = true;
		this.stopWatching();
		this.disposables.dispose();
	}

	private handleFact(fact: Fact): void {
		if (fact.kind === 'configuration' && fact.version >= this.options.adopter.version) {
			this.offer(fact.document, 'peer');
		}
	}

	private offer(encoded: string, source: ConfigurationSource): void {
		const { adopter } = this.options;
		const answer = adopter.offer(encoded, source);
		switch (answer.kind) {
			case 'adopted':
				this.log(`Configuration version ${adopter.version} from ${source} is in force.`);
				if (answer.isDivergent) {
					this.logWarning(
						`Configuration version ${adopter.version} replaces a version that is not in its history.`,
					);
				}
				if (source === 'keyValue') {
					this.publishInForce();
				}
				break;
			case 'same':
				break;
			case 'older':
			case 'divergent':
				this.logWarning(
					`Refused ${answer.kind} configuration version ${answer.offered.version} from ${source}; ` +
						`version ${adopter.version} stays in force.`,
				);
				this.keyWatcher?.scheduleRepair();
				break;
			case 'invalid':
				this.logWarning(`Refused an invalid configuration from ${source}: ${answer.message}.`);
				break;
		}
	}

	private publishInForce(): void {
		const { adopter, network } = this.options;
		if (adopter.inForce !== undefined) {
			const { document, encoded } = adopter.inForce;
			network.publish({ kind: 'configuration', version: document.version, document: encoded });
		}
	}

	private updateWatchRole(): void {
		if (!this.isViewSettled || this.isDisposed) {
			return;
		}
		const { network, instance, zone, watchersPerZone } = this.options;
		if (!isConfigurationWatcher(network.readView(), instance, zone, watchersPerZone)) {
			this.stopWatching();
			return;
		}
		this.keyWatcher ??= this.createKeyWatcher();
	}

	private createKeyWatcher(): ConfigurationKeyWatcher {
		const { keyValue, prefix, adopter } = this.options;
		this.log('Selected as configuration watcher: watching the key-value service.');
		return new ConfigurationKeyWatcher({
			keyValue,
			prefix,
			repairer: new ConfigurationRepairer(keyValue, prefix, adopter),
			offer: (encoded) => {
				this.offer(encoded, 'keyValue');
			},
			onDidRepair: () => {
				this.publishInForce();
			},
			warn: (message) => {
				this.logWarning(message);
			},
		});
	}

	private stopWatching(): void {
		this.keyWatcher?.dispose();
		this.keyWatcher = undefined;
	}

	/** Fetches from peers until a configuration is in force, so that a start during an outage succeeds. */
	private fetchUntilConfigured(): void {
		const { adopter, network, instance } = this.options;
		if (adopter.inForce !== undefined || this.isDisposed) {
			return;
		}
		void fetchConfigurationFromPeers(network, instance).then((encoded) => {
			if (encoded !== undefined && !this.isDisposed) {
				this.offer(encoded, 'peer');
			}
			this.timers.schedule(FETCH_INTERVAL_MS * (MIN_INTERVAL_FACTOR + Math.random()), () => {
				this.fetchUntilConfigured();
			});
		});
	}

	private logWarning(message: string): void {
		const { warn, log } = this.options;
		(warn ?? log)?.(message);
	}

	private log(message: string): void {
		this.options.log?.(message);
	}
}
