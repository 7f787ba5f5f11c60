/** Holds the configuration that is active on this instance. Its version never decreases. */
import type { Disposable } from '@papayawell/core';
import { Emitter } from '@papayawell/core';
import type { GatewayConfiguration } from './gatewayConfiguration.js';
import type { DecodedConfiguration } from './metadataStore.js';
import { RouteTable } from './routeTable.js';

export type GatewayConfigurationSource = 'store' | 'peer';

export interface ConfigurationSnapshot {
	readonly configuration: GatewayConfiguration;
	readonly routes: RouteTable;
	/** The encoded configuration as it was received; forwarded to peers unchanged. */
	readonly encoded: string;
}

export interface AdoptedConfiguration {
	readonly snapshot: ConfigurationSnapshot;
	readonly previousVersion: number;
	readonly source: GatewayConfigurationSource;
}

export class ActiveConfiguration implements Disposable {
	private readonly adoptEmitter = new Emitter<AdoptedConfiguration>();
	private activeSnapshot: ConfigurationSnapshot | undefined;

	/** Fires after a configuration with a higher version has become active. */
	public readonly onDidAdopt = this.adoptEmitter.event;

	public get current(): ConfigurationSnapshot | undefined {
		return this.activeSnapshot;
	}

	/** Version of the active configuration; 0 before the first one. */
	public get version(): number {
		return this.activeSnapshot?.configuration.version ?? 0;
	}

	/** Adopts the configuration if its version is higher than the active one. Returns whether it did. */
	public tryAdopt(
		{ configuration, encoded }: DecodedConfiguration,
		source: GatewayConfigurationSource,
	): boolean {
		const previousVersion = this.version;
		if (configuration.version <= previousVersion) {
			return false;
		}
		this.activeSnapshot = { configuration, encoded, routes: new RouteTable(configuration) };
		this.adoptEmitter.fire({ snapshot: this.activeSnapshot, previousVersion, source });
		return true;
	}

	public dispose(): void {
		this.adoptEmitter.dispose();
	}
}
