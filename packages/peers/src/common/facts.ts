/** Facts by the way they are disseminated, with their keys and their expiry. */
import type { Fact } from '@papayawell/core';

/** Facts disseminated by flooding and repaired by digests: they are few and must not be lost. */
export type Warning = Extract<Fact, { kind: 'leaving' | 'quarantine' | 'suspicion' }>;
export type EngineLoad = Extract<Fact, { kind: 'load' }>;
export type LimitUsage = Extract<Fact, { kind: 'use' }>;

/**
 * Retention of an expired quarantine, so that a peer with a slightly different clock does not reintroduce it.
 */
const EXPIRED_QUARANTINE_RETENTION_MS = 60_000;

/** Formats the key of a warning; a newer warning with the same key replaces it. */
export function formatWarningKey(warning: Warning): string {
	switch (warning.kind) {
		case 'leaving':
			return `leaving/${warning.instance}/${warning.incarnation}`;
		case 'quarantine':
			return `quarantine/${warning.fingerprint}`;
		case 'suspicion':
			return `suspicion/${warning.fingerprint}/${warning.target}`;
	}
}

/**
 * Whether a warning may be removed at `epochMs`. Leaving targets and releases from quarantine never expire; they
 * are removed only by eviction.
 */
export function isExpired(warning: Warning, epochMs: number): boolean {
	switch (warning.kind) {
		case 'leaving':
			return false;
		case 'quarantine':
			return warning.expiresAtMs > 0 && warning.expiresAtMs + EXPIRED_QUARANTINE_RETENTION_MS < epochMs;
		case 'suspicion':
			return warning.expiresAtMs < epochMs;
	}
}
