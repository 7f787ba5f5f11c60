/** Serves chat completions: runs generations in the batch, and retains interrupted streams to resume them. */
import { REQUEST_ID_HEADER } from '@papayawell/core';
import type { ChatRequest } from '../common/chatRequest.js';
import { chatRequestSchema } from '../common/chatRequest.js';
import {
	estimatePromptTokens,
	generateText,
	generateToken,
	planAnswer,
	renderPrompt,
} from '../common/generatedText.js';
import type { PrefixCache } from '../common/prefixCache.js';
import { createAnswerWriter } from './answerWriters.js';
import type { BatchLoop, Sequence } from './batchLoop.js';
import type { CacheEventStream } from './cacheEventStream.js';
import type { EngineLogEntry, EngineSettings } from './engineOptions.js';
import type { AnswerWriter, Generation, GenerationFaults } from './generation.js';
import { consumeGenerationFaults } from './generation.js';
import type { StandInExchange, StandInServer } from './standInServer.js';
import { hashBody, parseJson, readHeader, sendJson } from './standInServer.js';

/** Components of the engine that serving chats depends on. */
export interface EngineParts {
	readonly settings: EngineSettings;
	readonly server: StandInServer<EngineLogEntry>;
	readonly batch: BatchLoop;
	readonly cache: PrefixCache;
	readonly cacheEvents: CacheEventStream;
}

interface ResumableGeneration {
	readonly generation: Generation;
	/** Position after the last generated token. */
	position: number;
	expiry: NodeJS.Timeout | undefined;
	/** Stops generating for the current connection and cancels the expiry. */
	detach: () => void;
}

export class EngineChats {
	private readonly resumableByRequestId = new Map<string, ResumableGeneration>();
	private requestCount = 0;

	constructor(private readonly parts: EngineParts) {}

	public async handle(exchange: StandInExchange): Promise<void> {
		if (this.crashOnFault(exchange)) {
			return;
		}
		const parsed = chatRequestSchema.safeParse(parseJson(exchange.body));
		if (!parsed.success) {
			sendJson(exchange.response, 400, { error: { message: parsed.error.message } });
			return;
		}
		const faults = consumeGenerationFaults(this.parts.server.faults);
		if (faults.delayMs > 0) {
			await sleep(faults.delayMs);
		}
		if (!exchange.response.destroyed) {
			this.startOrResume(exchange, parsed.data, faults);
		}
	}

	/** Discards all retained streams. */
	public dispose(): void {
		for (const resumable of this.resumableByRequestId.values()) {
			clearTimeout(resumable.expiry);
		}
		this.resumableByRequestId.clear();
	}

	private crashOnFault(exchange: StandInExchange): boolean {
		const { faults } = this.parts.server;
		if (faults.consume('crash', (fault) => fault.at === 'before') !== undefined) {
			this.parts.server.crash();
			return true;
		}
		if (faults.consume('crash-marker', (fault) => exchange.body.includes(fault.marker)) !== undefined) {
			setTimeout(() => {
				this.parts.server.crash();
			}, this.parts.settings.crashDelayMs);
			return true;
		}
		return false;
	}

	private startOrResume(exchange: StandInExchange, request: ChatRequest, faults: GenerationFaults): void {
		const lastEventId = readHeader(exchange.request, 'last-event-id');
		if (lastEventId === undefined || request.continue_final_message === true) {
			const generation = this.createGeneration(exchange, request, faults.isCrossed);
			this.run(exchange, generation, generation.plan.start, faults, 'started');
			return;
		}
		this.resume(exchange, Number(lastEventId), faults);
	}

	private resume(exchange: StandInExchange, lastEventId: number, faults: GenerationFaults): void {
		const requestId = readHeader(exchange.request, REQUEST_ID_HEADER) ?? '';
		const resumable = this.resumableByRequestId.get(requestId);
		if (resumable?.generation.bodyDigest !== hashBody(exchange.body)) {
			sendJson(exchange.response, 404, { error: { message: 'No stream of this request is held.' } });
			return;
		}
		const isGenerated = lastEventId >= resumable.generation.plan.start && lastEventId <= resumable.position;
		if (!isGenerated) {
			sendJson(exchange.response, 409, { error: { message: 'The stream has not come that far.' } });
			return;
		}
		resumable.detach();
		this.run(exchange, resumable.generation, lastEventId, faults, 'resumed');
	}

	private createGeneration(exchange: StandInExchange, request: ChatRequest, isCrossed: boolean): Generation {
		this.requestCount += 1;
		const requestId = readHeader(exchange.request, REQUEST_ID_HEADER) ?? `engine-${this.requestCount}`;
		const prompt = renderPrompt(request.messages);
		const plan = planAnswer(request);
		const cachedTokens = this.parts.cache.match(prompt);
		this.storePrefix(prompt, request);
		return {
			requestId: isCrossed ? `crossed-${requestId}` : requestId,
			request,
			bodyDigest: hashBody(exchange.body),
			plan: isCrossed ? { ...plan, seed: `crossed-${plan.seed}` } : plan,
			promptTokens: estimatePromptTokens(prompt),
			cachedTokens,
		};
	}

	private run(
		exchange: StandInExchange,
		generation: Generation,
		position: number,
		faults: GenerationFaults,
		event: 'started' | 'resumed',
	): void {
		const writer = createAnswerWriter(generation, exchange.response);
		const resumable: ResumableGeneration = {
			generation,
			position,
			expiry: undefined,
			detach: () => undefined,
		};
		const sequence = this.createSequence(resumable, writer, faults, event);
		resumable.detach = () => {
			clearTimeout(resumable.expiry);
			this.parts.batch.withdraw(sequence);
		};
		this.resumableByRequestId.set(generation.requestId, resumable);
		this.record(resumable, event);
		exchange.response.on('close', () => {
			this.keepForResume(resumable, sequence);
		});
		writer.begin();
		this.parts.batch.enqueue(sequence);
	}

	private createSequence(
		resumable: ResumableGeneration,
		writer: AnswerWriter,
		faults: GenerationFaults,
		event: 'started' | 'resumed',
	): Sequence {
		const { generation } = resumable;
		const uncachedTokens = Math.max(0, generation.promptTokens - generation.cachedTokens);
		let sent = 0;
		return {
			priority: generation.request.priority ?? 0,
			prefillTokens: event === 'resumed' ? 0 : uncachedTokens,
			position: resumable.position,
			end: generation.plan.end,
			onToken: (position) => {
				resumable.position = position + 1;
				if (this.failOnFault(sent, writer, faults)) {
					return;
				}
				sent += 1;
				writer.writeToken(position, generateToken(generation.plan.seed, position));
			},
			onFinish: () => {
				this.finish(resumable, writer, sent, faults);
			},
		};
	}

	/** Applies a crash, cut or stall that is due; returns true if nothing more may be sent. */
	private failOnFault(sent: number, writer: AnswerWriter, faults: GenerationFaults): boolean {
		if (faults.crashAfter !== undefined && sent >= faults.crashAfter) {
			this.parts.server.crash();
			return true;
		}
		if (faults.cutAfter !== undefined && sent >= faults.cutAfter) {
			writer.sendTruncated();
			return true;
		}
		return faults.stallAfter !== undefined && sent >= faults.stallAfter;
	}

	private finish(
		resumable: ResumableGeneration,
		writer: AnswerWriter,
		sent: number,
		faults: GenerationFaults,
	): void {
		this.record(resumable, 'finished');
		const { request, plan } = resumable.generation;
		this.storePrefix(`${renderPrompt(request.messages)}assistant\n${generateText(plan)}\n`, request);
		if (!this.failOnFault(sent, writer, faults) && !writer.response.destroyed) {
			writer.finish();
		}
	}

	/** Removes a generation whose connection has closed from the batch, and retains it for `resumeWindowMs`. */
	private keepForResume(resumable: ResumableGeneration, sequence: Sequence): void {
		this.parts.batch.withdraw(sequence);
		if (resumable.position < resumable.generation.plan.end) {
			this.record(resumable, 'disconnected');
		}
		resumable.expiry = setTimeout(() => {
			if (this.resumableByRequestId.get(resumable.generation.requestId) === resumable) {
				this.resumableByRequestId.delete(resumable.generation.requestId);
			}
		}, this.parts.settings.resumeWindowMs);
		resumable.expiry.unref();
	}

	private storePrefix(text: string, request: ChatRequest): void {
		const cacheKey = request.prompt_cache_key ?? '';
		const change = this.parts.cache.store(text, cacheKey);
		if (cacheKey !== '') {
			this.parts.cacheEvents.publish({ kind: 'stored', cacheKey, tokens: change.storedTokens });
		}
		for (const evictedKey of change.evictedKeys) {
			if (evictedKey !== '') {
				this.parts.cacheEvents.publish({ kind: 'evicted', cacheKey: evictedKey });
			}
		}
	}

	private record(resumable: ResumableGeneration, event: EngineLogEntry['event']): void {
		const { generation } = resumable;
		this.parts.server.record({
			atMs: Date.now(),
			event,
			requestId: generation.requestId,
			bodyDigest: generation.bodyDigest,
			promptTokens: generation.promptTokens,
			cachedTokens: generation.cachedTokens,
			priority: generation.request.priority ?? 0,
			answerTokens: resumable.position,
		});
	}
}

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, durationMs));
}
