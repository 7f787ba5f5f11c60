/**
 * A client that behaves as callers should: looks up entry addresses, fails over to other addresses and retries after
 * the time in `Retry-After`.
 */
import type { Dispatcher } from 'undici';
import { Agent } from 'undici';
import type { ReceivedAnswer } from './answerReader.js';
import { readAnswer } from './answerReader.js';
import { EntriesClient } from './entriesClient.js';
import type { PlannedRequest } from './plannedRequest.js';

/** Time-out for the response head and between chunks of the body; longer than a router's request deadline. */
const ANSWER_TIMEOUT_MS = 120_000;
/** Back-off after a refused connection or when no address is available. */
const REFUSED_BACKOFF_MS = 200;
const MAX_CONNECTIONS_PER_ORIGIN = 256;

export interface CallerOptions {
	/** Origins of some routers, used to look up the others. */
	readonly entries: readonly string[];
	/** Maximum number of times that a request is sent. */
	readonly maxTries: number;
	/** Time after the first attempt within which a request is retried. */
	readonly retryTimeoutMs: number;
	/** Returns the API key of a customer. */
	readonly findKey: (customer: string) => string;
}

/** How one request ended, from the caller's point of view. */
export type CallResult =
	/** The complete answer that belongs to the request. */
	| { readonly kind: 'completed'; readonly answer: ReceivedAnswer }
	/** A complete answer with a text that belongs to another request. */
	| { readonly kind: 'crossed'; readonly answer: ReceivedAnswer }
	/** An answer that is reported as completed but whose text is only a prefix of the expected one. */
	| { readonly kind: 'truncated'; readonly answer: ReceivedAnswer }
	/** The router reported the outcome `not-run`. */
	| { readonly kind: 'not-run'; readonly answer: ReceivedAnswer }
	/** The router reported the outcome `unknown`. */
	| { readonly kind: 'unknown'; readonly answer: ReceivedAnswer }
	/** No answer, or an answer that states no outcome. */
	| { readonly kind: 'lost'; readonly detail: string };

export interface CallReport {
	readonly request: PlannedRequest;
	readonly result: CallResult;
	readonly tries: number;
	/** Number of attempts that failed because the connection broke before the end of the answer. */
	readonly brokenConnections: number;
	/** Request IDs, assigned by the router, of all attempts with the outcome `not-run`, retried ones included. */
	readonly notRunIds: readonly string[];
	/** Time from the first attempt to the final result, in ms. */
	readonly totalMs: number;
}

interface CallProgress {
	tries: number;
	brokenConnections: number;
	readonly notRunIds: string[];
}

type TryResult =
	| { readonly kind: 'answered'; readonly answer: ReceivedAnswer }
	| { readonly kind: 'refused' }
	| { readonly kind: 'broken'; readonly detail: string };

export class Caller {
	private readonly agent = new Agent({
		connections: MAX_CONNECTIONS_PER_ORIGIN,
		pipelining: 1,
		headersTimeout: ANSWER_TIMEOUT_MS,
		bodyTimeout: ANSWER_TIMEOUT_MS,
	});
	private readonly entriesClient: EntriesClient;

	constructor(private readonly options: CallerOptions) {
		this.entriesClient = new EntriesClient(options.entries, this.agent);
	}

	/** Sends a request and retries it until it has a final result or the retry limits are reached. */
	public async call(request: PlannedRequest): Promise<CallReport> {
		const startMs = performance.now();
		const progress: CallProgress = { tries: 0, brokenConnections: 0, notRunIds: [] };
		let lastDetail = 'no router answered';
		while (this.shouldTry(progress.tries, startMs)) {
			const tried = await this.tryOnce(request, progress.tries);
			progress.tries += 1;
			if (tried.kind === 'refused') {
				await this.waitAfterConnectionRefused(request);
				continue;
			}
			if (tried.kind === 'broken') {
				progress.brokenConnections += 1;
				lastDetail = tried.detail;
				this.entriesClient.evict(this.options.findKey(request.customer), request.chat);
				continue;
			}
			recordRefusal(progress, tried.answer);
			const waitMs = this.computeRetryDelayMs(tried.answer, progress.tries, startMs);
			if (waitMs === undefined) {
				return this.report(request, compareAnswer(request, tried.answer), progress, startMs);
			}
			await sleep(waitMs);
		}
		return this.report(request, { kind: 'lost', detail: lastDetail }, progress, startMs);
	}

	/** Sends a request once to the given router, without looking up entry addresses and without retries. */
	public async sendTo(origin: string, request: PlannedRequest): Promise<CallReport> {
		const startMs = performance.now();
		const tried = await this.send(origin, request);
		const result: CallResult =
			tried.kind === 'answered'
				? compareAnswer(request, tried.answer)
				: { kind: 'lost', detail: tried.kind === 'broken' ? tried.detail : tried.kind };
		const progress: CallProgress = {
			tries: 1,
			brokenConnections: tried.kind === 'broken' ? 1 : 0,
			notRunIds: [],
		};
		if (tried.kind === 'answered') {
			recordRefusal(progress, tried.answer);
		}
		return this.report(request, result, progress, startMs);
	}

	public async close(): Promise<void> {
		await this.agent.destroy();
	}

	private shouldTry(tries: number, startMs: number): boolean {
		return tries < this.options.maxTries && performance.now() - startMs < this.options.retryTimeoutMs;
	}

	private async tryOnce(request: PlannedRequest, tries: number): Promise<TryResult> {
		const key = this.options.findKey(request.customer);
		const origins = await this.entriesClient.listOrigins(key, request.chat);
		const origin = origins[tries % Math.max(1, origins.length)];
		return origin === undefined ? { kind: 'refused' } : this.send(origin, request);
	}

	private async waitAfterConnectionRefused(request: PlannedRequest): Promise<void> {
		this.entriesClient.evict(this.options.findKey(request.customer), request.chat);
		await sleep(REFUSED_BACKOFF_MS);
	}

	/** Returns the delay before the next attempt, or undefined if the answer is final. */
	private computeRetryDelayMs(answer: ReceivedAnswer, tries: number, startMs: number): number | undefined {
		const isRefusal = answer.outcome === 'not-run' && answer.retryAfterMs !== undefined;
		if (!isRefusal || !this.shouldTry(tries, startMs)) {
			return undefined;
		}
		const leftMs = this.options.retryTimeoutMs - (performance.now() - startMs);
		return answer.retryAfterMs < leftMs ? answer.retryAfterMs : undefined;
	}

	private async send(origin: string, request: PlannedRequest): Promise<TryResult> {
		const sentAtMs = performance.now();
		try {
			const data = await this.agent.request(this.buildOptions(origin, request));
			const answer = await readAnswer(data, sentAtMs);
			const isFinal = answer.isComplete || answer.problem !== '';
			return isFinal ? { kind: 'answered', answer } : { kind: 'broken', detail: 'the answer broke off' };
		} catch (error) {
			return isConnectionRefused(error)
				? { kind: 'refused' }
				: { kind: 'broken', detail: describeError(error) };
		}
	}

	private buildOptions(origin: string, request: PlannedRequest): Dispatcher.RequestOptions {
		const authorization = `Bearer ${this.options.findKey(request.customer)}`;
		return {
			origin,
			path: request.path,
			method: request.method,
			headers: { ...request.headers, authorization },
			...(request.body === '' ? {} : { body: request.body }),
		};
	}

	private report(
		request: PlannedRequest,
		result: CallResult,
		progress: CallProgress,
		startMs: number,
	): CallReport {
		return { request, result, ...progress, totalMs: performance.now() - startMs };
	}
}

function recordRefusal(progress: CallProgress, answer: ReceivedAnswer): void {
	if (answer.outcome === 'not-run') {
		progress.notRunIds.push(answer.requestId);
	}
}

/** Determines the result of a call from the reported outcome and the expected text. */
function compareAnswer(request: PlannedRequest, answer: ReceivedAnswer): CallResult {
	if (answer.outcome === 'not-run') {
		return { kind: 'not-run', answer };
	}
	if (answer.outcome === 'unknown') {
		return { kind: 'unknown', answer };
	}
	if (answer.outcome !== 'completed') {
		return { kind: 'lost', detail: `status ${answer.status} states no outcome` };
	}
	const expected = request.computeExpected();
	if (answer.text === expected) {
		return { kind: 'completed', answer };
	}
	const isPrefix = expected.startsWith(answer.text);
	return { kind: isPrefix ? 'truncated' : 'crossed', answer };
}

function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function describeError(error: unknown): string {
	return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, durationMs));
}
