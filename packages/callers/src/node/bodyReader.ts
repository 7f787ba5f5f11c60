/** Reads a request body, limited in size and time. */
import type { IncomingMessage } from 'node:http';
import type { Result } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';

export type BodyError = 'body-too-large' | 'slow-sender' | 'cancelled';

/** Reads the complete body of `message`; fails if it exceeds `maxBytes` or takes longer than `timeoutMs`. */
export function readBody(
	message: IncomingMessage,
	maxBytes: number,
	timeoutMs: number,
): Promise<Result<Uint8Array, BodyError>> {
	const declared = Number(message.headers['content-length'] ?? 0);
	if (declared > maxBytes) {
		return Promise.resolve(Err('body-too-large' as const));
	}
	return new Promise((resolve) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const stopReading = (): void => {
			clearTimeout(timer);
			message.off('data', handleData);
			message.off('end', handleEnd);
			message.off('close', handleClose);
		};
		const fail = (error: BodyError): void => {
			stopReading();
			message.pause();
			resolve(Err(error));
		};
		const handleData = (chunk: Buffer): void => {
			size += chunk.byteLength;
			if (size > maxBytes) {
				fail('body-too-large');
				return;
			}
			chunks.push(chunk);
		};
		const handleEnd = (): void => {
			stopReading();
			resolve(Ok(Buffer.concat(chunks)));
		};
		const handleClose = (): void => {
			fail('cancelled');
		};
		const timer = setTimeout(() => {
			fail('slow-sender');
		}, timeoutMs);
		message.on('data', handleData);
		message.on('end', handleEnd);
		message.on('close', handleClose);
	});
}
