/** The fields of an OpenAI chat completion request that the engine stand-in supports. */
import { z } from 'zod';

/** Length of an answer when the request sets no limit. */
export const DEFAULT_ANSWER_TOKENS = 16;

const messageSchema = z.object({ role: z.string(), content: z.string() });

export const chatRequestSchema = z.object({
	model: z.string(),
	messages: z.array(messageSchema).min(1),
	stream: z.boolean().optional(),
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	/** Requests with lower values are scheduled first. */
	priority: z.number().int().optional(),
	/** Continues the last message, which must be from the assistant, instead of starting a new one. */
	continue_final_message: z.boolean().optional(),
	/** Identifies the chat in cache events. */
	prompt_cache_key: z.string().optional(),
});

export type ChatMessage = z.infer<typeof messageSchema>;
export type ChatRequest = z.infer<typeof chatRequestSchema>;
