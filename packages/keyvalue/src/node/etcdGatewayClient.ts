/** Sends a call to the etcd JSON gateway and reports, when it fails, whether it may have taken effect. */
import type { CallEffect, KeyValueError, Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import type { z } from 'zod';

export interface EtcdGatewayCall<T> {
	readonly path: string;
	readonly body: unknown;
	readonly schema: z.ZodType<T>;
	/** Whether the call changes the store, so that it may have taken effect although it failed. */
	readonly isWrite: boolean;
	readonly timeoutMs: number;
	readonly signal: AbortSignal | undefined;
}

/** Error codes of failures to connect: the request was not sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const TOO_MANY_REQUESTS = 429;

export function readErrorCode(error: unknown): string {
	if (error instanceof Error && 'code' in error && typeof error.code === 'string') {
		return error.code;
	}
	return '';
}

function describeError(error: unknown): string {
	return error instanceof Error ? `${readErrorCode(error)} ${error.message}`.trim() : String(error);
}

/** Provides the signal that aborts a call at its timeout or when the caller's signal is aborted. */
class CallTimeout {
	private readonly controller = new AbortController();
	private readonly timer: NodeJS.Timeout;
	public isTimedOut = false;
	public readonly signal: AbortSignal;

	constructor(timeoutMs: number, signal: AbortSignal | undefined) {
		this.timer = setTimeout(() => {
			this.isTimedOut = true;
			this.controller.abort();
		}, timeoutMs);
		this.signal = signal ? AbortSignal.any([this.controller.signal, signal]) : this.controller.signal;
	}

	public stop(): void {
		clearTimeout(this.timer);
	}
}

/** Sends the call to one origin, without retries. */
export async function callEtcdGateway<T>(
	dispatcher: Dispatcher,
	origin: string,
	call: EtcdGatewayCall<T>,
): Promise<Result<T, KeyValueError>> {
	if (call.signal?.aborted) {
		return Err({ kind: 'timeout', effect: 'none', message: 'cancelled before the call was sent' });
	}
	const timer = new CallTimeout(call.timeoutMs, call.signal);
	try {
		const response = await request(`${origin}${call.path}`, {
			dispatcher,
			method: 'POST',
			headers: { 'content-type': 'application/json' },
			body: JSON.stringify(call.body),
			signal: timer.signal,
		});
		const text = await response.body.text();
		return decodeResponse(response.statusCode, text, call);
	} catch (error) {
		return Err(toKeyValueError(error, timer.signal.aborted, call.isWrite));
	} finally {
		timer.stop();
	}
}

function toKeyValueError(error: unknown, isAborted: boolean, isWrite: boolean): KeyValueError {
	const effectIfSent: CallEffect = isWrite ? 'unknown' : 'none';
	if (isAborted) {
		return {
			kind: 'timeout',
			effect: effectIfSent,
			message: 'timed out or cancelled while waiting for the response',
		};
	}
	const effect = NOT_CONNECTED_CODES.has(readErrorCode(error)) ? 'none' : effectIfSent;
	return { kind: 'unavailable', effect, message: describeError(error) };
}

function decodeResponse<T>(status: number, text: string, call: EtcdGatewayCall<T>): Result<T, KeyValueError> {
	const effect: CallEffect = call.isWrite ? 'unknown' : 'none';
	if (status >= 500) {
		return Err({ kind: 'unavailable', effect, message: `HTTP ${status}: ${text}` });
	}
	if (status === TOO_MANY_REQUESTS) {
		return Err({ kind: 'unavailable', effect: 'none', message: `HTTP ${status}: ${text}` });
	}
	if (status >= 400) {
		return Err({ kind: 'rejected', effect: 'none', message: `HTTP ${status}: ${text}` });
	}
	const answer = call.schema.safeParse(parseJson(text));
	if (!answer.success) {
		return Err({ kind: 'unavailable', effect, message: `malformed response: ${answer.error.message}` });
	}
	return Ok(answer.data);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
