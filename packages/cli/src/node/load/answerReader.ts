/** Reads the HTTP response of a router: text, completeness, arrival times, token counts and reported outcome. */
import { OUTCOME_HEADER, REQUEST_ID_HEADER, TARGET_HEADER } from '@papayawell/core';
import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';
import { z } from 'zod';

const END_OF_STREAM = '[DONE]';

const problemSchema = z.object({ type: z.string(), outcome: z.string() });
const chunkSchema = z.object({
	choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })),
	usage: z
		.object({
			prompt_tokens: z.number(),
			prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
		})
		.optional(),
});
const confirmationSchema = z.object({ confirmation: z.string() });

/** A response of a router, possibly incomplete. */
export interface ReceivedAnswer {
	readonly status: number;
	/** `completed`, `not-run`, `unknown`, or empty when the router stated none. */
	readonly outcome: string;
	readonly requestId: string;
	readonly target: string;
	readonly text: string;
	/** Whether the body was received to its end; a stream must also have its `[DONE]` event. */
	readonly isComplete: boolean;
	/** Last segment of the reported problem type URN, or empty if no problem was reported. */
	readonly problem: string;
	readonly retryAfterMs: number | undefined;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	/** Arrival time of each chunk of the body, in ms since the request was sent. */
	readonly partTimesMs: readonly number[];
}

/** Collects text, token counts and errors from a server-sent event stream. */
class EventStreamCollector {
	public text = '';
	public isDone = false;
	public problem: z.infer<typeof problemSchema> | undefined;
	public promptTokens = 0;
	public cachedTokens = 0;

	private readonly parser = createParser({
		onEvent: ({ event, data }) => {
			this.addEvent(event, data);
		},
	});

	public addPart(part: string): void {
		this.parser.feed(part);
	}

	private addEvent(event: string | undefined, data: string): void {
		if (data === END_OF_STREAM) {
			this.isDone = true;
			return;
		}
		const document = parseJson(data);
		if (event === 'error') {
			this.problem = problemSchema.safeParse(document).data;
			return;
		}
		const chunk = chunkSchema.safeParse(document).data;
		this.text += chunk?.choices[0]?.delta.content ?? '';
		this.promptTokens = chunk?.usage?.prompt_tokens ?? this.promptTokens;
		this.cachedTokens = chunk?.usage?.prompt_tokens_details?.cached_tokens ?? this.cachedTokens;
	}
}

/** Reads a response to its end. If the connection breaks, the answer is returned as incomplete. */
export async function readAnswer(data: Dispatcher.ResponseData, sentAtMs: number): Promise<ReceivedAnswer> {
	const contentType = readHeader(data, 'content-type');
	const isStream = contentType.startsWith('text/event-stream');
	const body = await readBody(data, sentAtMs);
	const streamed = new EventStreamCollector();
	if (isStream) {
		streamed.addPart(body.text);
	}
	const problem = contentType.startsWith('application/problem+json')
		? problemSchema.safeParse(parseJson(body.text)).data
		: streamed.problem;
	const trailer = (data.trailers as Record<string, string | undefined>)[OUTCOME_HEADER];
	return {
		status: data.statusCode,
		outcome: problem?.outcome ?? (readHeader(data, OUTCOME_HEADER) || (trailer ?? '')),
		requestId: readHeader(data, REQUEST_ID_HEADER),
		target: readHeader(data, TARGET_HEADER),
		text: isStream ? streamed.text : readConfirmation(body.text),
		isComplete: body.isComplete && (!isStream || streamed.isDone),
		problem: problem?.type.split(':').at(-1) ?? '',
		retryAfterMs: readRetryAfter(data),
		promptTokens: streamed.promptTokens,
		cachedTokens: streamed.cachedTokens,
		partTimesMs: body.partTimesMs,
	};
}

interface ReceivedBody {
	readonly text: string;
	readonly isComplete: boolean;
	readonly partTimesMs: readonly number[];
}

async function readBody(data: Dispatcher.ResponseData, sentAtMs: number): Promise<ReceivedBody> {
	const decoder = new TextDecoder();
	const partTimesMs: number[] = [];
	let text = '';
	try {
		for await (const part of data.body) {
			partTimesMs.push(performance.now() - sentAtMs);
			text += decoder.decode(part as Uint8Array, { stream: true });
		}
		return { text, isComplete: true, partTimesMs };
	} catch {
		return { text, isComplete: false, partTimesMs };
	}
}

function readConfirmation(text: string): string {
	return confirmationSchema.safeParse(parseJson(text)).data?.confirmation ?? '';
}

function readRetryAfter(data: Dispatcher.ResponseData): number | undefined {
	const seconds = Number(readHeader(data, 'retry-after'));
	return Number.isFinite(seconds) && seconds > 0 ? seconds * 1_000 : undefined;
}

function readHeader(data: Dispatcher.ResponseData, name: string): string {
	const value = data.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
