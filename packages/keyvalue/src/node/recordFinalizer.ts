/** Writes the final state of an attempt, `completed` or `abandoned`, and retries until the outcome is known. */
import { setMaxListeners } from 'node:events';
import type {
	BackOffPolicy,
	Disposable,
	VersionedRecord,
	WriteAheadRecord,
	WriteAheadRecordStore,
	WriteAheadRecordState,
	StoredResponse,
} from '@papayawell/core';
import { computeBackOffMs, shouldReplaceWithAbandoned } from '@papayawell/core';
import type { OpenRecord } from './writeAheadLog.js';
import { sleep } from './sleep.js';

/** Attempts to write one final state; the later ones are up to MAX_RETRY_DELAY_MS apart. */
const MAX_WRITE_ATTEMPTS = 2000;
/** Withdrawn attempts whose records are still being overwritten; further ones keep their record. */
const MAX_WITHDRAWN_ATTEMPTS = 10_000;
/** Responses with a longer body are recorded without it. */
export const MAX_STORED_BODY_LENGTH = 4096;
/** Maximum back-off: no request waits for these writes. */
const MAX_RETRY_DELAY_MS = 1000;

export class RecordFinalizer implements Disposable {
	private readonly withdrawn = new Set<string>();
	private readonly pending = new Set<Promise<void>>();
	private readonly backOff: BackOffPolicy;
	private readonly controller = new AbortController();

	constructor(
		private readonly records: WriteAheadRecordStore,
		private readonly putTimeoutMs: number,
		backOff: BackOffPolicy,
	) {
		this.backOff = { ...backOff, maxMs: MAX_RETRY_DELAY_MS };
		setMaxListeners(0, this.controller.signal);
	}

	/** Whether this router has withdrawn the attempt, while its record may still say `dispatched`. */
	public isWithdrawn(attempt: string): boolean {
		return this.withdrawn.has(attempt);
	}

	/**
	 * Overwrites the record of a withdrawn attempt as abandoned. Earlier writes of the attempt that are still in
	 * flight can't take effect afterwards, because the revision they expect has been replaced.
	 */
	public withdraw(open: OpenRecord): Promise<void> {
		const { attempt } = open.record;
		if (this.withdrawn.size >= MAX_WITHDRAWN_ATTEMPTS) {
			return Promise.resolve();
		}
		this.withdrawn.add(attempt);
		const write = this.write(open, { kind: 'abandoned' }, shouldReplaceWithAbandoned);
		return this.track(write.finally(() => this.withdrawn.delete(attempt)));
	}

	public finish(open: OpenRecord, answer: StoredResponse): Promise<void> {
		const { body, ...head } = answer;
		const isBodyStored = body !== undefined && body.length <= MAX_STORED_BODY_LENGTH;
		const state: WriteAheadRecordState = {
			kind: 'completed',
			answer: isBodyStored ? { ...head, body } : head,
		};
		return this.track(this.write(open, state, isOwnDispatched));
	}

	public async drain(): Promise<void> {
		await Promise.all(this.pending);
	}

	/** Cancels pending writes; their records stay unchanged. */
	public dispose(): void {
		this.controller.abort();
	}

	private track(write: Promise<void>): Promise<void> {
		this.pending.add(write);
		return write.finally(() => this.pending.delete(write));
	}

	private async write(
		open: OpenRecord,
		state: WriteAheadRecordState,
		shouldOverwrite: (found: WriteAheadRecord, own: WriteAheadRecord) => boolean,
	): Promise<void> {
		const record = { ...open.record, state };
		let expectedVersion = open.version;
		for (
			let writeAttempt = 1;
			writeAttempt <= MAX_WRITE_ATTEMPTS && !this.controller.signal.aborted;
			writeAttempt += 1
		) {
			const options = { timeoutMs: this.putTimeoutMs };
			const answer = await this.records.put(open.name, expectedVersion, record, options);
			if (!answer.ok) {
				await sleep(computeBackOffMs(this.backOff, writeAttempt), this.controller.signal);
				continue;
			}
			if (answer.val.kind === 'stored') {
				return;
			}
			const { found }: { found: VersionedRecord | undefined } = answer.val;
			if (found && !shouldOverwrite(found.record, record)) {
				return;
			}
			expectedVersion = found?.version ?? 0;
		}
	}
}

function isOwnDispatched(found: WriteAheadRecord, own: WriteAheadRecord): boolean {
	return found.attempt === own.attempt && found.state.kind === 'dispatched';
}
