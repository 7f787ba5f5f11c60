/** Simulates an operator: bases each change on the version it read, and applies it until the outcome is known. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { hashToUnit } from '@papayawell/core';
import type { ConfigurationStoreError } from '@papayawell/operators';
import { AdminClient, ConfigurationStore, mergeStatuses } from '@papayawell/operators';
import { EtcdKeyValueStore } from '@papayawell/keyvalue';
import type { FleetHarness } from '../../harness/fleetHarness.js';
import { OPERATOR_TOKEN } from '../../harness/routerProcess.js';

const CALLS_PER_SECOND = 50;
const RETRY_DELAY_MS = 400;
/** Time-out for the outcome of one change; longer than any outage of the experiment. */
const CHANGE_TIMEOUT_MS = 40_000;
const SETTLE_MS = 3000;

/** A change that an operator attempted, and its outcome. */
export interface ChangeAttempt {
	readonly changeId: string;
	readonly operator: string;
	readonly outcome: 'accepted' | 'raced' | 'unavailable' | 'unsettled';
	readonly version: number | undefined;
	/** Monotonic time at which the operator received the outcome, in ms. */
	readonly atMs: number;
}

export interface OperatorOptions {
	readonly fleet: FleetHarness;
	readonly prefix: string;
	readonly name: string;
	readonly seed: string;
	readonly changes: number;
	/** Maximum pause between reading the configuration and applying a change, in ms. */
	readonly maxThinkMs: number;
	/** Runs a change as soon as changes are allowed. */
	readonly runWhenAllowed: (change: () => Promise<void>) => Promise<void>;
}

export class OperatorLoop {
	public readonly attempts: ChangeAttempt[] = [];
	private readonly keyValue: EtcdKeyValueStore;
	private readonly store: ConfigurationStore;

	constructor(private readonly options: OperatorOptions) {
		const origins = [options.fleet.keyValue.origin];
		this.keyValue = new EtcdKeyValueStore({ origins, callsPerSecond: CALLS_PER_SECOND });
		this.store = new ConfigurationStore(this.keyValue, options.prefix);
	}

	public async run(): Promise<void> {
		for (let index = 0; index < this.options.changes; index++) {
			await this.options.runWhenAllowed(() => this.makeChange(index));
		}
		this.keyValue.dispose();
	}

	private async makeChange(index: number): Promise<void> {
		const { name, seed, maxThinkMs } = this.options;
		const base = await this.readBase();
		await sleep(hashToUnit(`${seed}/${name}/${index}`) * maxThinkMs);
		const changeId = randomUUID();
		const at = new Date().toISOString();
		const text = `${base.text.split('\n', 1)[0] ?? ''}\n# change ${index} of ${name}\n`;
		const change = { changeId, who: name, why: `change ${index}`, at, text };
		this.attempts.push(await this.applyUntilKnown(change, base.version));
	}

	/** Reads the current document; retries while the key-value service is unavailable. */
	private async readBase(): Promise<{ readonly version: number; readonly text: string }> {
		for (;;) {
			const stored = await this.store.read();
			if (stored.ok && stored.val !== undefined) {
				return stored.val.document;
			}
			await sleep(RETRY_DELAY_MS);
		}
	}

	/** Applies the change, retrying until its outcome is known or the time-out has elapsed. */
	private async applyUntilKnown(
		change: Parameters<ConfigurationStore['apply']>[0]['change'],
		baseVersion: number,
	): Promise<ChangeAttempt> {
		const deadlineMs = performance.now() + CHANGE_TIMEOUT_MS;
		for (;;) {
			const fleetVersion = await this.readFleetVersion();
			const request = { change, baseVersion, fleetVersion, settleMs: SETTLE_MS };
			const answer = await this.store.apply(request);
			const { changeId } = change;
			const common = { changeId, operator: this.options.name, atMs: performance.now() };
			if (answer.ok) {
				return { ...common, outcome: 'accepted', version: answer.val.version };
			}
			const outcome = toOutcome(answer.val);
			if (outcome !== undefined || performance.now() > deadlineMs) {
				return { ...common, outcome: outcome ?? 'unsettled', version: undefined };
			}
			await sleep(RETRY_DELAY_MS);
		}
	}

	/** Returns the highest configuration version in the status of the first router that answers. */
	private async readFleetVersion(): Promise<number> {
		for (;;) {
			for (const router of this.options.fleet.routers) {
				const client = new AdminClient(`http://${router.adminAddress}`, OPERATOR_TOKEN);
				const status = await client.readStatus();
				if (status.ok) {
					return Math.max(...mergeStatuses([status.val]).map((known) => known.configurationVersion));
				}
			}
			await sleep(RETRY_DELAY_MS);
		}
	}
}

/** Maps an error to the outcome of the change; undefined if the change has to be retried. */
function toOutcome(error: ConfigurationStoreError): ChangeAttempt['outcome'] | undefined {
	switch (error.kind) {
		case 'raced':
			return 'raced';
		case 'unavailable':
			return 'unavailable';
		case 'unsettled':
		case 'storeBehind':
			return undefined;
		case 'findings':
		case 'tooLarge':
		case 'unreadable':
		case 'unknownVersion':
			throw new Error(`unexpected error of the configuration store: ${error.kind}`);
	}
}
