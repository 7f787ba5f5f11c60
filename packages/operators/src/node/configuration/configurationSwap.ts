/** A compare-and-swap of the configuration that is retried until it is known whether it took effect. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ConfigurationDocument, KeyValueEntry, KeyValueStore, Result } from '@papayawell/core';
import { Err, Ok, decodeConfiguration, findChangeStatus } from '@papayawell/core';
import type { ConfigurationStoreError } from './configurationStoreErrors.js';

const CALL_TIMEOUT_MS = 2000;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;

export interface ConfigurationSwap {
	readonly key: string;
	/** Revision of the document to replace; 0 if there is none. */
	readonly expectedRevision: number;
	readonly document: ConfigurationDocument;
	readonly encoded: string;
	/** How long to retry while the effect is unknown, in ms. */
	readonly settleMs: number;
}

/**
 * Swaps the document and retries the same swap while its effect is unknown. The retries can't store the change
 * twice, and after one of them gets a response, no earlier one can take effect, because the revision has changed.
 */
export async function swapUntilConfirmed(
	store: KeyValueStore,
	swap: ConfigurationSwap,
): Promise<Result<ConfigurationDocument, ConfigurationStoreError>> {
	const deadlineMs = performance.now() + swap.settleMs;
	let hasUnknownEffect = false;
	let delayMs = INITIAL_RETRY_DELAY_MS;
	for (;;) {
		const answer = await store.swap(swap.key, swap.expectedRevision, swap.encoded, {
			timeoutMs: CALL_TIMEOUT_MS,
		});
		if (answer.ok) {
			return answer.val.kind === 'swapped' ? Ok(swap.document) : resolveConflict(swap, answer.val.current);
		}
		hasUnknownEffect ||= answer.val.effect === 'unknown';
		if (!hasUnknownEffect) {
			return Err({ kind: 'unavailable', error: answer.val });
		}
		if (performance.now() + delayMs > deadlineMs) {
			return Err(makeUnsettledError(swap));
		}
		await sleep(delayMs);
		delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
	}
}

/** Checks whether the conflicting document is this change itself, stored by a try whose response was lost. */
function resolveConflict(
	swap: ConfigurationSwap,
	entry: KeyValueEntry | undefined,
): Result<ConfigurationDocument, ConfigurationStoreError> {
	const base = swap.document.previousVersion;
	if (entry === undefined) {
		return Err({ kind: 'raced', base, current: undefined });
	}
	const current = decodeConfiguration(entry.value);
	if (current.err) {
		return Err({ kind: 'unreadable', key: swap.key, message: current.val.kind });
	}
	const fate = findChangeStatus(current.val, swap.document);
	switch (fate) {
		case 'accepted':
			return Ok(swap.document);
		case 'refused':
			return Err({ kind: 'raced', base, current: current.val });
		case 'forgotten':
			return Err(makeUnsettledError(swap));
	}
}

function makeUnsettledError(swap: ConfigurationSwap): ConfigurationStoreError {
	return { kind: 'unsettled', changeId: swap.document.changeId, version: swap.document.version };
}
