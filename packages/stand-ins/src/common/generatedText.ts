/**
 * Deterministic answers of the engine stand-in: tokens derived from a hash of the messages. A test can compute
 * the expected answer to a request and the position from which a continued answer must go on.
 */
import { hashTextTo32, hashTextToHex } from '@papayawell/core';
import type { ChatMessage, ChatRequest } from './chatRequest.js';
import { DEFAULT_ANSWER_TOKENS } from './chatRequest.js';

const HEX_DIGITS_PER_TOKEN = 6;
const CHARACTERS_PER_TOKEN = 4;

/** Range of token positions to generate, from `start` (inclusive) to `end` (exclusive). */
export interface AnswerPlan {
	readonly seed: string;
	readonly start: number;
	readonly end: number;
}

/** Computes the token range of an answer; a continued answer starts after the tokens of its last message. */
export function planAnswer(request: ChatRequest): AnswerPlan {
	const limit = request.max_completion_tokens ?? request.max_tokens;
	const last = request.messages.at(-1);
	if (request.continue_final_message !== true || last?.role !== 'assistant') {
		return { seed: hashMessages(request.messages), start: 0, end: limit ?? DEFAULT_ANSWER_TOKENS };
	}
	const seed = hashMessages(request.messages.slice(0, -1));
	const start = countTokens(last.content);
	const end = limit === undefined ? Math.max(start, DEFAULT_ANSWER_TOKENS) : start + limit;
	return { seed, start, end };
}

/** Returns the token at `position`: hexadecimal digits and a trailing space. */
export function generateToken(seed: string, position: number): string {
	const digits = hashTextTo32(`${seed}:${position}`).toString(16).padStart(HEX_DIGITS_PER_TOKEN, '0');
	return `${digits.slice(0, HEX_DIGITS_PER_TOKEN)} `;
}

/** Returns the text of all tokens of the plan. */
export function generateText(plan: AnswerPlan): string {
	let text = '';
	for (let position = plan.start; position < plan.end; position += 1) {
		text += generateToken(plan.seed, position);
	}
	return text;
}

/** Computes the text that any engine stand-in answers to this request. */
export function computeExpectedAnswer(request: ChatRequest): string {
	return generateText(planAnswer(request));
}

/** Concatenates the messages, with their roles, into one prompt text. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
	return messages.map((message) => `${message.role}\n${message.content}\n`).join('');
}

/** Estimates the number of tokens of a prompt from its length. */
export function estimatePromptTokens(prompt: string): number {
	return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

function hashMessages(messages: readonly ChatMessage[]): string {
	return hashTextToHex(renderPrompt(messages));
}

function countTokens(text: string): number {
	return text.split(' ').filter((word) => word !== '').length;
}
