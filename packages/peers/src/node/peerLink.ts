/** An open stream to another router, with its name tables and its outbox. */
import type { RouterInstance } from '@papayawell/core';
import { NameReader, NameWriter } from '../common/nameTable.js';
import { Outbox } from '../common/outbox.js';
import type { FrameStream } from './frameStream.js';

export class PeerLink {
	public readonly outbox = new Outbox();
	public readonly outboundNames = new NameWriter();
	public readonly inboundNames = new NameReader();
	/** Time of the last call on the stream, in either direction. */
	public lastCallAtMs = -Infinity;
	/** Time of the last flush that included reports. */
	public reportsFlushedAtMs: number;

	constructor(
		public readonly router: RouterInstance,
		public readonly stream: FrameStream,
		public readonly openedAtMs: number,
	) {
		this.reportsFlushedAtMs = openedAtMs;
	}

	public get instance(): string {
		return this.router.instance;
	}
}
