/** Fetches a document from a target, apart from callers' requests. */
import type { ResponseHead } from '../common/responseParser.js';
import type { ConnectionFailure, ConnectionListener, TargetConnection } from './targetConnection.js';

const HTTP_OK = 200;
/** A list of all cached prompt parts of an engine takes far less. */
const MAX_DOCUMENT_BYTES = 8_388_608;

/**
 * Fetches a document.
 * @returns its text; undefined, after a call of `onFailure`, if it is not complete within `timeoutMs`
 */
export function fetchDocument(
	connection: TargetConnection,
	host: string,
	path: string,
	timeoutMs: number,
	onFailure: (detail: string) => void,
): Promise<string | undefined> {
	return new Promise((resolve) => {
		const documentFetch = new DocumentFetch(connection, timeoutMs, resolve, onFailure);
		documentFetch.send(host, path);
	});
}

class DocumentFetch implements ConnectionListener {
	private readonly chunks: Buffer[] = [];
	private readonly timer: NodeJS.Timeout;
	private head: ResponseHead | undefined;
	private bytes = 0;

	constructor(
		private readonly connection: TargetConnection,
		timeoutMs: number,
		private readonly resolve: (text: string | undefined) => void,
		private readonly reportFailure: (detail: string) => void,
	) {
		this.timer = setTimeout(() => {
			this.connection.close();
			this.fail(`no complete response within ${timeoutMs} ms`);
		}, timeoutMs);
	}

	public send(host: string, path: string): void {
		const head = Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`, 'latin1');
		this.connection.send('GET', [head], () => true, this);
	}

	public onHead(head: ResponseHead): void {
		this.head = head;
	}

	public onBody(chunk: Buffer): void {
		this.bytes += chunk.length;
		if (this.bytes > MAX_DOCUMENT_BYTES) {
			this.connection.close();
			this.fail(`the document is longer than ${MAX_DOCUMENT_BYTES} bytes`);
			return;
		}
		this.chunks.push(chunk);
	}

	public onEnd(): boolean {
		const status = this.head?.status;
		if (status === HTTP_OK) {
			clearTimeout(this.timer);
			this.resolve(Buffer.concat(this.chunks).toString('utf8'));
		} else {
			// It may be a second copy of an earlier answer, and that of the document would be read as one of the next request.
			this.connection.close();
			this.fail(`HTTP ${status ?? 'response without a head'}`);
		}
		return true;
	}

	public onFailure(_failure: ConnectionFailure, message: string): void {
		this.fail(message);
	}

	private fail(detail: string): void {
		clearTimeout(this.timer);
		this.reportFailure(detail);
		this.resolve(undefined);
	}
}
