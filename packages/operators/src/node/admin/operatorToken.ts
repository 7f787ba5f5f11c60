/** Checks the operators' bearer token against its SHA-256 hash. */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

export class OperatorToken {
	private readonly expectedHash: Buffer;

	/** `tokenHash` is the SHA-256 of the token, 64 hexadecimal digits. */
	constructor(tokenHash: string) {
		this.expectedHash = Buffer.from(tokenHash, 'hex');
	}

	/** Whether an `authorization` header contains the token; compares the hashes in constant time. */
	public isAuthorized(header: string | undefined): boolean {
		const token = BEARER_PATTERN.exec(header ?? '')?.[1];
		if (token === undefined) {
			return false;
		}
		const actualHash = createHash('sha256').update(token).digest();
		return actualHash.length === this.expectedHash.length && timingSafeEqual(actualHash, this.expectedHash);
	}
}
