/** Looks up callers by the hash of their API key. */
import type { CallerKey } from '@papayawell/core';

export class CallerDirectory {
	private byHash: ReadonlyMap<string, CallerKey> | undefined;

	/** Replaces all callers; requests of callers that are absent are rejected from now on. */
	public setCallers(callers: readonly CallerKey[]): void {
		this.byHash = new Map(callers.map((caller) => [caller.keyHash, caller]));
	}

	/** Returns `no-configuration` until callers have been set for the first time. */
	public find(keyHash: string): CallerKey | undefined | 'no-configuration' {
		return this.byHash === undefined ? 'no-configuration' : this.byHash.get(keyHash);
	}
}
