/** A generation of the engine stand-in and the faults that affect its answer. */
import type { ServerResponse } from 'node:http';
import type { ChatRequest } from '../common/chatRequest.js';
import type { FaultRegistry } from '../common/fault.js';
import type { AnswerPlan } from '../common/generatedText.js';

/** Faults that apply to one generation. The `…After` fields count the tokens sent on its connection. */
export interface GenerationFaults {
	readonly stallAfter: number | undefined;
	readonly cutAfter: number | undefined;
	readonly crashAfter: number | undefined;
	readonly delayMs: number;
	readonly isCrossed: boolean;
}

export interface Generation {
	readonly requestId: string;
	readonly request: ChatRequest;
	readonly bodyDigest: string;
	readonly plan: AnswerPlan;
	readonly promptTokens: number;
	readonly cachedTokens: number;
}

/** Consumes one use of each active fault that applies to a generation. */
export function consumeGenerationFaults(faults: FaultRegistry): GenerationFaults {
	const stall = faults.consume('stall');
	const cut = faults.consume('cut');
	const crash = faults.consume('crash', (fault) => fault.at === 'during');
	return {
		stallAfter: stall === undefined ? undefined : (stall.afterTokens ?? 0),
		cutAfter: cut === undefined ? undefined : (cut.afterTokens ?? 1),
		crashAfter: crash === undefined ? undefined : (crash.afterTokens ?? 1),
		delayMs: faults.consume('late')?.delayMs ?? 0,
		isCrossed: faults.consume('crossed') !== undefined,
	};
}

/** Builds the `usage` object of a complete answer. */
export function buildUsage(generation: Generation): unknown {
	const completionTokens = generation.plan.end - generation.plan.start;
	return {
		prompt_tokens: generation.promptTokens,
		completion_tokens: completionTokens,
		total_tokens: generation.promptTokens + completionTokens,
		prompt_tokens_details: { cached_tokens: generation.cachedTokens },
	};
}

/** Writes the tokens of one generation to one connection. */
export interface AnswerWriter {
	readonly response: ServerResponse;
	begin(): void;
	/** `position` counts from 0 over the whole answer, also if it is resumed or continued. */
	writeToken(position: number, token: string): void;
	finish(): void;
	/** Closes the connection before the answer is complete. */
	sendTruncated(): void;
}
