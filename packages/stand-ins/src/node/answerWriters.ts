/** Writes answers in the OpenAI chat completions format: as server-sent events or as one JSON document. */
import type { ServerResponse } from 'node:http';
import { REQUEST_ID_HEADER } from '@papayawell/core';
import { generateText } from '../common/generatedText.js';
import type { AnswerWriter, Generation } from './generation.js';
import { buildUsage } from './generation.js';

/** Creates the writer for the format that the request selects with `stream`. */
export function createAnswerWriter(generation: Generation, response: ServerResponse): AnswerWriter {
	return generation.request.stream === true
		? new StreamAnswerWriter(generation, response)
		: new JsonAnswerWriter(generation, response);
}

/** Event IDs start at 1: one event per token, then one with the finish reason and usage, then `[DONE]`. */
class StreamAnswerWriter implements AnswerWriter {
	constructor(
		private readonly generation: Generation,
		public readonly response: ServerResponse,
	) {}

	public begin(): void {
		this.response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-cache',
			[REQUEST_ID_HEADER]: this.generation.requestId,
		});
		this.response.flushHeaders();
	}

	public writeToken(position: number, token: string): void {
		const role = position === 0 ? { role: 'assistant' } : {};
		const choice = { index: 0, delta: { ...role, content: token }, finish_reason: null };
		this.writeEvent(position + 1, JSON.stringify(this.buildChunk(choice, {})));
	}

	public finish(): void {
		const endId = this.generation.plan.end + 1;
		const choice = { index: 0, delta: {}, finish_reason: 'stop' };
		const chunk = this.buildChunk(choice, { usage: buildUsage(this.generation) });
		this.writeEvent(endId, JSON.stringify(chunk));
		this.writeEvent(endId + 1, '[DONE]');
		this.response.end();
	}

	public sendTruncated(): void {
		this.response.destroy();
	}

	private buildChunk(choice: unknown, extra: Readonly<Record<string, unknown>>): unknown {
		return {
			id: `chatcmpl-${this.generation.requestId}`,
			object: 'chat.completion.chunk',
			created: Math.floor(Date.now() / 1_000),
			model: this.generation.request.model,
			choices: [choice],
			...extra,
		};
	}

	private writeEvent(id: number, data: string): void {
		this.response.write(`id: ${id}\ndata: ${data}\n\n`);
	}
}

class JsonAnswerWriter implements AnswerWriter {
	constructor(
		private readonly generation: Generation,
		public readonly response: ServerResponse,
	) {}

	public begin(): void {
		// The head is sent together with the body, whose length it contains.
	}

	public writeToken(): void {
		// The complete text is sent by `finish`.
	}

	public finish(): void {
		this.response.end(this.writeHead());
	}

	public sendTruncated(): void {
		const text = this.writeHead();
		this.response.write(text.slice(0, Math.floor(text.length / 2)), () => {
			this.response.destroy();
		});
	}

	private writeHead(): string {
		const text = JSON.stringify(this.buildDocument());
		this.response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
			[REQUEST_ID_HEADER]: this.generation.requestId,
		});
		return text;
	}

	private buildDocument(): unknown {
		const message = { role: 'assistant', content: generateText(this.generation.plan) };
		return {
			id: `chatcmpl-${this.generation.requestId}`,
			object: 'chat.completion',
			created: Math.floor(Date.now() / 1_000),
			model: this.generation.request.model,
			choices: [{ index: 0, message, finish_reason: 'stop' }],
			usage: buildUsage(this.generation),
		};
	}
}
