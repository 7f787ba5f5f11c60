/** Builds the request that resumes an interrupted stream. */
import type { ResumeMode, TokenStream } from './tokenStream.js';
import type { TargetRequest } from './targetCall.js';

interface ChatBody {
	readonly messages?: readonly unknown[];
	readonly max_tokens?: number;
	readonly max_completion_tokens?: number;
}

/** Returns the request that resumes after the events that the caller has received; undefined if that is impossible. */
export function buildResumeRequest<T extends TargetRequest>(
	request: T,
	stream: TokenStream,
	mode: ResumeMode,
): T | undefined {
	if (!stream.isResumable(mode)) {
		return undefined;
	}
	switch (mode) {
		case 'same-engine':
			return { ...request, headers: { ...request.headers, 'last-event-id': String(stream.lastEventId) } };
		case 'other-engine':
			return buildContinuation(request, stream);
	}
}

/**
 * Builds a request in which the text so far is the start of the assistant's message and the token limits are reduced
 * accordingly; undefined if the body is not a chat or no tokens remain.
 */
function buildContinuation<T extends TargetRequest>(request: T, stream: TokenStream): T | undefined {
	const body = parseBody(request.body);
	if (body?.messages === undefined) {
		return undefined;
	}
	const limits: Record<string, number> = {};
	for (const name of ['max_tokens', 'max_completion_tokens'] as const) {
		const limit = body[name];
		if (limit === undefined) {
			continue;
		}
		if (limit <= stream.textEventCount) {
			return undefined;
		}
		limits[name] = limit - stream.textEventCount;
	}
	const continued = {
		...body,
		...limits,
		messages: [...body.messages, { role: 'assistant', content: stream.text }],
		continue_final_message: true,
		add_generation_prompt: false,
	};
	const encoded = Buffer.from(JSON.stringify(continued), 'utf8');
	const headers = { ...request.headers };
	delete headers['content-length'];
	return { ...request, headers, body: encoded };
}

function parseBody(body: Uint8Array): ChatBody | undefined {
	try {
		const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
		return typeof value === 'object' && value !== null ? value : undefined;
	} catch {
		return undefined;
	}
}
