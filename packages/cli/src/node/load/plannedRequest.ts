/** Builds the requests that the load tool sends, each with its expected answer. */
import type { ChatRequest } from '@papayawell/stand-ins';
import { computeExpectedAnswer, computeExpectedConfirmation } from '@papayawell/stand-ins';
import { hashTextTo32 } from '@papayawell/core';

/** The fields of a trace's request event that determine the HTTP request. */
export interface RequestAttributes {
	readonly id: string;
	readonly customer: string;
	readonly chat?: string | undefined;
	readonly pool: string;
	readonly class: string;
	readonly promptTokens?: number | undefined;
	readonly outputTokens?: number | undefined;
	readonly idempotencyKey?: string | undefined;
	readonly serviceMs?: number | undefined;
}

export interface PlannedRequest {
	readonly id: string;
	readonly kind: 'generation' | 'call';
	readonly customer: string;
	readonly requestClass: string;
	readonly chat: string | undefined;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Whether the operation is not idempotent and must run at most once. */
	readonly isAtMostOnce: boolean;
	/** Computes the text of the expected answer. */
	computeExpected(): string;
}

const GENERATION_PATH = '/v1/chat/completions';
const CHARACTERS_PER_TOKEN = 4;
const WORD_CHARACTERS = 8;
const DEFAULT_SERVICE_MS = 5;

/** Builds a generation if the event has output tokens, otherwise a call to an application. */
export function planRequest(attributes: RequestAttributes, startEpochMs: number): PlannedRequest {
	return attributes.outputTokens === undefined
		? planCall(attributes, startEpochMs)
		: planGeneration(attributes, attributes.outputTokens);
}

function planGeneration(attributes: RequestAttributes, outputTokens: number): PlannedRequest {
	const chat = attributes.chat ?? attributes.id;
	const request: ChatRequest = {
		model: attributes.class,
		messages: [{ role: 'user', content: generatePrompt(chat, attributes.promptTokens ?? 1) }],
		max_tokens: Math.max(1, outputTokens),
		stream: true,
		prompt_cache_key: chat,
	};
	return {
		id: attributes.id,
		kind: 'generation',
		customer: attributes.customer,
		requestClass: attributes.class,
		chat,
		method: 'POST',
		path: GENERATION_PATH,
		body: JSON.stringify(request),
		headers: { 'content-type': 'application/json' },
		isAtMostOnce: false,
		computeExpected: () => computeExpectedAnswer(request),
	};
}

/** Builds a call to `/<pool>/<class>`: a POST if the event has an idempotency key, otherwise a GET. */
function planCall(attributes: RequestAttributes, startEpochMs: number): PlannedRequest {
	const isAtMostOnce = attributes.idempotencyKey !== undefined;
	const method = isAtMostOnce ? 'POST' : 'GET';
	const path = `/${attributes.pool}/${attributes.class}${isAtMostOnce ? '' : `?id=${encodeURIComponent(attributes.id)}`}`;
	const body = isAtMostOnce
		? JSON.stringify({ id: attributes.idempotencyKey, serviceMs: attributes.serviceMs ?? DEFAULT_SERVICE_MS })
		: '';
	return {
		id: attributes.id,
		kind: 'call',
		customer: attributes.customer,
		requestClass: attributes.class,
		chat: undefined,
		method,
		path,
		body,
		headers: isAtMostOnce ? buildIdempotencyHeaders(attributes.idempotencyKey, startEpochMs) : {},
		isAtMostOnce,
		computeExpected: () => computeExpectedConfirmation(method, path, body),
	};
}

/** Prefixes the key with the start time of the run: routers expect an issue time in keys, and traces have none. */
function buildIdempotencyHeaders(key: string, startEpochMs: number): Record<string, string> {
	return { 'content-type': 'application/json', 'idempotency-key': `${startEpochMs}-${key}` };
}

/** Generates a deterministic prompt for a chat. A longer prompt of the same chat starts with the shorter one. */
export function generatePrompt(chat: string, tokens: number): string {
	const characters = Math.max(1, tokens) * CHARACTERS_PER_TOKEN;
	const words: string[] = [];
	for (let index = 0; index * WORD_CHARACTERS < characters; index += 1) {
		const digits = hashTextTo32(`${chat}:${index}`).toString(16).padStart(WORD_CHARACTERS, '0');
		words.push(`${digits.slice(1)} `);
	}
	return words.join('').slice(0, characters);
}
