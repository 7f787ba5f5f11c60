/** Polls the instance list of the platform. The last valid list is retained while polls fail. */
import type { Disposable, Event, InstanceList } from '@papayawell/core';
import { Emitter } from '@papayawell/core';
import { Agent, request } from 'undici';
import type { ListItemFinding } from '../common/instanceListDecoder.js';
import { decodeInstanceList } from '../common/instanceListDecoder.js';

const DEFAULT_TIMEOUT_MS = 2_000;
/** Maximum random deviation of a poll interval from its mean, as a fraction. */
const JITTER_RATIO = 0.2;
const NOT_MODIFIED = 304;

export type InstanceListError =
	| { readonly kind: 'unreachable'; readonly message: string }
	| { readonly kind: 'status'; readonly status: number }
	| { readonly kind: 'malformed'; readonly message: string }
	/** The list has no instances; the previous list is retained. */
	| { readonly kind: 'empty' };

export interface InstanceListOptions {
	readonly url: string;
	/** Mean poll interval, in ms. */
	readonly pollMs: number;
	readonly timeoutMs?: number;
	/** Source of uniform numbers in [0, 1) for the jitter. */
	readonly random?: () => number;
}

/** Provides the current list of routers and targets. */
export interface InstanceListSource extends Disposable {
	/** Fires with the complete list when its content has changed. */
	readonly onDidChange: Event<InstanceList>;
	/** Fires for each failed poll. */
	readonly onDidFail: Event<InstanceListError>;
	/** Fires when invalid items of a list were skipped. */
	readonly onDidSkipItems: Event<readonly ListItemFinding[]>;
	/** Returns the last valid list, or undefined before the first. */
	readList(): InstanceList | undefined;
	/** Returns the error of the latest poll, or undefined if it succeeded. */
	readError(): InstanceListError | undefined;
	start(): void;
}

export class HttpInstanceListSource implements InstanceListSource {
	private readonly changeEmitter = new Emitter<InstanceList>();
	private readonly failEmitter = new Emitter<InstanceListError>();
	private readonly skippedItemsEmitter = new Emitter<readonly ListItemFinding[]>();
	private readonly agent = new Agent({ connections: 1 });
	private readonly abortController = new AbortController();
	private readonly timeoutMs: number;
	private readonly random: () => number;
	private timer: NodeJS.Timeout | undefined;
	private list: InstanceList | undefined;
	private error: InstanceListError | undefined;
	private etag: string | undefined;

	public readonly onDidChange = this.changeEmitter.event;
	public readonly onDidFail = this.failEmitter.event;
	public readonly onDidSkipItems = this.skippedItemsEmitter.event;

	constructor(private readonly options: InstanceListOptions) {
		this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
		this.random = options.random ?? Math.random;
	}

	public readList(): InstanceList | undefined {
		return this.list;
	}

	public readError(): InstanceListError | undefined {
		return this.error;
	}

	/** Polls now, then periodically until disposed. */
	public start(): void {
		void this.poll().finally(() => {
			this.scheduleNext();
		});
	}

	/** Polls once. Never rejects: `onDidFail` reports a failure. */
	public async poll(): Promise<void> {
		const error = await this.fetchList();
		if (this.abortController.signal.aborted) {
			return;
		}
		this.error = error;
		if (error !== undefined) {
			this.failEmitter.fire(error);
		}
	}

	public dispose(): void {
		this.abortController.abort();
		clearTimeout(this.timer);
		this.changeEmitter.dispose();
		this.failEmitter.dispose();
		this.skippedItemsEmitter.dispose();
		void this.agent.destroy();
	}

	private scheduleNext(): void {
		if (this.abortController.signal.aborted) {
			return;
		}
		const factor = 1 + JITTER_RATIO * (2 * this.random() - 1);
		this.timer = setTimeout(() => {
			this.start();
		}, this.options.pollMs * factor);
		this.timer.unref();
	}

	private async fetchList(): Promise<InstanceListError | undefined> {
		try {
			const answer = await request(this.options.url, {
				dispatcher: this.agent,
				headers: this.etag === undefined ? {} : { 'if-none-match': this.etag },
				signal: AbortSignal.any([this.abortController.signal, AbortSignal.timeout(this.timeoutMs)]),
			});
			const text = await answer.body.text();
			if (answer.statusCode === NOT_MODIFIED) {
				this.refreshReceiptTime();
				return undefined;
			}
			if (answer.statusCode !== 200) {
				return { kind: 'status', status: answer.statusCode };
			}
			return this.applyResponse(text, readEtag(answer.headers.etag));
		} catch (error) {
			return { kind: 'unreachable', message: error instanceof Error ? error.message : String(error) };
		}
	}

	private applyResponse(text: string, etag: string | undefined): InstanceListError | undefined {
		const decoded = decodeInstanceList(parseJson(text), performance.now());
		if (decoded.err) {
			return { kind: 'malformed', message: decoded.val };
		}
		const { list, findings } = decoded.val;
		if (findings.length > 0) {
			this.skippedItemsEmitter.fire(findings);
		}
		if (list.routers.length + list.targets.length === 0) {
			return { kind: 'empty' };
		}
		const hasChanged = this.list === undefined || !isSameContent(this.list, list);
		this.list = list;
		this.etag = etag;
		if (hasChanged) {
			this.changeEmitter.fire(list);
		}
		return undefined;
	}

	private refreshReceiptTime(): void {
		if (this.list !== undefined) {
			this.list = { ...this.list, receivedAtMs: performance.now() };
		}
	}
}

function isSameContent(left: InstanceList, right: InstanceList): boolean {
	return JSON.stringify([left.routers, left.targets]) === JSON.stringify([right.routers, right.targets]);
}

function readEtag(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
