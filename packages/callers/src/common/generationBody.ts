/** Parses the body of a chat completion request and extracts the attributes that routing needs. */
import type { Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import { z } from 'zod';
import type { GenerationAttributes } from './callerRequest.js';

/** Length of the prompt prefix that is compared between requests. */
const MAX_PREFIX_CHARACTERS = 1024;
/** Bytes of the body per token, for the estimate of the prompt tokens. */
const BYTES_PER_TOKEN = 4;
/** Estimate for requests without a token limit. */
const DEFAULT_OUTPUT_TOKENS = 512;

const generationBody = z.looseObject({
	model: z.string().optional(),
	stream: z.boolean().nullish(),
	prompt_cache_key: z.string().optional(),
	max_tokens: z.number().nonnegative().nullish(),
	max_completion_tokens: z.number().nonnegative().nullish(),
	messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
});

type GenerationBody = z.infer<typeof generationBody>;

/** Parses the body; the error text is sent to the caller in the problem document. */
export function parseGenerationBody(body: Uint8Array): Result<GenerationAttributes, string> {
	let parsed: unknown;
	try {
		parsed = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body));
	} catch {
		return Err('The body is not JSON in UTF-8.');
	}
	const validated = generationBody.safeParse(parsed);
	if (!validated.success) {
		const issues = validated.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
		return Err(`The body is not a chat completion request: ${issues.join('; ')}.`);
	}
	return Ok(collectAttributes(validated.data, body.byteLength));
}

function collectAttributes(body: GenerationBody, bodyBytes: number): GenerationAttributes {
	const outputTokens = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
	return {
		model: body.model,
		isStreamed: body.stream === true,
		chat: body.prompt_cache_key,
		promptPrefix: readPromptPrefix(body),
		estimatedTokens: Math.ceil(bodyBytes / BYTES_PER_TOKEN) + outputTokens,
	};
}

function readPromptPrefix(body: GenerationBody): string {
	let prefix = '';
	for (const message of body.messages) {
		prefix += `${message.role}:${formatContent(message.content)}\n`;
		if (prefix.length >= MAX_PREFIX_CHARACTERS) {
			break;
		}
	}
	return prefix.slice(0, MAX_PREFIX_CHARACTERS);
}

function formatContent(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
